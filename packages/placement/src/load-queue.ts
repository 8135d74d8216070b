import { PRIORITY_CLASSES, type Milliseconds, type PriorityClass } from '@fuchsiastage/types'

/** A deadline that a load should meet. Requests with the same priority class and deadline share one. */
export interface QueuedDeadline {
  readonly priority: PriorityClass
  /** Local monotonic time; infinite for a minimum-warm replica, which no request waits for. */
  readonly deadlineAt: Milliseconds
}

export interface QueueEntry {
  /** Name of the model or adapter. */
  readonly name: string
  /** Number of replicas requested. */
  readonly replicas: number
  readonly deadlines: readonly QueuedDeadline[]
}

export type LoadQueue = ReadonlyMap<string, QueueEntry>

/** Maximum number of deadlines per entry. If there are more, the one of median urgency is dropped. */
const MAXIMUM_DEADLINES = 16

const classRank = (priority: PriorityClass): number => PRIORITY_CLASSES.indexOf(priority)

const byUrgency = (left: QueuedDeadline, right: QueuedDeadline): number =>
  classRank(left.priority) - classRank(right.priority) || left.deadlineAt - right.deadlineAt

/**
 * Adds a requested replica. All requests for the same model or adapter share one entry.
 *
 * @example
 * const queue = enqueue(new Map(), 'renewal-letter', 1, { priority: 'urgent', deadlineAt: clock.now() + 20_000 })
 */
export function enqueue (queue: LoadQueue, name: string, replicas: number, deadline: QueuedDeadline): LoadQueue {
  const entry = queue.get(name)
  const isKnown = entry?.deadlines.some(({ priority, deadlineAt }) => priority === deadline.priority && deadlineAt === deadline.deadlineAt)
  const deadlines = isKnown === true ? entry?.deadlines ?? [] : [...entry?.deadlines ?? [], deadline].sort(byUrgency)
  const kept = deadlines.length <= MAXIMUM_DEADLINES ? deadlines : deadlines.toSpliced(MAXIMUM_DEADLINES / 2, 1)
  return new Map(queue).set(name, { name, replicas: Math.max(replicas, entry?.replicas ?? 1), deadlines: kept })
}

/**
 * Removes deadlines that have passed and entries without remaining deadlines.
 *
 * @example
 * const waiting = expire(queue, clock.now())
 */
export function expire (queue: LoadQueue, now: Milliseconds): LoadQueue {
  const next = new Map<string, QueueEntry>()
  for (const entry of queue.values()) {
    const deadlines = entry.deadlines.filter(({ deadlineAt }) => deadlineAt > now)
    if (deadlines.length > 0) next.set(entry.name, deadlines.length === entry.deadlines.length ? entry : { ...entry, deadlines })
  }
  return next
}

/** Returns the most urgent deadline that a load completed at the given time meets, or undefined if there is none. */
export function reachableDeadline (entry: QueueEntry, readyAt: Milliseconds): QueuedDeadline | undefined {
  return entry.deadlines.find(({ deadlineAt }) => deadlineAt >= readyAt)
}

/**
 * Returns the entries with a deadline that can still be met, ordered by priority class and then by
 * the earliest such deadline.
 *
 * @example
 * const entries = entriesByUrgency(queue, (name) => clock.now() + estimateOf(name))
 */
export function entriesByUrgency (queue: LoadQueue, readyAt: (name: string) => Milliseconds): readonly QueueEntry[] {
  return [...queue.values()]
    .map((entry) => ({ entry, deadline: reachableDeadline(entry, readyAt(entry.name)) }))
    .filter((item): item is { entry: QueueEntry, deadline: QueuedDeadline } => item.deadline !== undefined)
    .sort((left, right) => byUrgency(left.deadline, right.deadline) || (left.entry.name < right.entry.name ? -1 : 1))
    .map(({ entry }) => entry)
}
