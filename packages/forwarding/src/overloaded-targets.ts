import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

/** Targets with a recent pause of a stream that came close to the maximum pause of its route or exceeded it. */
export interface OverloadedTargets {
  readonly record: (target: TargetKey) => void
  readonly has: (target: TargetKey) => boolean
  readonly list: () => readonly TargetKey[]
}

/** Covers several pauses of a batch that processes long prompts; afterwards the target is tried again. */
const OVERLOADED_MILLISECONDS = 1_500

/**
 * Creates the record of overloaded targets. Load reports do not show this overload: a batch that
 * processes long prompts delays all its streams although most of its slots and memory are free.
 *
 * @example
 * const overloadedTargets = createOverloadedTargets(clock)
 * if (pause > tolerated) overloadedTargets.record(target.key)
 */
export function createOverloadedTargets (clock: Clock): OverloadedTargets {
  const recordedAt = new Map<TargetKey, Milliseconds>()
  const has = (target: TargetKey): boolean => clock.now() - (recordedAt.get(target) ?? -Infinity) < OVERLOADED_MILLISECONDS

  return {
    record: (target) => { recordedAt.set(target, clock.now()) },
    has,
    list: () => {
      for (const target of [...recordedAt.keys()]) if (!has(target)) recordedAt.delete(target)
      return [...recordedAt.keys()]
    }
  }
}
