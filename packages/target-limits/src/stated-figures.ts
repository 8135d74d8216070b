import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

/** Gossip about a figure that a target states in its responses. */
export interface StatedFigureUpdate {
  readonly target: TargetKey
  /** Null if the target does not state the figure any more. */
  readonly figure: number | null
  /** Time since the response that stated it. */
  readonly ageMilliseconds: Milliseconds
}

export interface FigureChange {
  readonly target: TargetKey
  readonly figure: number | undefined
  readonly previous: number | undefined
  readonly source: 'target' | 'peer'
}

/** A figure that targets state in their responses, by target and start. */
export interface StatedFigures {
  /**
   * Records the figure of a response, or undefined if it states none. A response without a figure ends the
   * known one only if its request was sent after that one had been stated.
   */
  readonly recordAnswer: (target: TargetKey, figure: number | undefined, sentAt: Milliseconds) => void
  /** Applies gossip that another daemon sent, where it is newer than what is known. */
  readonly applyUpdates: (updates: readonly StatedFigureUpdate[]) => void
  /** The figures that were stated or ended recently, the newest first. */
  readonly recentUpdates: () => readonly StatedFigureUpdate[]
  readonly figureOf: (target: TargetKey) => number | undefined
  /** Number of targets with a figure. */
  readonly count: () => number
  /** Time since the last response of the target that any daemon is known to have received; infinite without one. */
  readonly ageOf: (target: TargetKey) => Milliseconds
}

export interface StatedFiguresOptions {
  readonly clock: Clock
  /** Whether the target still exists. */
  readonly isKnown: (target: TargetKey) => boolean
  readonly onChange: (change: FigureChange) => void
}

interface StatedFigure {
  readonly figure: number | undefined
  /** Monotonic time of the response that stated it. */
  readonly statedAt: Milliseconds
}

/** Time for which gossip repeats a figure. Gossip reaches all daemons within a few periods, and a target in use states its figure again. */
const GOSSIP_MILLISECONDS = 5_000
/** Maximum number of figures in one message. Each takes some 40 bytes. */
const MAXIMUM_GOSSIP_UPDATES = 32
/** Time after which the figure of a target that does not exist any more is forgotten. */
const FORGET_MILLISECONDS = 60_000

/**
 * Creates the record of a figure that targets state in their responses.
 *
 * @example
 * const figures = createStatedFigures({ clock, isKnown: (target) => directory.find(target) !== undefined, onChange })
 * figures.recordAnswer(target.key, 5, sentAt)
 */
export function createStatedFigures ({ clock, isKnown, onChange }: StatedFiguresOptions): StatedFigures {
  const stated = new Map<TargetKey, StatedFigure>()

  const figureOf = (target: TargetKey): number | undefined => stated.get(target)?.figure

  const apply = (target: TargetKey, next: StatedFigure, source: FigureChange['source']): void => {
    const previous = figureOf(target)
    stated.set(target, next)
    if (previous !== next.figure) onChange({ target, figure: next.figure, previous, source })
  }

  const forgetRemovedTargets = (): void => {
    for (const [target, { statedAt }] of stated) if (clock.now() - statedAt > FORGET_MILLISECONDS && !isKnown(target)) stated.delete(target)
  }

  return {
    recordAnswer: (target, figure, sentAt) => {
      const known = stated.get(target)
      if (figure === undefined && (known === undefined || sentAt <= known.statedAt)) return
      apply(target, { figure, statedAt: clock.now() }, 'target')
    },
    applyUpdates: (updates) => {
      for (const { target, figure, ageMilliseconds } of updates) {
        const statedAt = clock.now() - ageMilliseconds
        if (statedAt > (stated.get(target)?.statedAt ?? -Infinity)) apply(target, { figure: figure ?? undefined, statedAt }, 'peer')
      }
    },
    recentUpdates: () => {
      forgetRemovedTargets()
      const now = clock.now()
      return [...stated]
        .filter(([, { statedAt }]) => now - statedAt < GOSSIP_MILLISECONDS)
        .sort(([, one], [, other]) => other.statedAt - one.statedAt)
        .slice(0, MAXIMUM_GOSSIP_UPDATES)
        .map(([target, { figure, statedAt }]) => ({ target, figure: figure ?? null, ageMilliseconds: Math.round(now - statedAt) }))
    },
    figureOf,
    count: () => [...stated.values()].filter(({ figure }) => figure !== undefined).length,
    ageOf: (target) => clock.now() - (stated.get(target)?.statedAt ?? -Infinity)
  }
}
