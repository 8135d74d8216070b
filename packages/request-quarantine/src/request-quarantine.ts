import { createHash } from 'node:crypto'
import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { isCausedBy, keyOfCause, type CrashCause, type RequestTraits } from './crash-causes.js'
import { causeOf, findCrashPatterns, type CrashPattern } from './crash-patterns.js'
import { createCrashStore, type CrashUpdate, type LostRequest } from './crash-store.js'
import { MINIMUM_PROMPT_CRASHES } from './prompt-patterns.js'
import { MINIMUM_REQUEST_CRASHES } from './request-patterns.js'

/** Gossip about crashes and about suspected requests that were served all the same. */
export interface QuarantineUpdate {
  readonly crashes: readonly CrashUpdate[]
  /** Suspected parts of served requests, with the time since then. */
  readonly served: ReadonlyArray<readonly [part: string, ageMilliseconds: Milliseconds]>
  /** Fingerprints of suspected requests that were served, with the time since then; absent in messages of earlier versions. */
  readonly servedRequests?: ReadonlyArray<readonly [fingerprint: string, ageMilliseconds: Milliseconds]> | undefined
  /** Digests of the causes that the sender knows; absent in messages of earlier versions. */
  readonly causes?: readonly string[] | undefined
}

export type QuarantineDecision =
  | { readonly kind: 'allowed' }
  /** Requests with this cause crashed targets, and it is time to try one; this one may be it. */
  | { readonly kind: 'trial', readonly cause: CrashCause, readonly retryAfterMilliseconds: Milliseconds }
  /** Requests with this cause crash targets; the next one is tried after the given time. */
  | { readonly kind: 'quarantined', readonly cause: CrashCause, readonly retryAfterMilliseconds: Milliseconds }

export interface RequestQuarantine {
  /** Records that the connection to a target was lost when it had not responded to the request, or had just begun to. Returns whether its crash is still to be confirmed. */
  readonly recordLoss: (request: LostRequest) => boolean
  /** Records that an incarnation of a target cannot be reached any more. */
  readonly recordUnreachable: (target: TargetKey) => void
  /** Records a response of a target to a request that was sent at the given time. */
  readonly recordAnswer: (target: TargetKey, sentAt: Milliseconds) => void
  /** Records that a target of the service has answered a request, completely or for some time. */
  readonly recordServed: (service: string, traits: RequestTraits) => void
  /** Decides whether a request may be sent to a target now. Call it immediately before each send. */
  readonly check: (traits: RequestTraits) => QuarantineDecision
  /**
   * Grants a trial of a request, on the daemon that is responsible for them. Until the
   * outcome of the trial is known, no further one with the same cause is granted.
   */
  readonly grantTrial: (traits: RequestTraits) => boolean
  /** Rejects requests with the cause of this one until the outcome of a trial that another daemon was granted is known. */
  readonly awaitTrial: (traits: RequestTraits) => void
  /** Gossip for another daemon, with the evidence of the causes that it lacks. What it knows is undefined if it has not stated it. */
  readonly updates: (knownCauses: readonly string[] | undefined) => QuarantineUpdate
  /** Applies gossip that another daemon sent. */
  readonly applyUpdates: (update: QuarantineUpdate) => void
  /** Number of causes of each kind whose requests are rejected. */
  readonly count: (kind: CrashCause['kind']) => number
}

export interface RequestQuarantineOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Whether the incarnation of a target is still registered. */
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
/**
 * The same for one request that comes again. A trial costs a target and the requests that it serves, and
 * only the callers of this request can gain from it.
 */
const FIRST_REQUEST_TRIAL_MILLISECONDS = 300_000
/** Bounds the targets that trials crash to one in an hour for each pattern. */
const MAXIMUM_TRIAL_MILLISECONDS = 3_600_000
/** Time in which the outcome of a trial is known: the request waits at the engine, and the exchange passes the outcome on. */
const TRIAL_OUTCOME_MILLISECONDS = 10_000
/** The same for a pattern that may not be the cause. While no other requests are served, trials are often lost, because engines that restart are not listed yet. */
const DOUBTFUL_TRIAL_OUTCOME_MILLISECONDS = 2_000
/** Time in which all daemons learn through the exchange that a suspected part was served. */
const SERVED_EVERYWHERE_MILLISECONDS = 1_500
/** Minimum time between two evaluations while a crash waits for its confirmation. */
const EVALUATION_MILLISECONDS = 200
/** Share of the messages that repeat the evidence of the patterns to daemons of an earlier version. */
const REPEATED_EVIDENCE_SHARE = 0.125
/** Time for which gossip repeats that a suspected part or request was served, and the maximum number of each. */
const SERVED_GOSSIP_MILLISECONDS = 3_000
const MAXIMUM_SERVED_TRAITS = 32
/** Maximum number of causes in a message. */
const MAXIMUM_STATED_CAUSES = 32
/** 32 bits tell the few causes of a fleet apart. */
const CAUSE_DIGEST_DIGITS = 8

