import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import { amountKey } from './amount-key.js'
import { AGREEMENT_MILLISECONDS, createFleetShare } from './fleet-share.js'
import type { AllowanceAnswer, AllowanceRequest, FleetView, PreviousAnswer } from './messages.js'

export interface AllowanceIssuerOptions {
  readonly clock: Clock
  /** Name of this daemon. */
  readonly name: string
  readonly fleet: () => FleetView
  /** False while this daemon is leaving the fleet, or does not know how many daemons it has; another one may issue the allowances. */
  readonly canIssue: () => boolean
}

export interface AllowanceIssuer {
  readonly decide: (request: AllowanceRequest) => AllowanceAnswer
  /** Call it every `BEAT_MILLISECONDS`, so that a suspension of the process is noticed. */
  readonly beat: () => void
  /** Discards the buckets of the customers for which this daemon is not responsible. */
  readonly retain: (isResponsible: (customer: string) => boolean) => void
  /** Number of buckets. */
  readonly count: () => number
}

interface Bucket {
  readonly customer: string
  /** Units that may be granted; negative after grants with a wait and requests larger than the burst. */
  level: number
  refilledAt: Milliseconds
  readonly createdAt: Milliseconds
  perSecond: number
  burst: number
  configurationVersion: number
  /** Time before which the predecessor issues the allowance. */
  heldUntil: Milliseconds
  /** Time until which this daemon counts as the one that issues, so that it does not wait for a predecessor. */
  issuingUntil: Milliseconds
}

/** Period of the calls of `beat`; four fit into the time that counts as a suspension. */
export const BEAT_MILLISECONDS = 250
/** Well above the delay of a timer on a VM with little CPU time, and below the time after which a daemon counts as unresponsive. */
const SUSPENSION_MILLISECONDS = 1_000
/**
 * A new bucket starts with this part of the burst: the previous issuer may have just granted the burst. With a
 * quarter, customers within limits of 18,000 to 42,000 tokens a second were refused in the first second of a fleet.
 */
const START_SHARE = 0.5
/** All advances together are at most half of the level, so that a daemon with a sudden load finds the rest. */
const ADVANCE_SHARE = 0.5
/** An advance is at most this part of the use of the last second; what is not used within a second is lost. */
const ADVANCE_USE_SHARE = 0.5
/**
 * Longest wait of a request behind another that waits, about what plain requests with objectives of 148 to 199 ms
 * can wait. Requests that can wait for longer would otherwise leave no room for them.
 */
const QUEUE_MILLISECONDS = 100
/** Buckets of customers without requests for this time are discarded; they would be full. */
const IDLE_MILLISECONDS = 600_000
const SWEEP_MILLISECONDS = 30_000
const MILLISECONDS_PER_SECOND = 1_000

/**
 * Creates the issuer of the allowances of customers: a token bucket for each customer for which the other
 * daemons ask this one. It takes over from an issuer that is still active only after two seconds, so that
 * all daemons change at the same time, and with a level no higher than the one that the predecessor stated.
 *
 * @example
 * const issuer = createAllowanceIssuer({ clock, name: 'vm-3', fleet, canIssue: () => true })
 * const answer = issuer.decide(request)
 */
