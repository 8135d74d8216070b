import { PRIORITY_CLASSES, type Milliseconds, type PriorityClass } from '@fuchsiastage/types'

/** One deadline that a load should meet; requests of one class with the same deadline are one. */
export interface QueuedDeadline {
  readonly priority: PriorityClass
  /** Local monotonic time; infinite for replicas that no request waits for. */
  readonly deadlineAt: Milliseconds
}

export interface QueueEntry {
  /** Model or adapter. */
  readonly name: string
  /** Number of replicas wanted. */
  readonly replicas: number
  readonly deadlines: readonly QueuedDeadline[]
}

export type LoadQueue = ReadonlyMap<string, QueueEntry>

/** Deadlines kept for each entry; beyond that the most and the least urgent ones are kept. */
const DEADLINES_KEPT = 16

const classRank = (priority: PriorityClass): number => PRIORITY_CLASSES.indexOf(priority)

const byUrgency = (left: QueuedDeadline, right: QueuedDeadline): number =>
  classRank(left.priority) - classRank(right.priority) || left.deadlineAt - right.deadlineAt

/**
 * Adds a wanted replica; all requests for one name share one entry.
 *
 * @example
 * const queue = enqueue(new Map(), 'renewal-letter', 1, { priority: 'urgent', deadlineAt: clock.now() + 20_000 })
 */
export function enqueue (queue: LoadQueue, name: string, replicas: number, deadline: QueuedDeadline): LoadQueue {
  const entry = queue.get(name)
  const isKnown = entry?.deadlines.some(({ priority, deadlineAt }) => priority === deadline.priority && deadlineAt === deadline.deadlineAt)
  const deadlines = isKnown === true ? entry?.deadlines ?? [] : [...entry?.deadlines ?? [], deadline].sort(byUrgency)
  const kept = deadlines.length <= DEADLINES_KEPT ? deadlines : deadlines.toSpliced(DEADLINES_KEPT / 2, 1)
  return new Map(queue).set(name, { name, replicas: Math.max(replicas, entry?.replicas ?? 1), deadlines: kept })
}

/**
 * Removes deadlines that have passed and entries that no deadline is left of.
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

/** Most urgent deadline that a load ready at the given time meets, or undefined when there is none. */
export function reachableDeadline (entry: QueueEntry, readyAt: Milliseconds): QueuedDeadline | undefined {
  return entry.deadlines.find(({ deadlineAt }) => deadlineAt >= readyAt)
}

/**
 * Entries that are worth starting now: by priority class, then by the earliest deadline that can
 * still be met.
 *
 * @example
 * const order = loadOrder(queue, (name) => clock.now() + estimateOf(name))
 */
export function loadOrder (queue: LoadQueue, readyAt: (name: string) => Milliseconds): readonly QueueEntry[] {
  return [...queue.values()]
    .map((entry) => ({ entry, deadline: reachableDeadline(entry, readyAt(entry.name)) }))
    .filter((item): item is { entry: QueueEntry, deadline: QueuedDeadline } => item.deadline !== undefined)
    .sort((left, right) => byUrgency(left.deadline, right.deadline) || (left.entry.name < right.entry.name ? -1 : 1))
    .map(({ entry }) => entry)
}
