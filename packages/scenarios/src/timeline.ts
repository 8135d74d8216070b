/** One line of a scenario's time line. */
export interface TimelineEvent {
  readonly at: number
  readonly text: string
}

const IDENTIFIER = /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g

/** Parts of a line that differ between members of a group of requests. */
const MEMBER_SUFFIX = /#\d+/g

/**
 * Formats events one a line: ids get stable names, and lines that differ only in the member of a
 * group and follow each other at the same second are counted.
 *
 * @example
 * formatTimeline([{ at: 0, text: 'entry-1 killed' }])
 */
export function formatTimeline (events: readonly TimelineEvent[]): readonly string[] {
  const names = new Map<string, string>()
  const stableName = (id: string): string => {
    const known = names.get(id) ?? `id-${names.size + 1}`
    names.set(id, known)
    return known
  }
  const groups: { readonly second: string, readonly text: string, count: number }[] = []
  const currentGroups = new Map<string, { readonly second: string, readonly text: string, count: number }>()
  let currentSecond = ''
  for (const { at, text } of events) {
    const second = (at / 1_000).toFixed(1).padStart(7)
    if (second !== currentSecond) currentGroups.clear()
    currentSecond = second
    const line = text.replaceAll(MEMBER_SUFFIX, '#*')
    const known = currentGroups.get(line)
    if (known !== undefined) {
      known.count++
      continue
    }
    const group = { second, text: line.replaceAll(IDENTIFIER, stableName), count: 1 }
    currentGroups.set(line, group)
    groups.push(group)
  }
  return groups.map(({ second, text, count }) => count === 1 ? `${second}  ${text}` : `${second}  ${text} (${count} times)`)
}
