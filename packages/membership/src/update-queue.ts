import type { MembershipUpdate } from './messages.js'

interface QueuedUpdate {
  readonly update: MembershipUpdate
  readonly bytes: number
  readonly sequence: number
  sendCount: number
}

export interface UpdateQueueLimits {
  readonly maximumUpdates: number
  readonly maximumBytes: number
}

export interface UpdateQueue {
  /** Adds an update; it replaces a queued update about the same member or the same mark of a target. */
  readonly add: (update: MembershipUpdate) => void
  /** Returns the updates for one message: those sent least often first and, among these, the newest first. */
  readonly take: (memberCount: number) => readonly MembershipUpdate[]
  readonly size: () => number
}

/** The number of times that an update is sent is this factor times the binary logarithm of the number of members. */
const SENDS_FACTOR = 3

function subjectOf (update: MembershipUpdate): string {
  return update[0] === 't' ? `target ${update[1]} ${update[2]} ${update[3]}` : `member ${update[1]}`
}

/**
 * Returns the number of messages in which one member sends an update before it is removed from the queue.
 *
 * @example
 * maximumSends(370) // 26
 */
export function maximumSends (memberCount: number): number {
  return Math.max(1, Math.ceil(SENDS_FACTOR * Math.log2(Math.max(2, memberCount))))
}

/**
 * Creates the queue of updates that are piggybacked on membership messages.
 *
 * @example
 * const queue = createUpdateQueue({ maximumUpdates: 12, maximumBytes: 800 })
 */
export function createUpdateQueue (limits: UpdateQueueLimits): UpdateQueue {
  const queued = new Map<string, QueuedUpdate>()
  let sequence = 0
  return {
    add: (update) => {
      queued.set(subjectOf(update), { update, bytes: Buffer.byteLength(JSON.stringify(update)) + 1, sequence: sequence++, sendCount: 0 })
    },
    take: (memberCount) => {
      const sendOrder = [...queued.values()].sort((left, right) => left.sendCount - right.sendCount || right.sequence - left.sequence)
      const taken: MembershipUpdate[] = []
      let bytes = 0
      for (const queuedUpdate of sendOrder) {
        if (taken.length >= limits.maximumUpdates) break
        if (bytes + queuedUpdate.bytes > limits.maximumBytes) continue
        taken.push(queuedUpdate.update)
        bytes += queuedUpdate.bytes
        queuedUpdate.sendCount++
        if (queuedUpdate.sendCount >= maximumSends(memberCount)) queued.delete(subjectOf(queuedUpdate.update))
      }
      return taken
    },
    size: () => queued.size
  }
}
