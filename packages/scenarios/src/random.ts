/** A seed for one of several parts of a run. */
export function deriveSeed (seed: number, part: string): number {
  let hash = seed ^ 0x811c9dc5
  for (const character of part) hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193)
  return hash >>> 0
}
