/** Event in the timeline of a scenario. */
export interface TimelineEvent {
  readonly at: number
  readonly text: string
}

const IDENTIFIER = /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g

/** Suffix that distinguishes the requests of one burst or client group. */
const MEMBER_SUFFIX = /#\d+/g

/**
 * Formats events, one per line, with their times in seconds. Random ids are replaced by `id-1`, `id-2`
 * and so on, so that timelines of different runs can be compared. Lines with the same formatted time
 * that differ only in the request's number in its group are merged into one line with a count.
 *
 * @example
 * formatTimeline([{ at: 0, text: 'entry-1 killed' }])
 */
export function formatTimeline (events: readonly TimelineEvent[]): readonly string[] {
  const stableNames = new Map<string, string>()
  const stableName = (id: string): string => {
    const name = stableNames.get(id) ?? `id-${stableNames.size + 1}`
    stableNames.set(id, name)
    return name
  }
  const groups: { readonly time: string, readonly text: string, count: number }[] = []
  const currentGroups = new Map<string, { readonly time: string, readonly text: string, count: number }>()
  let currentTime = ''
  for (const { at, text } of events) {
    const time = (at / 1_000).toFixed(1).padStart(7)
    if (time !== currentTime) currentGroups.clear()
    currentTime = time
    const line = text.replaceAll(MEMBER_SUFFIX, '#*')
    const existing = currentGroups.get(line)
    if (existing !== undefined) {
      existing.count++
      continue
    }
    const group = { time, text: line.replaceAll(IDENTIFIER, stableName), count: 1 }
    currentGroups.set(line, group)
    groups.push(group)
  }
  return groups.map(({ time, text, count }) => count === 1 ? `${time}  ${text}` : `${time}  ${text} (${count} times)`)
}
