import type { Milliseconds } from '@fuchsiastage/types'
import { reservationKey } from './state.js'

/** Kind of an operation on a pair of target and model. */
export type PairOperation = 'load' | 'removal'

/** Running and failed operations of this process. At most one operation runs for each pair of target and model. */
export interface PairOperationTracker {
  /**
   * Starts an operation and returns true, or returns false if one already runs on the pair. If the
   * operation resolves to false or throws, the cooldown for its kind begins.
   */
  readonly run: (kind: PairOperation, target: string, model: string, operation: () => Promise<boolean>) => boolean
  readonly isBusy: (target: string, model: string) => boolean
  /** Number of the last completed operation on the pair, 0 if there is none; undefined while an operation runs. */
  readonly lastOperationNumber: (target: string, model: string) => number | undefined
  /** Whether an operation of this kind failed on the pair within the cooldown. A failed removal does not delay a load. */
  readonly isInCooldown: (kind: PairOperation, target: string, model: string) => boolean
  /** Number of operations that are running. */
  readonly busyCount: () => number
  /** Resolves when all operations that are running now have ended. */
  readonly idle: () => Promise<void>
}

/**
 * Creates the tracker of loads and removals on pairs of target and model.
 *
 * @example
 * pairs.run('load', 'drafter-1', 'renewal-letter', async () => await operations.load(epoch, job) === 'loaded')
 */
export function createPairOperationTracker (now: () => Milliseconds, cooldownMilliseconds: Milliseconds, onError: (reason: unknown) => void): PairOperationTracker {
  const running = new Map<string, Promise<void>>()
  const cooldowns = new Map<string, Milliseconds>()
  const lastOperationNumbers = new Map<string, number>()
  let operationCount = 0

  const track = async (kind: PairOperation, key: string, operation: () => Promise<boolean>): Promise<void> => {
    let hasSucceeded = false
    try {
      hasSucceeded = await operation()
    } catch (reason) {
      onError(reason)
    }
    running.delete(key)
    lastOperationNumbers.set(key, ++operationCount)
    if (!hasSucceeded) cooldowns.set(`${kind} ${key}`, now() + cooldownMilliseconds)
    for (const [other, until] of cooldowns) if (until <= now()) cooldowns.delete(other)
  }

  return {
    run: (kind, target, model, operation) => {
      const key = reservationKey(target, model)
      if (running.has(key)) return false
      running.set(key, Promise.resolve())
      running.set(key, track(kind, key, operation))
      return true
    },
    // Target selection calls this for every target. The size check avoids building keys while no operation runs.
    isBusy: (target, model) => running.size > 0 && running.has(reservationKey(target, model)),
    lastOperationNumber: (target, model) => {
      const key = reservationKey(target, model)
      return running.has(key) ? undefined : lastOperationNumbers.get(key) ?? 0
    },
    isInCooldown: (kind, target, model) => cooldowns.size > 0 && (cooldowns.get(`${kind} ${reservationKey(target, model)}`) ?? -Infinity) > now(),
    busyCount: () => running.size,
    idle: async () => { await Promise.all(running.values()) }
  }
}