/**
 * Creates the quarantine for requests that crash targets. The daemons exchange which targets crashed and
 * which requests these had not answered, so each of them finds the same causes.
 *
 * @example
 * const quarantine = createRequestQuarantine({ clock, logger, isKnown, random: Math.random })
 * if (quarantine.check(traits).kind === 'allowed') await send()
 */
export function createRequestQuarantine (options: RequestQuarantineOptions): RequestQuarantine {
  const { clock, logger } = options
  const crashes = createCrashStore(options)
  const servedParts = new Map<string, Milliseconds>()
  const servedRequests = new Map<string, Milliseconds>()
  const trialUntil = new Map<string, Milliseconds>()
  let patterns: readonly CrashPattern[] = []
  let evaluatedRevision = 0
  let evaluatedAt: Milliseconds = -Infinity
  let isEvaluationDue = false

  const evaluate = (): void => {
    const isOutdated = isEvaluationDue || crashes.revision() !== evaluatedRevision
    if (!isOutdated && clock.now() - evaluatedAt < EVALUATION_MILLISECONDS) return
    const confirmed = crashes.confirmed()
    evaluatedAt = clock.now()
    evaluatedRevision = crashes.revision()
    isEvaluationDue = false
    for (const part of servedParts.keys()) if (!crashes.isSuspectedPart(part)) servedParts.delete(part)
    for (const fingerprint of servedRequests.keys()) if (!crashes.isSuspectedRequest(fingerprint)) servedRequests.delete(fingerprint)
    const previous = new Map(patterns.map((pattern) => [keyOfCause(pattern), pattern]))
    patterns = findCrashPatterns(confirmed, { part: (part) => servedParts.get(part) ?? -Infinity, request: (fingerprint) => servedRequests.get(fingerprint) ?? -Infinity })
    const current = new Set(patterns.map(keyOfCause))
    for (const pattern of patterns) if (!previous.has(keyOfCause(pattern))) logQuarantined(logger, pattern, clock.now())
    for (const [key, pattern] of previous) if (!current.has(key)) logReleased(logger, pattern)
    for (const key of trialUntil.keys()) if (!current.has(key)) trialUntil.delete(key)
  }

  const recordServed = (traits: RequestTraits, at: Milliseconds): void => {
    const record = (served: Map<string, Milliseconds>, trait: string): void => {
      if (at <= (served.get(trait) ?? -Infinity)) return
      served.set(trait, at)
      isEvaluationDue ||= patterns.some((pattern) => hasTrait(pattern, trait))
    }
    for (const part of traits.parts) if (crashes.isSuspectedPart(part)) record(servedParts, part)
    if (crashes.isSuspectedRequest(traits.fingerprint)) record(servedRequests, traits.fingerprint)
  }

  const patternOf = (traits: RequestTraits): CrashPattern | undefined => {
    evaluate()
    return patterns.find((pattern) => isCausedBy(traits, pattern) && !isPremature(pattern, clock.now()))
  }

  const check: RequestQuarantine['check'] = (traits) => {
    const pattern = patternOf(traits)
    if (pattern === undefined) return { kind: 'allowed' }
    const cause = causeOf(pattern)
    const untilTrial = Math.max(trialTime(pattern, traits), trialUntil.get(keyOfCause(pattern)) ?? -Infinity) - clock.now()
    if (untilTrial > 0) return { kind: 'quarantined', cause, retryAfterMilliseconds: untilTrial }
    return { kind: 'trial', cause, retryAfterMilliseconds: outcomeTime(pattern) }
  }

  const awaitTrial: RequestQuarantine['awaitTrial'] = (traits) => {
    const pattern = patternOf(traits)
    if (pattern !== undefined) trialUntil.set(keyOfCause(pattern), clock.now() + outcomeTime(pattern))
  }

  const grantTrial: RequestQuarantine['grantTrial'] = (traits) => {
    const decision = check(traits)
    switch (decision.kind) {
      case 'allowed':
        return true
      case 'quarantined':
        return false
      case 'trial':
        awaitTrial(traits)
        logTrial(logger, decision.cause)
        return true
    }
  }

  const recentlyServed = (served: ReadonlyMap<string, Milliseconds>): ReadonlyArray<readonly [string, Milliseconds]> => {
    const now = clock.now()
    return [...served]
      .filter(([, at]) => now - at < SERVED_GOSSIP_MILLISECONDS)
      .sort(([, one], [, other]) => other - one)
      .slice(0, MAXIMUM_SERVED_TRAITS)
      .map(([trait, at]): readonly [string, Milliseconds] => [trait, Math.round(now - at)])
  }

  const lackedCauses = (knownCauses: readonly string[] | undefined): readonly CrashPattern[] => {
    if (knownCauses === undefined) return patterns.length > 0 && options.random() < REPEATED_EVIDENCE_SHARE ? patterns : []
    return patterns.filter((pattern) => !knownCauses.includes(digestOf(pattern)))
  }

  return {
    recordLoss: crashes.recordLoss,
    recordUnreachable: crashes.recordUnreachable,
    recordAnswer: crashes.recordAnswer,
    recordServed: (service, traits) => {
      crashes.countServed(service)
      recordServed(traits, clock.now())
    },
    check,
    grantTrial,
    awaitTrial,
    updates: (knownCauses) => {
      evaluate()
      return {
        crashes: crashes.updates(lackedCauses(knownCauses)),
        served: recentlyServed(servedParts),
        servedRequests: recentlyServed(servedRequests),
        causes: patterns.slice(0, MAXIMUM_STATED_CAUSES).map(digestOf)
      }
    },
    applyUpdates: (update) => {
      update.crashes.forEach(crashes.applyUpdate)
      for (const [part, ageMilliseconds] of update.served) recordServed({ parts: [part], fingerprint: '' }, clock.now() - ageMilliseconds)
      for (const [fingerprint, ageMilliseconds] of update.servedRequests ?? []) recordServed({ parts: [], fingerprint }, clock.now() - ageMilliseconds)
    },
    count: (kind) => patterns.filter((pattern) => pattern.kind === kind).length
  }
}

