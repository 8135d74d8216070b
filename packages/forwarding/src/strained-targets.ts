import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

/** Targets whose streams pause for longer than their routes allow for. */
export interface StrainedTargets {
  readonly note: (target: TargetKey) => void
  readonly has: (target: TargetKey) => boolean
  readonly list: () => readonly TargetKey[]
}

/** Several pauses of a batch that reads long prompts; after that, other requests may be tried again. */
const STRAINED_MILLISECONDS = 1_500

/**
 * Creates the record of targets that are strained at present. Load reports do not show it: a batch
 * that reads long prompts delays every stream in it while most of its slots and memory are free.
 *
 * @example
 * const strained = createStrainedTargets(clock)
 * if (pause > allowed) strained.note(target.key)
 */
export function createStrainedTargets (clock: Clock): StrainedTargets {
  const notedAt = new Map<TargetKey, Milliseconds>()
  const has = (target: TargetKey): boolean => clock.now() - (notedAt.get(target) ?? -Infinity) < STRAINED_MILLISECONDS

  return {
    note: (target) => { notedAt.set(target, clock.now()) },
    has,
    list: () => {
      for (const target of [...notedAt.keys()]) if (!has(target)) notedAt.delete(target)
      return [...notedAt.keys()]
    }
  }
}
