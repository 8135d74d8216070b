import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import { createStatedFigures, type StatedFigures, type StatedFiguresOptions } from './stated-figures.js'

/** The targets that state that they are brittle, with the requests that each of them may turn away in a second without falling over. */
export interface BrittleTargets extends Omit<StatedFigures, 'figureOf' | 'ageOf'> {
  /** Requests that the target may turn away in a second; undefined unless it is brittle. */
  readonly rejectionsOf: (target: TargetKey) => number | undefined
}

export interface BrittleTargetsOptions extends Pick<StatedFiguresOptions, 'clock' | 'isKnown'> {
  readonly logger: Logger
  /** Called when a target states first that it is brittle, to this daemon or to a peer. */
  readonly onBrittle: (target: TargetKey) => void
}

/**
 * Creates the record of the targets that state that they are brittle.
 *
 * @example
 * const brittleTargets = createBrittleTargets({ clock, logger, isKnown: (target) => directory.find(target) !== undefined, onBrittle: rooms.reportSends })
 * brittleTargets.recordAnswer(target.key, 5, sentAt)
 */
export function createBrittleTargets ({ clock, logger, isKnown, onBrittle }: BrittleTargetsOptions): BrittleTargets {
  const { figureOf, ageOf, ...figures } = createStatedFigures({
    clock,
    isKnown,
    onChange: ({ target, figure, previous, source }) => {
      logger.info('the number of requests that a target may turn away without falling over has changed', { event: 'target-brittle-changed', target, rejections: figure ?? null, previous: previous ?? null, source })
      if (previous === undefined && figure !== undefined) onBrittle(target)
    }
  })
  return { ...figures, rejectionsOf: figureOf }
}
