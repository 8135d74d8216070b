import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** A value that can be read as it was some time ago. */
export interface LaggedValue<Value> {
  readonly set: (value: Value) => void
  readonly current: () => Value
  readonly readBefore: (lagMilliseconds: Milliseconds) => Value
}

/** Older values are forgotten, so a lag must stay below this. */
export const MAXIMUM_LAG_MILLISECONDS = 600_000

/**
 * Creates a value with its recent history.
 *
 * @example
 * const load = createLaggedValue(clock, { running: 0, waiting: 0 })
 * load.readBefore(500)
 */
export function createLaggedValue<Value> (clock: Clock, initial: Value): LaggedValue<Value> {
  const history: { readonly since: Milliseconds, readonly value: Value }[] = [{ since: -Infinity, value: initial }]

  const forget = (): void => {
    const horizon = clock.now() - MAXIMUM_LAG_MILLISECONDS
    while ((history[1]?.since ?? Infinity) <= horizon) history.shift()
  }

  return {
    set: (value) => {
      const last = history.at(-1)
      if (last?.since === clock.now()) history.pop()
      history.push({ since: clock.now(), value })
      forget()
    },
    current: () => history.at(-1)?.value ?? initial,
    readBefore: (lagMilliseconds) => {
      const time = clock.now() - lagMilliseconds
      return (history.findLast(({ since }) => since <= time) ?? history[0])?.value ?? initial
    }
  }
}
