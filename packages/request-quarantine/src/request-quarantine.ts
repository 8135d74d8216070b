import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { findCrashPatterns, MINIMUM_CRASHES, type CrashPattern } from './crash-patterns.js'
import { createCrashStore, type CrashUpdate, type LostRequest } from './crash-store.js'

/** Gossip about crashes and about suspected prompt parts that were served all the same. */
export interface QuarantineUpdate {
  readonly crashes: readonly CrashUpdate[]
  /** Suspected parts of served requests, with the time since then. */
  readonly served: ReadonlyArray<readonly [part: string, ageMilliseconds: Milliseconds]>
}

export type QuarantineDecision =
  | { readonly kind: 'allowed' }
  /** Requests with these parts crashed engines, and it is time to try one; this one may be it. */
  | { readonly kind: 'trial', readonly parts: readonly string[], readonly retryAfterMilliseconds: Milliseconds }
  /** Requests with these parts crash engines; the next one is tried after the given time. */
  | { readonly kind: 'quarantined', readonly parts: readonly string[], readonly retryAfterMilliseconds: Milliseconds }

export interface RequestQuarantine {
  /** Records that the connection to an engine was lost when it had not responded to the request, or had just begun to. Returns whether its crash is still to be confirmed. */
  readonly recordLoss: (request: LostRequest) => boolean
  /** Records that an incarnation of an engine cannot be reached any more. */
  readonly recordUnreachable: (target: TargetKey) => void
  /** Records a response of an engine to a request that was sent at the given time. */
  readonly recordAnswer: (target: TargetKey, sentAt: Milliseconds) => void
  /** Records that an engine has answered a request with these parts, completely or for some time. */
  readonly recordServed: (parts: readonly string[]) => void
  /** Decides whether a request with these parts may be sent to an engine now. Call it immediately before each send. */
  readonly check: (parts: readonly string[]) => QuarantineDecision
  /**
   * Grants a trial of a request with these parts, on the daemon that is responsible for them. Until the
   * outcome of the trial is known, no further one is granted.
   */
  readonly grantTrial: (parts: readonly string[]) => boolean
  /** Rejects requests with these parts until the outcome of a trial that another daemon was granted is known. */
  readonly awaitTrial: (parts: readonly string[]) => void
  readonly updates: () => QuarantineUpdate
  /** Applies gossip that another daemon sent. */
  readonly applyUpdates: (update: QuarantineUpdate) => void
  /** Number of patterns whose requests are rejected. */
  readonly count: () => number
}

export interface RequestQuarantineOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Whether the incarnation of an engine is still registered. */
  readonly isKnown: (target: TargetKey) => boolean
  /** Source of random numbers from 0 to 1. */
  readonly random: () => number
}

/**
 * Time after the last crash at which one request is tried; it doubles with each further crash. An engine
 * needs about as long to restart and to load its models.
 */
const FIRST_TRIAL_MILLISECONDS = 60_000
/** The same for a pattern that may not be the cause; it ends as soon as a trial is served. */
const FIRST_DOUBTFUL_TRIAL_MILLISECONDS = 3_000
/** Bounds the engines that trials crash to one in an hour for each pattern. */
const MAXIMUM_TRIAL_MILLISECONDS = 3_600_000
/** Time in which the outcome of a trial is known: the request waits at the engine, and the exchange passes the outcome on. */
const TRIAL_OUTCOME_MILLISECONDS = 10_000
/** The same while no other requests are served. Trials are then often lost, because engines that restart are not listed yet. */
const INDISTINCT_TRIAL_OUTCOME_MILLISECONDS = 2_000
/** Minimum time between two evaluations while a crash waits for its confirmation. */
const EVALUATION_MILLISECONDS = 200
/** Share of the messages that repeat the evidence of the patterns. */
const REPEATED_EVIDENCE_SHARE = 0.125
/** Time for which gossip repeats that a suspected part was served, and the maximum number of parts. */
const SERVED_GOSSIP_MILLISECONDS = 3_000
const MAXIMUM_SERVED_PARTS = 32

/**
 * Creates the quarantine for prompts that crash engines. The daemons exchange which engines crashed and
 * which requests these had not answered, so each of them finds the same patterns.
 *
 * @example
 * const quarantine = createRequestQuarantine({ clock, logger, isKnown, random: Math.random })
 * if (quarantine.check(parts).kind === 'allowed') await send()
 */