export function createAllowanceIssuer ({ clock, name, fleet, canIssue }: AllowanceIssuerOptions): AllowanceIssuer {
  const buckets = new Map<string, Bucket>()
  const share = createFleetShare(clock, fleet)
  let lastBeatAt = clock.now()
  let sweptAt = clock.now()

  /** The successor has granted the refill of the time for which this process was suspended. */
  const dropRefillOfSuspension = (now: Milliseconds): void => {
    if (now - lastBeatAt < SUSPENSION_MILLISECONDS) return
    lastBeatAt = now
    for (const bucket of buckets.values()) {
      bucket.level = Math.min(bucket.level, START_SHARE * bucket.burst)
      bucket.refilledAt = now
      bucket.issuingUntil = -Infinity
    }
  }

  const create = (request: AllowanceRequest, now: Milliseconds): Bucket => ({
    customer: request.customer,
    // Daemons that start together have not heard of each other yet, and each one is the issuer of its own requests.
    level: START_SHARE * share.current() * request.burst,
    refilledAt: now,
    createdAt: now,
    perSecond: request.perSecond,
    burst: request.burst,
    configurationVersion: request.configurationVersion,
    heldUntil: -Infinity,
    issuingUntil: -Infinity
  })

  const refill = (bucket: Bucket, now: Milliseconds): void => {
    bucket.level = Math.min(bucket.burst, bucket.level + bucket.perSecond * share.current() * (now - bucket.refilledAt) / MILLISECONDS_PER_SECOND)
    bucket.refilledAt = now
  }

  const applyLimit = (bucket: Bucket, { perSecond, burst, configurationVersion }: AllowanceRequest): void => {
    if (configurationVersion <= bucket.configurationVersion) return
    Object.assign(bucket, { perSecond, burst, configurationVersion, level: Math.min(bucket.level, burst) })
  }

  const applyPrevious = (bucket: Bucket, { issuer, level, ageMilliseconds, isActive }: PreviousAnswer, now: Milliseconds): void => {
    const isOwn = issuer === name
    if (!isOwn && isActive && ageMilliseconds < AGREEMENT_MILLISECONDS && bucket.issuingUntil <= now) {
      bucket.heldUntil = now + AGREEMENT_MILLISECONDS
      bucket.issuingUntil = bucket.heldUntil + AGREEMENT_MILLISECONDS
    }
    if (isOwn && bucket.createdAt <= now - ageMilliseconds) return
    bucket.level = Math.min(bucket.level, level + bucket.perSecond * ageMilliseconds / MILLISECONDS_PER_SECOND)
  }

  const sweep = (now: Milliseconds): void => {
    if (now - sweptAt < SWEEP_MILLISECONDS) return
    sweptAt = now
    for (const [key, { refilledAt }] of buckets) if (now - refilledAt >= IDLE_MILLISECONDS) buckets.delete(key)
  }

  const decide: AllowanceIssuer['decide'] = (request) => {
    const now = clock.now()
    if (!canIssue()) return { kind: 'not-issuing', forMilliseconds: AGREEMENT_MILLISECONDS }
    dropRefillOfSuspension(now)
    const key = amountKey(request.customer, request.unit)
    const bucket = buckets.get(key) ?? create(request, now)
    buckets.set(key, bucket)
    refill(bucket, now)
    applyLimit(bucket, request)
    if (request.previous !== undefined) applyPrevious(bucket, request.previous, now)
    if (bucket.heldUntil > now) return { kind: 'not-issuing', forMilliseconds: bucket.heldUntil - now }
    bucket.issuingUntil = Math.max(bucket.issuingUntil, now + AGREEMENT_MILLISECONDS)
    bucket.level = Math.min(bucket.burst, bucket.level + request.returned) - (request.spent ?? 0)
    const { cost } = request
    const needed = Math.min(cost, bucket.burst)
    const waitMilliseconds = Math.max(0, MILLISECONDS_PER_SECOND * (needed - bucket.level) / (bucket.perSecond * share.current()))
    const longestWait = bucket.level < 0 ? Math.min(QUEUE_MILLISECONDS, request.maximumWaitMilliseconds) : request.maximumWaitMilliseconds
    if (waitMilliseconds > longestWait) return { kind: 'denied', retryAfterMilliseconds: waitMilliseconds, level: bucket.level }
    bucket.level -= cost
    const advance = advanceFor(request, bucket.level)
    bucket.level -= advance
    return { kind: 'granted', waitMilliseconds, advance, level: bucket.level }
  }

  /** Whole requests of the same cost, because a rest that no request fits into would be lost. */
  const advanceFor = ({ cost, recentUse }: AllowanceRequest, level: number): number => {
    if (cost <= 0) return 0
    const most = Math.min(level * ADVANCE_SHARE / Math.max(1, fleet().responsive), recentUse * ADVANCE_USE_SHARE)
    return Math.max(0, Math.floor(most / cost) * cost)
  }

  return {
    decide,
    beat: () => {
      const now = clock.now()
      dropRefillOfSuspension(now)
      lastBeatAt = now
      share.observe()
      sweep(now)
    },
    retain: (isResponsible) => { for (const [key, { customer }] of buckets) if (!isResponsible(customer)) buckets.delete(key) },
    count: () => buckets.size
  }
}
