import type { Milliseconds } from '@fuchsiastage/types'

export interface QueueItem {
  readonly caller: string
  readonly weight: number
  readonly deadline: Milliseconds
}

/** The waiting requests of one priority class. */
export interface ClassQueue<Item extends QueueItem> {
  readonly size: () => number
  readonly add: (item: Item) => void
  /** Takes the next request: earliest deadline among the callers within their fair share. */
  readonly take: () => Item | undefined
  readonly remove: (item: Item) => boolean
  /** The request with the latest deadline. */
  readonly last: () => Item | undefined
  /** Requests with a deadline at or before the given one. */
  readonly countBefore: (deadline: Milliseconds) => number
  readonly byDeadline: () => readonly Item[]
}

interface CallerQueue<Item> {
  /** Sorted by deadline, earliest first. */
  readonly items: Item[]
  weight: number
  /** Dispatches so far divided by the weight (virtual time of weighted fair queueing). */
  virtualTime: number
}

/**
 * Creates the queue of one class. Deadlines decide between callers as long as no caller is ahead
 * of the others by more than the fairness window; beyond it a caller waits, so that one caller with
 * short deadlines cannot take the whole class.
 */
export function createClassQueue<Item extends QueueItem> (fairnessWindow: number): ClassQueue<Item> {
  const active = new Map<string, CallerQueue<Item>>()
  /** Virtual times of callers that have nothing waiting but are ahead of the class. */
  const idle = new Map<string, number>()
  let classTime = 0
  let size = 0

  const position = (items: readonly Item[], deadline: Milliseconds): number => {
    let low = 0
    let high = items.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((items[middle]?.deadline ?? Infinity) <= deadline) low = middle + 1
      else high = middle
    }
    return low
  }

  const add = (item: Item): void => {
    let queue = active.get(item.caller)
    if (queue === undefined) {
      // A caller that was idle must not collect credit for that time.
      queue = { items: [], weight: item.weight, virtualTime: Math.max(classTime, idle.get(item.caller) ?? 0) }
      idle.delete(item.caller)
      active.set(item.caller, queue)
    }
    queue.weight = item.weight
    queue.items.splice(position(queue.items, item.deadline), 0, item)
    size++
  }

  const retireIfEmpty = (caller: string, queue: CallerQueue<Item>): void => {
    if (queue.items.length > 0) return
    active.delete(caller)
    if (queue.virtualTime > classTime) idle.set(caller, queue.virtualTime)
    for (const [name, time] of idle) if (time <= classTime) idle.delete(name)
  }

  const take = (): Item | undefined => {
    let least = Infinity
    for (const { virtualTime } of active.values()) least = Math.min(least, virtualTime)
    let chosen: CallerQueue<Item> | undefined
    let first: Item | undefined
    for (const queue of active.values()) {
      const head = queue.items[0]
      if (head === undefined || queue.virtualTime > least + fairnessWindow) continue
      if (first === undefined || head.deadline < first.deadline) {
        chosen = queue
        first = head
      }
    }
    if (chosen === undefined || first === undefined) return undefined
    chosen.items.shift()
    size--
    classTime = Math.max(classTime, least)
    chosen.virtualTime += 1 / Math.max(chosen.weight, Number.EPSILON)
    retireIfEmpty(first.caller, chosen)
    return first
  }

  const remove = (item: Item): boolean => {
    const queue = active.get(item.caller)
    const index = queue?.items.indexOf(item) ?? -1
    if (queue === undefined || index < 0) return false
    queue.items.splice(index, 1)
    size--
    retireIfEmpty(item.caller, queue)
    return true
  }

  const last = (): Item | undefined => {
    let latest: Item | undefined
    for (const { items } of active.values()) {
      const candidate = items.at(-1)
      if (candidate !== undefined && (latest === undefined || candidate.deadline > latest.deadline)) latest = candidate
    }
    return latest
  }

  const countBefore = (deadline: Milliseconds): number => {
    let count = 0
    for (const { items } of active.values()) count += position(items, deadline)
    return count
  }

  const byDeadline = (): readonly Item[] =>
    [...active.values()].flatMap(({ items }) => items).sort((left, right) => left.deadline - right.deadline)

  return { size: () => size, add, take, remove, last, countBefore, byDeadline }
}
