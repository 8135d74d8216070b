/** Event in the timeline of a scenario. */
export interface TimelineEvent {
  readonly at: number
  readonly text: string
}

const IDENTIFIER = /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g

/** Suffix that distinguishes the requests of one burst or client group. */
const MEMBER_SUFFIX = /#\d+/g

/**
 * Formats events, one per line. Random ids are replaced by `id-1`, `id-2` and so on, so that timelines
 * of different runs can be compared. Lines with the same time that differ only in the member of a
 * group are merged into one line with a count.
 *
 * @example
 * formatTimeline([{ at: 0, text: 'entry-1 killed' }])
 */
export function formatTimeline (events: readonly TimelineEvent[]): readonly string[] {
  const names = new Map<string, string>()
  const stableName = (id: string): string => {
    const stable = names.get(id) ?? `id-${names.size + 1}`
    names.set(id, stable)
    return stable
  }
  const groups: { readonly second: string, readonly text: string, count: number }[] = []
  const currentGroups = new Map<string, { readonly second: string, readonly text: string, count: number }>()
  let currentSecond = ''
  for (const { at, text } of events) {
    const second = (at / 1_000).toFixed(1).padStart(7)
    if (second !== currentSecond) currentGroups.clear()
    currentSecond = second
    const line = text.replaceAll(MEMBER_SUFFIX, '#*')
    const existing = currentGroups.get(line)
    if (existing !== undefined) {
      existing.count++
      continue
    }
    const group = { second, text: line.replaceAll(IDENTIFIER, stableName), count: 1 }
    currentGroups.set(line, group)
    groups.push(group)
  }
  return groups.map(({ second, text, count }) => count === 1 ? `${second}  ${text}` : `${second}  ${text} (${count} times)`)
}
