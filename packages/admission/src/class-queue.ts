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
  /** Removes and returns the next request: the one with the earliest deadline among the callers within their fair share. */
  readonly take: () => Item | undefined
  /** Returns false if the request is not in the queue. */
  readonly remove: (item: Item) => boolean
  /** Returns the request with the latest deadline. */
  readonly latest: () => Item | undefined
  /** Counts the requests with a deadline at or before the given one. */
  readonly countBefore: (deadline: Milliseconds) => number
  /** Returns all requests, earliest deadline first. */
  readonly byDeadline: () => readonly Item[]
}

interface CallerQueue<Item> {
  /** Sorted by deadline, earliest first. */
  readonly items: Item[]
  weight: number
  /** Virtual time of weighted fair queueing; each dispatch advances it by 1 / weight. */
  virtualTime: number
}

/**
 * Creates the queue of one class. Requests are dispatched by earliest deadline across callers. A
 * caller whose virtual time exceeds the lowest one by more than the fairness window has to wait, so
 * that one caller with short deadlines cannot take all dispatches of the class.
 */
export function createClassQueue<Item extends QueueItem> (fairnessWindow: number): ClassQueue<Item> {
  const activeQueues = new Map<string, CallerQueue<Item>>()
  /** Virtual times of callers without waiting requests, kept while they are ahead of the class's virtual time. */
  const idleVirtualTimes = new Map<string, number>()
  let classVirtualTime = 0
  let size = 0

  const insertionIndex = (items: readonly Item[], deadline: Milliseconds): number => {
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
    let queue = activeQueues.get(item.caller)
    if (queue === undefined) {
      // An idle caller must not fall behind the class's virtual time, because it could then take many dispatches in a row.
      queue = { items: [], weight: item.weight, virtualTime: Math.max(classVirtualTime, idleVirtualTimes.get(item.caller) ?? 0) }
      idleVirtualTimes.delete(item.caller)
      activeQueues.set(item.caller, queue)
    }
    queue.weight = item.weight
    queue.items.splice(insertionIndex(queue.items, item.deadline), 0, item)
    size++
  }

  const deactivateIfEmpty = (caller: string, queue: CallerQueue<Item>): void => {
    if (queue.items.length > 0) return
    activeQueues.delete(caller)
    if (queue.virtualTime > classVirtualTime) idleVirtualTimes.set(caller, queue.virtualTime)
    for (const [name, time] of idleVirtualTimes) if (time <= classVirtualTime) idleVirtualTimes.delete(name)
  }

  const take = (): Item | undefined => {
    let minimumVirtualTime = Infinity
    for (const { virtualTime } of activeQueues.values()) minimumVirtualTime = Math.min(minimumVirtualTime, virtualTime)
    let chosen: CallerQueue<Item> | undefined
    let earliest: Item | undefined
    for (const queue of activeQueues.values()) {
      const head = queue.items[0]
      if (head === undefined || queue.virtualTime > minimumVirtualTime + fairnessWindow) continue
      if (earliest === undefined || head.deadline < earliest.deadline) {
        chosen = queue
        earliest = head
      }
    }
    if (chosen === undefined || earliest === undefined) return undefined
    chosen.items.shift()
    size--
    classVirtualTime = Math.max(classVirtualTime, minimumVirtualTime)
    chosen.virtualTime += 1 / Math.max(chosen.weight, Number.EPSILON)
    deactivateIfEmpty(earliest.caller, chosen)
    return earliest
  }

  const remove = (item: Item): boolean => {
    const queue = activeQueues.get(item.caller)
    const index = queue?.items.indexOf(item) ?? -1
    if (queue === undefined || index < 0) return false
    queue.items.splice(index, 1)
    size--
    deactivateIfEmpty(item.caller, queue)
    return true
  }

  const latest = (): Item | undefined => {
    let latestItem: Item | undefined
    for (const { items } of activeQueues.values()) {
      const candidate = items.at(-1)
      if (candidate !== undefined && (latestItem === undefined || candidate.deadline > latestItem.deadline)) latestItem = candidate
    }
    return latestItem
  }

  const countBefore = (deadline: Milliseconds): number => {
    let count = 0
    for (const { items } of activeQueues.values()) count += insertionIndex(items, deadline)
    return count
  }

  const byDeadline = (): readonly Item[] =>
    [...activeQueues.values()].flatMap(({ items }) => items).sort((left, right) => left.deadline - right.deadline)

  return { size: () => size, add, take, remove, latest, countBefore, byDeadline }
}
