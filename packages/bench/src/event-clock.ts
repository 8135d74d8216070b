import type { Clock, Timer } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

interface ScheduledEvent {
  readonly dueAt: Milliseconds
  readonly sequence: number
  readonly callback: () => void
  isCancelled: boolean
}

/** Clock that runs scheduled events in order of time, for simulations of many hours. */
export interface EventClock extends Clock {
  /** Runs all events due up to the given time. Promises settle only after an event that called `settleSoon` or ended a `sleep`. */
  readonly runUntil: (time: Milliseconds) => Promise<void>
  /** Lets pending promises settle before the next event. */
  readonly settleSoon: () => void
}

/**
 * Creates an event clock that starts at zero. It differs from the manual clock in two ways that
 * long simulations need: timers are kept in a heap, and it waits for promises only after the events
 * that require it.
 *
 * @example
 * const clock = createEventClock()
 * clock.setTimer(50, () => arrive())
 * await clock.runUntil(86_400_000)
 */
export function createEventClock (): EventClock {
  const heap: ScheduledEvent[] = []
  let time = 0
  let sequence = 0
  let mustSettle = false

  const isBefore = (left: ScheduledEvent, right: ScheduledEvent): boolean =>
    left.dueAt < right.dueAt || (left.dueAt === right.dueAt && left.sequence < right.sequence)

  const push = (event: ScheduledEvent): void => {
    let index = heap.push(event) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      const parentEvent = heap[parent] as ScheduledEvent
      if (!isBefore(event, parentEvent)) break
      heap[index] = parentEvent
      index = parent
    }
    heap[index] = event
  }

  const pop = (): ScheduledEvent | undefined => {
    const first = heap[0]
    const last = heap.pop()
    if (first === undefined || last === undefined || heap.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1] as ScheduledEvent, heap[child] as ScheduledEvent)) child++
      if (!isBefore(heap[child] as ScheduledEvent, last)) break
      heap[index] = heap[child] as ScheduledEvent
      index = child
    }
    heap[index] = last
    return first
  }

  const setTimer = (delay: Milliseconds, callback: () => void): Timer => {
    const event: ScheduledEvent = { dueAt: time + Math.max(0, delay), sequence: sequence++, callback, isCancelled: false }
    push(event)
    return { cancel: () => { event.isCancelled = true } }
  }

  const settle = async (): Promise<void> => {
    mustSettle = false
    // `setImmediate` calls back after all promises that can settle now have settled.
    await new Promise<void>((resolve) => setImmediate(resolve))
  }

  return {
    now: () => time,
    wallNow: () => time,
    setTimer,
    sleep: (delay) => new Promise((resolve) => setTimer(delay, () => {
      mustSettle = true
      resolve()
    })),
    settleSoon: () => { mustSettle = true },
    runUntil: async (end) => {
      if (mustSettle) await settle()
      while (heap[0] !== undefined && heap[0].dueAt <= end) {
        const event = pop() as ScheduledEvent
        if (event.isCancelled) continue
        time = Math.max(time, event.dueAt)
        event.callback()
        if (mustSettle) await settle()
      }
      time = Math.max(time, end)
    }
  }
}
