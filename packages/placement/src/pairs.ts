import type { Milliseconds } from '@fuchsiastage/types'
import { reservationKey } from './state.js'

export type PairOperation = 'load' | 'removal'

/** Running and failed operations of this process. At most one operation runs for each pair of target and model. */
export interface PairTable {
  /**
   * Starts an operation and returns true, or returns false if one already runs on the pair. If the
   * operation resolves to false or throws, the cooldown for its kind begins.
   */
  readonly run: (kind: PairOperation, target: string, model: string, operation: () => Promise<boolean>) => boolean
  readonly isBusy: (target: string, model: string) => boolean
  /** Number of the last completed operation on the pair, 0 if there is none; undefined while an operation runs. */
  readonly activity: (target: string, model: string) => number | undefined
  /** Whether an operation of this kind failed on the pair within the cooldown. A failed removal does not delay a load. */
  readonly isCooling: (kind: PairOperation, target: string, model: string) => boolean
  readonly busyCount: () => number
  /** Resolves when all operations that are running now have ended. */
  readonly idle: () => Promise<void>
}

/**
 * Creates the table of operations on pairs of target and model.
 *
 * @example
 * pairs.run('load', 'drafter-1', 'renewal-letter', async () => await operations.load(epoch, job) === 'loaded')
 */
export function createPairTable (now: () => Milliseconds, cooldownMilliseconds: Milliseconds, onError: (reason: unknown) => void): PairTable {
  const busy = new Map<string, Promise<void>>()
  const cooling = new Map<string, Milliseconds>()
  const ended = new Map<string, number>()
  let counter = 0

  const track = async (kind: PairOperation, key: string, operation: () => Promise<boolean>): Promise<void> => {
    let isDone = false
    try {
      isDone = await operation()
    } catch (reason) {
      onError(reason)
    }
    busy.delete(key)
    ended.set(key, ++counter)
    if (!isDone) cooling.set(`${kind} ${key}`, now() + cooldownMilliseconds)
    for (const [other, until] of cooling) if (until <= now()) cooling.delete(other)
  }

  return {
    run: (kind, target, model, operation) => {
      const key = reservationKey(target, model)
      if (busy.has(key)) return false
      busy.set(key, Promise.resolve())
      busy.set(key, track(kind, key, operation))
      return true
    },
    // Target selection calls this for every target. The size check avoids building keys while no operation runs.
    isBusy: (target, model) => busy.size > 0 && busy.has(reservationKey(target, model)),
    activity: (target, model) => {
      const key = reservationKey(target, model)
      return busy.has(key) ? undefined : ended.get(key) ?? 0
    },
    isCooling: (kind, target, model) => cooling.size > 0 && (cooling.get(`${kind} ${reservationKey(target, model)}`) ?? -Infinity) > now(),
    busyCount: () => busy.size,
    idle: async () => { await Promise.all(busy.values()) }
  }
}
