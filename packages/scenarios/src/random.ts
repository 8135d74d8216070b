/** Derives the seed of one component from the seed of the run, so that components draw independent random numbers. */
export function deriveSeed (seed: number, part: string): number {
  let hash = seed ^ 0x811c9dc5
  for (const character of part) hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193)
  return hash >>> 0
}
