import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** A value that can be read with a lag, as it was some milliseconds ago. */
export interface LaggedValue<Value> {
  readonly set: (value: Value) => void
  readonly current: () => Value
  readonly readWithLag: (lagMilliseconds: Milliseconds) => Value
}

/** History older than this is dropped, so a lag must not exceed it. */
export const MAXIMUM_LAG_MILLISECONDS = 600_000

/**
 * Creates a value that keeps its history of the last `MAXIMUM_LAG_MILLISECONDS`.
 *
 * @example
 * const load = createLaggedValue(clock, { running: 0, waiting: 0 })
 * load.readWithLag(500)
 */
export function createLaggedValue<Value> (clock: Clock, initial: Value): LaggedValue<Value> {
  const history: { readonly since: Milliseconds, readonly value: Value }[] = [{ since: -Infinity, value: initial }]

  const dropExpired = (): void => {
    const oldestReadableTime = clock.now() - MAXIMUM_LAG_MILLISECONDS
    while ((history[1]?.since ?? Infinity) <= oldestReadableTime) history.shift()
  }

  return {
    set: (value) => {
      const last = history.at(-1)
      if (last?.since === clock.now()) history.pop()
      history.push({ since: clock.now(), value })
      dropExpired()
    },
    current: () => history.at(-1)?.value ?? initial,
    readWithLag: (lagMilliseconds) => {
      const time = clock.now() - lagMilliseconds
      return (history.findLast(({ since }) => since <= time) ?? history[0])?.value ?? initial
    }
  }
}