function digestOf (cause: CrashCause): string {
  return createHash('sha256').update(keyOfCause(cause)).digest('hex').slice(0, CAUSE_DIGEST_DIGITS)
}

function hasTrait (cause: CrashCause, trait: string): boolean {
  switch (cause.kind) {
    case 'prompt':
      return cause.parts.includes(trait)
    case 'request':
      return cause.fingerprint === trait
  }
}

/** Whether another daemon may have served the prompt parts of a pattern that one request can explain as well. */
function isPremature (pattern: CrashPattern, now: Milliseconds): boolean {
  if (pattern.kind === 'request' || pattern.alternativeRequest === undefined) return false
  return now - (pattern.records[0]?.at ?? now) < SERVED_EVERYWHERE_MILLISECONDS
}

/** Time from which a request with these traits may be tried. */
function trialTime (pattern: CrashPattern, { parts, fingerprint }: RequestTraits): Milliseconds {
  switch (pattern.kind) {
    case 'prompt': {
      const { crashes, lastCrashAt, isDistinct, alternatives, alternativeRequest } = pattern
      if (alternativeRequest !== undefined && alternativeRequest !== fingerprint) return lastCrashAt
      // A request without the alternatives is tried early, but only once, because it costs an engine if the pattern is the cause.
      const excludesAlternatives = crashes === MINIMUM_PROMPT_CRASHES && alternatives.length > 0 && !alternatives.some((part) => parts.includes(part))
      return lastCrashAt + doubled(isDistinct && !excludesAlternatives ? FIRST_TRIAL_MILLISECONDS : FIRST_DOUBTFUL_TRIAL_MILLISECONDS, crashes - MINIMUM_PROMPT_CRASHES)
    }
    case 'request':
      return pattern.lastCrashAt + doubled(FIRST_REQUEST_TRIAL_MILLISECONDS, pattern.records.length - MINIMUM_REQUEST_CRASHES)
  }
}

function doubled (first: Milliseconds, times: number): Milliseconds {
  return Math.min(MAXIMUM_TRIAL_MILLISECONDS, first * 2 ** times)
}

function outcomeTime (pattern: CrashPattern): Milliseconds {
  switch (pattern.kind) {
    case 'prompt':
      return pattern.isDistinct && pattern.alternativeRequest === undefined ? TRIAL_OUTCOME_MILLISECONDS : DOUBTFUL_TRIAL_OUTCOME_MILLISECONDS
    case 'request':
      return TRIAL_OUTCOME_MILLISECONDS
  }
}

function logQuarantined (logger: Logger, pattern: CrashPattern, now: Milliseconds): void {
  const lastCrash = Math.round(now - pattern.lastCrashAt)
  switch (pattern.kind) {
    case 'prompt':
      logger.warn('requests with these prompt parts crash engines; they are rejected', { event: 'prompt-quarantined', parts: pattern.parts, crashes: pattern.crashes, distinct: pattern.isDistinct, lastCrash })
      break
    case 'request':
      logger.warn('a request that comes again crashes targets; it is rejected', { event: 'request-quarantined', fingerprint: pattern.fingerprint, crashes: pattern.records.length, lastCrash })
      break
  }
}

function logReleased (logger: Logger, cause: CrashCause): void {
  switch (cause.kind) {
    case 'prompt':
      logger.info('requests with these prompt parts are no longer rejected', { event: 'prompt-released', parts: cause.parts })
      break
    case 'request':
      logger.info('a request that crashed targets is no longer rejected', { event: 'request-released', fingerprint: cause.fingerprint })
      break
  }
}

function logTrial (logger: Logger, cause: CrashCause): void {
  switch (cause.kind) {
    case 'prompt':
      logger.info('one request with quarantined prompt parts is tried', { event: 'prompt-trial', parts: cause.parts })
      break
    case 'request':
      logger.info('a quarantined request is tried once', { event: 'request-trial', fingerprint: cause.fingerprint })
      break
  }
}
