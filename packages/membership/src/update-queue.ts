import type { MembershipUpdate } from './messages.js'

interface QueuedUpdate {
  readonly update: MembershipUpdate
  readonly bytes: number
  readonly sequence: number
  sent: number
}

export interface UpdateQueueLimits {
  readonly maximumUpdates: number
  readonly maximumBytes: number
}

export interface UpdateQueue {
  /** Adds an update; an older one about the same subject is replaced. */
  readonly add: (update: MembershipUpdate) => void
  /** Takes the updates for one message: least often sent first, then newest first. */
  readonly take: (memberCount: number) => readonly MembershipUpdate[]
  readonly size: () => number
}

/** An update is sent at most this many times the logarithm of the number of members. */
const SENDS_FACTOR = 3

function subjectOf (update: MembershipUpdate): string {
  return update[0] === 't' ? `target ${update[1]} ${update[2]} ${update[3]}` : `member ${update[1]}`
}

/**
 * Number of messages that carry one update from one member.
 *
 * @example
 * maximumSends(370) // 26
 */
export function maximumSends (memberCount: number): number {
  return Math.max(1, Math.ceil(SENDS_FACTOR * Math.log2(Math.max(2, memberCount))))
}

/**
 * Creates the queue of updates that wait to be piggybacked.
 *
 * @example
 * const queue = createUpdateQueue({ maximumUpdates: 12, maximumBytes: 800 })
 */
export function createUpdateQueue (limits: UpdateQueueLimits): UpdateQueue {
  const queued = new Map<string, QueuedUpdate>()
  let sequence = 0
  return {
    add: (update) => {
      queued.set(subjectOf(update), { update, bytes: Buffer.byteLength(JSON.stringify(update)) + 1, sequence: sequence++, sent: 0 })
    },
    take: (memberCount) => {
      const order = [...queued.values()].sort((left, right) => left.sent - right.sent || right.sequence - left.sequence)
      const taken: MembershipUpdate[] = []
      let bytes = 0
      for (const item of order) {
        if (taken.length >= limits.maximumUpdates) break
        if (bytes + item.bytes > limits.maximumBytes) continue
        taken.push(item.update)
        bytes += item.bytes
        item.sent++
        if (item.sent >= maximumSends(memberCount)) queued.delete(subjectOf(item.update))
      }
      return taken
    },
    size: () => queued.size
  }
}