export function createRequestQuarantine (options: RequestQuarantineOptions): RequestQuarantine {
  const { clock, logger } = options
  const crashes = createCrashStore(options)
  const servedAt = new Map<string, Milliseconds>()
  const trialUntil = new Map<string, Milliseconds>()
  let patterns: readonly CrashPattern[] = []
  let evaluatedRevision = 0
  let evaluatedAt: Milliseconds = -Infinity
  let isEvaluationDue = false

  const keyOf = ({ parts }: CrashPattern): string => parts.join()

  const evaluate = (): void => {
    const isOutdated = isEvaluationDue || crashes.revision() !== evaluatedRevision
    if (!isOutdated && clock.now() - evaluatedAt < EVALUATION_MILLISECONDS) return
    const confirmed = crashes.confirmed()
    evaluatedAt = clock.now()
    evaluatedRevision = crashes.revision()
    isEvaluationDue = false
    for (const part of servedAt.keys()) if (!crashes.isSuspected(part)) servedAt.delete(part)
    const previous = new Set(patterns.map(keyOf))
    patterns = findCrashPatterns(confirmed, (part) => servedAt.get(part) ?? -Infinity)
    const current = new Set(patterns.map(keyOf))
    for (const pattern of patterns) {
      if (previous.has(keyOf(pattern))) continue
      logger.warn('requests with these prompt parts crash engines; they are rejected', { event: 'prompt-quarantined', parts: pattern.parts, crashes: pattern.crashes, distinct: pattern.isDistinct, lastCrash: Math.round(clock.now() - pattern.lastCrashAt) })
    }
    for (const key of previous) if (!current.has(key)) logger.info('requests with these prompt parts are no longer rejected', { event: 'prompt-released', parts: key.split(',') })
    for (const key of trialUntil.keys()) if (!current.has(key)) trialUntil.delete(key)
  }

  /** Time from which a request with these parts may be tried. A request without the alternatives is tried early, but only once, because it costs an engine if the pattern is the cause. */
  const trialAt = ({ crashes: count, lastCrashAt, isDistinct, alternatives }: CrashPattern, parts: readonly string[]): Milliseconds => {
    const excludesAlternatives = count === MINIMUM_CRASHES && alternatives.length > 0 && !alternatives.some((part) => parts.includes(part))
    const firstTrial = isDistinct && !excludesAlternatives ? FIRST_TRIAL_MILLISECONDS : FIRST_DOUBTFUL_TRIAL_MILLISECONDS
    return lastCrashAt + Math.min(MAXIMUM_TRIAL_MILLISECONDS, firstTrial * 2 ** (count - MINIMUM_CRASHES))
  }

  const outcomeTime = ({ isDistinct }: CrashPattern): Milliseconds => isDistinct ? TRIAL_OUTCOME_MILLISECONDS : INDISTINCT_TRIAL_OUTCOME_MILLISECONDS

  const recordServed = (parts: readonly string[], at: Milliseconds): void => {
    for (const part of parts) {
      if (!crashes.isSuspected(part) || at <= (servedAt.get(part) ?? -Infinity)) continue
      servedAt.set(part, at)
      isEvaluationDue ||= patterns.some((pattern) => pattern.parts.includes(part))
    }
  }

  const patternOf = (parts: readonly string[]): CrashPattern | undefined => {
    if (parts.length === 0) return undefined
    evaluate()
    return patterns.find((candidate) => candidate.parts.every((part) => parts.includes(part)))
  }

  const check: RequestQuarantine['check'] = (parts) => {
    const pattern = patternOf(parts)
    if (pattern === undefined) return { kind: 'allowed' }
    const untilTrial = Math.max(trialAt(pattern, parts), trialUntil.get(keyOf(pattern)) ?? -Infinity) - clock.now()
    if (untilTrial > 0) return { kind: 'quarantined', parts: pattern.parts, retryAfterMilliseconds: untilTrial }
    return { kind: 'trial', parts: pattern.parts, retryAfterMilliseconds: outcomeTime(pattern) }
  }

  const awaitTrial: RequestQuarantine['awaitTrial'] = (parts) => {
    const pattern = patternOf(parts)
    if (pattern !== undefined) trialUntil.set(keyOf(pattern), clock.now() + outcomeTime(pattern))
  }

  const grantTrial: RequestQuarantine['grantTrial'] = (parts) => {
    const decision = check(parts)
    switch (decision.kind) {
      case 'allowed':
        return true
      case 'quarantined':
        return false
      case 'trial':
        awaitTrial(parts)
        logger.info('one request with quarantined prompt parts is tried', { event: 'prompt-trial', parts: decision.parts })
        return true
    }
  }

  return {
    recordLoss: crashes.recordLoss,
    recordUnreachable: crashes.recordUnreachable,
    recordAnswer: crashes.recordAnswer,
    recordServed: (parts) => {
      crashes.countServed()
      recordServed(parts, clock.now())
    },
    check,
    grantTrial,
    awaitTrial,
    updates: () => {
      evaluate()
      const now = clock.now()
      const served = [...servedAt].filter(([, at]) => now - at < SERVED_GOSSIP_MILLISECONDS).sort(([, one], [, other]) => other - one).slice(0, MAXIMUM_SERVED_PARTS)
      return {
        crashes: crashes.updates(patterns.length > 0 && options.random() < REPEATED_EVIDENCE_SHARE ? patterns : []),
        served: served.map(([part, at]): readonly [string, Milliseconds] => [part, Math.round(now - at)])
      }
    },
    applyUpdates: (update) => {
      update.crashes.forEach(crashes.applyUpdate)
      for (const [part, ageMilliseconds] of update.served) recordServed([part], clock.now() - ageMilliseconds)
    },
    count: () => patterns.length
  }
}
