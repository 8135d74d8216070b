import type { Clock } from '@fuchsiastage/clock'
import { createHash } from 'node:crypto'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import { createOutlierDetector } from './outliers.js'
import { createPrefixHints } from './prefix-hints.js'
import type { ReportStore } from './reports.js'
import type { RequestTracker } from './request-tracker.js'

/** A target that may serve a model or a service. */
export interface RoutingTarget {
  readonly name: string
  readonly address: string
  readonly dataCentre: string
  readonly maximumConcurrent: number
}

/** Identifies the destination of a request: a model, an adapter or a service. */
export type RouteKey = `model/${string}` | `service/${string}`

export interface RouteRequest {
  readonly key: RouteKey
  /** Hash of the prompt's prefix; targets that have it in their cache are preferred. */
  readonly prefix?: string
  /** Targets already tried by this request. */
  readonly exclude?: readonly string[]
}

export interface RouteDecision {
  readonly target: RoutingTarget
  /** Lower is better. */
  readonly score: number
  /** The target probably has the prompt's prefix in its cache. */
  readonly prefixHit: boolean
}

export interface CacheEventInput {
  readonly sequence: number
  readonly model: string
  readonly prefix: string
  readonly kind: 'stored' | 'evicted'
}

export interface RouterSettings {
  /** A target whose newest state is older than this receives no requests. */
  readonly maximumStateAgeMilliseconds: Milliseconds
  /** Maximum size of a key's subset: the targets of the key to which this daemon routes. Two far targets are kept even if the near targets fill it. */
  readonly subsetSize: number
  /** A target whose latency exceeds that of the nearest by more than this is far; it is used only when no near target is usable. */
  readonly latencyToleranceMilliseconds: Milliseconds
  /** Score added for each millisecond of latency. For comparison, the load of a full target adds 1. */
  readonly latencyWeight: number
  /** Score added for each second since the load was measured. */
  readonly ageWeight: number
  /** Score subtracted for a target that has the prefix in its cache. */
  readonly prefixBonus: number
  /** Number of prefixes for which hints are stored. */
  readonly maximumPrefixes: number
  readonly prefixHintLifetimeMilliseconds: Milliseconds
  /** Largest share of the targets in use that may be ejected at the same time. If there are two or more, one may always be ejected. */
  readonly maximumEjectedShare: number
  /** Duration of a target's first ejection; it doubles with each further ejection up to the maximum. */
  readonly ejectionMilliseconds: Milliseconds
  readonly maximumEjectionMilliseconds: Milliseconds
  /** Time over which a target returns to its full share of requests after an ejection. */
  readonly readmissionMilliseconds: Milliseconds
  /** Number of consecutive failures after which a target is ejected. */
  readonly consecutiveFailures: number
  /** A target is ejected as slow when its smoothed first-byte time exceeds the median by this factor. */
  readonly slowFactor: number
  /** How long the states of a key's targets are kept current after the last request for the key. */
  readonly watchMilliseconds: Milliseconds
  /** How long a target is excluded after a `busy` refusal, unless a newer load report arrives. */
  readonly busyExclusionMilliseconds: Milliseconds
}

/** Reason why a candidate is not usable. `no-news`: its newest state is too old or none is known. */
export type UnusableReason = 'excluded' | 'leaving' | 'no-news' | 'busy' | 'at-limit' | 'outlier'

export interface RouterOptions {
  readonly clock: Clock
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number
  readonly daemon: string
  readonly reports: ReportStore
  readonly tracker: RequestTracker
  /** One-way latency from this daemon to a data centre. */
  readonly latency: (dataCentre: string) => Milliseconds
  /** Estimated number of daemons that route to the same target. */
  readonly daemonsRouting: () => number
  readonly settings?: Partial<RouterSettings>
}

export interface Router {
  /** Replaces the targets of a key. The placement rules must already be applied to the list. */
  readonly setCandidates: (key: RouteKey, targets: readonly RoutingTarget[]) => void
  readonly removeCandidates: (key: RouteKey) => void
  /**
   * Selects a target. The error is `no-target` with outcome `not-run`, and its details contain the
   * number of candidates per `UnusableReason`. If candidates are counted under `no-news`, read the
   * states of `targetsToPoll` and choose again.
   */
  readonly choose: (request: RouteRequest) => Result<RouteDecision, FuchsiastageError>
  /** Whether the target's state is current and not leaving. Must be checked again right before the first byte is sent. */
  readonly mayUse: (target: string) => boolean
  /** Targets of the recently requested keys. The daemon must receive a load report from each of them every second. */
  readonly watchedTargets: () => readonly string[]
  /** Some of the key's targets whose state is unknown or too old and should be read. */
  readonly targetsToPoll: (key: RouteKey) => readonly RoutingTarget[]
  readonly recordCacheEvents: (target: string, events: readonly CacheEventInput[]) => void
  /** Records that a request with the prefix was sent to the target. */
  readonly recordPrefix: (target: string, key: RouteKey, prefix: string) => void
  readonly ejectedTargets: () => readonly string[]
  /** Estimated number of requests that this daemon may still send to the targets of a key; used for admission. */
  readonly freeSlots: (key: RouteKey) => number
}

export const DEFAULT_ROUTER_SETTINGS: RouterSettings = {
  maximumStateAgeMilliseconds: 3_000,
  // At the fleet size for which the system is designed, two daemons on average route to each target,
  // and the load reports for one key take about 3 KB per second.
  subsetSize: 32,
  latencyToleranceMilliseconds: 10,
  latencyWeight: 0.01,
  ageWeight: 0.05,
  prefixBonus: 0.3,
  maximumPrefixes: 20_000,
  prefixHintLifetimeMilliseconds: 600_000,
  maximumEjectedShare: 0.3,
  ejectionMilliseconds: 10_000,
  maximumEjectionMilliseconds: 300_000,
  readmissionMilliseconds: 10_000,
  consecutiveFailures: 5,
  slowFactor: 3,
  watchMilliseconds: 60_000,
  busyExclusionMilliseconds: 200
}

interface Candidate {
  readonly target: RoutingTarget
  readonly latency: Milliseconds
  /** Rendezvous hash of daemon and target; the targets with the highest ranks form the daemon's subset. */
  readonly rank: number
}

interface CandidatePool {
  /** Near targets, followed by the far targets, which are used only when no near target is usable. */
  readonly tiers: readonly (readonly Candidate[])[]
  readonly byName: ReadonlyMap<string, Candidate>
  usedAt: Milliseconds
}

interface BestCandidate {
  candidate: Candidate | undefined
  score: number
  prefixHit: boolean
}

/** Maximum number of random draws before the whole tier is searched in order. */
const MAXIMUM_RANDOM_DRAWS = 8
/** Number of usable random candidates whose scores are compared. */
const COMPARED_CANDIDATES = 2
const MAXIMUM_TARGETS_TO_POLL = 4
/** Far targets that stay in the subset even when the near targets fill it. */
const MINIMUM_FAR_TARGETS = 2
const RETRY_AFTER_MILLISECONDS = 1_000

/**
 * Creates the router. A decision compares two random members of the key's subset and the targets
 * that probably have the prefix in their cache. Its cost is bounded by the size of the subset and
 * does not depend on the number of targets.
 *
 * @example
 * router.setCandidates('model/renewal-letter', targets)
 * const decision = router.choose({ key: 'model/renewal-letter', prefix })
 */
export function createRouter (options: RouterOptions): Router {
  const { clock, random, daemon, reports, tracker } = options
  const settings: RouterSettings = { ...DEFAULT_ROUTER_SETTINGS, ...options.settings }
  const pools = new Map<RouteKey, CandidatePool>()
  const outliers = createOutlierDetector(clock, settings)
  const hints = createPrefixHints(clock, settings.maximumPrefixes, settings.prefixHintLifetimeMilliseconds)
  const ranks = new Map<string, number>()
  /** Number of keys whose subsets contain a target, by target name. */
  const keyCountOf = new Map<string, number>()

  tracker.onEnd((target, result) => {
    outliers.record(target, result, keyCountOf.size)
    if (result.kind === 'refused' && result.code === 'leaving') reports.markLeaving(target, reports.get(target)?.incarnation)
  })

  const rankOf = (target: string): number => {
    let rank = ranks.get(target)
    if (rank === undefined) {
      rank = createHash('sha256').update(daemon).update('\u0000').update(target).digest().readUIntBE(0, 6)
      ranks.set(target, rank)
    }
    return rank
  }

  const adjustKeyCounts = (pool: CandidatePool | undefined, change: 1 | -1): void => {
    for (const name of pool?.byName.keys() ?? []) {
      const count = (keyCountOf.get(name) ?? 0) + change
      if (count > 0) keyCountOf.set(name, count)
      else keyCountOf.delete(name)
    }
  }

  const setCandidates = (key: RouteKey, targets: readonly RoutingTarget[]): void => {
    const candidates = targets
      .filter(({ name }) => !reports.isLeaving(name))
      .map((target): Candidate => ({ target, latency: options.latency(target.dataCentre), rank: rankOf(target.name) }))
      .sort((left, right) => right.rank - left.rank)
    const nearest = candidates.reduce((least, { latency }) => Math.min(least, latency), Infinity)
    const isNear = ({ latency }: Candidate): boolean => latency <= nearest + settings.latencyToleranceMilliseconds
    const near = candidates.filter(isNear).slice(0, settings.subsetSize)
    const far = candidates.filter((candidate) => !isNear(candidate)).slice(0, Math.max(MINIMUM_FAR_TARGETS, settings.subsetSize - near.length))
    const byName = new Map([...near, ...far].map((candidate) => [candidate.target.name, candidate]))
    const previous = pools.get(key)
    const pool: CandidatePool = { tiers: [near, far], byName, usedAt: previous?.usedAt ?? -Infinity }
    adjustKeyCounts(pool, 1)
    adjustKeyCounts(previous, -1)
    pools.set(key, pool)
    removeUnused()
  }

  const removeUnused = (): void => {
    // Ranks of targets outside all subsets stay cached until they outnumber the targets in use by 10,000.
    if (ranks.size <= 2 * keyCountOf.size + 10_000) return
    for (const target of ranks.keys()) if (!keyCountOf.has(target)) ranks.delete(target)
    outliers.retain((target) => keyCountOf.has(target))
  }

  const unusableReason = (candidate: Candidate, exclude: readonly string[] | undefined, now: Milliseconds): Exclude<UnusableReason, 'outlier'> | undefined => {
    const { name, maximumConcurrent } = candidate.target
    if (exclude !== undefined && exclude.includes(name)) return 'excluded'
    const known = reports.get(name)
    if (known === undefined) return reports.isLeaving(name) ? 'leaving' : 'no-news'
    if (known.leaving) return 'leaving'
    if (now - known.producedAt > settings.maximumStateAgeMilliseconds) return 'no-news'
    const lastBusyAt = tracker.lastBusyAt(name)
    if (lastBusyAt !== undefined && known.loadMeasuredAt <= lastBusyAt && now - lastBusyAt < settings.busyExclusionMilliseconds) return 'busy'
    const inFlight = tracker.inFlight(name)
    // A daemon without a request in flight at the target may always send one, even when the report
    // shows no free capacity. Otherwise the other daemons' requests could starve it.
    if (inFlight === 0) return undefined
    if (inFlight >= maximumConcurrent || remainingShare(candidate) < 1) return 'at-limit'
    return undefined
  }

  /** Number of requests that this daemon may still send to the target before the next load report. */
  const remainingShare = (candidate: Candidate): number => {
    const { name, maximumConcurrent } = candidate.target
    const known = reports.get(name)
    if (known === undefined) return 0
    const { load, loadMeasuredAt } = known
    const free = Math.min(load.capacity, maximumConcurrent) - load.running - load.waiting
    const netRequests = tracker.netRequestsSince(name, loadMeasuredAt)
    const share = free <= 0 ? 0 : Math.max(1, Math.floor(free / Math.max(1, options.daemonsRouting())))
    return Math.min(share, free) - netRequests
  }

  const scoreOf = (candidate: Candidate, prefixHit: boolean, now: Milliseconds): number => {
    const { name, maximumConcurrent } = candidate.target
    const known = reports.get(name)
    if (known === undefined) return Infinity
    const { load, loadMeasuredAt } = known
    const expectedRequests = Math.max(load.running + load.waiting + tracker.netRequestsSince(name, loadMeasuredAt), tracker.inFlight(name))
    return expectedRequests / Math.max(1, Math.min(load.capacity, maximumConcurrent)) +
      settings.latencyWeight * candidate.latency +
      settings.ageWeight * (now - loadMeasuredAt) / 1_000 -
      (prefixHit ? settings.prefixBonus : 0)
  }

  const updateBest = (best: BestCandidate, candidate: Candidate, prefixHit: boolean, now: Milliseconds): void => {
    const score = scoreOf(candidate, prefixHit, now)
    if (best.candidate !== undefined && score >= best.score) return
    best.candidate = candidate
    best.score = score
    best.prefixHit = prefixHit
  }

  /** After an ejection, a target is a candidate only in a random share of the decisions; the share rises to 1 during readmission. */
  const isReadmitted = (name: string): boolean => {
    const weight = outliers.weight(name)
    return weight >= 1 || (weight > 0 && random() < weight)
  }

  const chooseFrom = (pool: CandidatePool, tier: readonly Candidate[], request: RouteRequest, now: Milliseconds): BestCandidate => {
    const best: BestCandidate = { candidate: undefined, score: Infinity, prefixHit: false }
    const { key, prefix, exclude } = request
    const isUsable = (candidate: Candidate): boolean => unusableReason(candidate, exclude, now) === undefined
    if (prefix !== undefined) {
      hints.forEach(key, prefix, (name, incarnation) => {
        const candidate = pool.byName.get(name)
        if (candidate === undefined || !tier.includes(candidate) || reports.get(name)?.incarnation !== incarnation) return
        if (isUsable(candidate) && isReadmitted(name)) updateBest(best, candidate, true, now)
      })
    }
    let comparedCount = 0
    let firstDrawn: Candidate | undefined
    for (let draw = 0; draw < MAXIMUM_RANDOM_DRAWS && comparedCount < COMPARED_CANDIDATES; draw++) {
      const candidate = tier[Math.floor(random() * tier.length)]
      if (candidate === undefined || candidate === firstDrawn || !isUsable(candidate) || !isReadmitted(candidate.target.name)) continue
      firstDrawn ??= candidate
      comparedCount++
      if (candidate !== best.candidate) updateBest(best, candidate, false, now)
    }
    if (best.candidate !== undefined) return best
    // The random draws found no usable candidate: search the whole tier, and use an ejected target rather than none.
    let outlier: Candidate | undefined
    const offset = Math.floor(random() * tier.length)
    for (let index = 0; index < tier.length && comparedCount < COMPARED_CANDIDATES; index++) {
      const candidate = tier[(offset + index) % tier.length]
      if (candidate === undefined || !isUsable(candidate)) continue
      if (outliers.weight(candidate.target.name) > 0) {
        comparedCount++
        updateBest(best, candidate, false, now)
      } else {
        outlier ??= candidate
      }
    }
    if (best.candidate === undefined && outlier !== undefined) updateBest(best, outlier, false, now)
    return best
  }

  const createNoTargetError = (request: RouteRequest, pool: CandidatePool | undefined, now: Milliseconds): FuchsiastageError => {
    const counts: Partial<Record<UnusableReason, number>> = {}
    for (const candidate of pool?.byName.values() ?? []) {
      const reason = unusableReason(candidate, request.exclude, now) ?? 'outlier'
      counts[reason] = (counts[reason] ?? 0) + 1
    }
    return createError({
      code: 'no-target',
      message: `no usable target for ${request.key}`,
      step: 'dispatch',
      status: 503,
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
      details: { candidates: pool?.byName.size ?? 0, ...counts }
    })
  }

  const choose = (request: RouteRequest): Result<RouteDecision, FuchsiastageError> => {
    const now = clock.now()
    const pool = pools.get(request.key)
    if (pool !== undefined) {
      pool.usedAt = now
      for (const tier of pool.tiers) {
        if (tier.length === 0) continue
        const { candidate, score, prefixHit } = chooseFrom(pool, tier, request, now)
        if (candidate !== undefined) return ok({ target: candidate.target, score, prefixHit })
      }
    }
    return err(createNoTargetError(request, pool, now))
  }

  const isCurrent = (target: string): boolean => {
    const known = reports.get(target)
    return known !== undefined && !known.leaving && clock.now() - known.producedAt <= settings.maximumStateAgeMilliseconds
  }

  const watchedTargets = (): readonly string[] => {
    const now = clock.now()
    const watched = new Set<string>()
    for (const { usedAt, byName } of pools.values()) {
      if (now - usedAt <= settings.watchMilliseconds) for (const name of byName.keys()) watched.add(name)
    }
    return [...watched]
  }

  const targetsToPoll = (key: RouteKey): readonly RoutingTarget[] => {
    const targets: RoutingTarget[] = []
    for (const { target } of pools.get(key)?.byName.values() ?? []) {
      if (targets.length < MAXIMUM_TARGETS_TO_POLL && !reports.isLeaving(target.name) && !isCurrent(target.name)) targets.push(target)
    }
    return targets
  }

  const recordHint = (target: string, key: string, prefix: string, stored: boolean, sequence?: number): void =>
    hints.record(key, prefix, { target, incarnation: reports.get(target)?.incarnation, sequence, stored })

  return {
    setCandidates,
    removeCandidates: (key) => {
      adjustKeyCounts(pools.get(key), -1)
      pools.delete(key)
    },
    choose,
    mayUse: isCurrent,
    watchedTargets,
    targetsToPoll,
    recordCacheEvents: (target, events) => {
      for (const event of events) recordHint(target, `model/${event.model}`, event.prefix, event.kind === 'stored', event.sequence)
    },
    recordPrefix: (target, key, prefix) => recordHint(target, key, prefix, true),
    ejectedTargets: outliers.ejected,
    freeSlots: (key) => {
      let slots = 0
      for (const candidate of pools.get(key)?.byName.values() ?? []) {
        if (isCurrent(candidate.target.name)) slots += Math.max(tracker.inFlight(candidate.target.name) === 0 ? 1 : 0, remainingShare(candidate))
      }
      return slots
    }
  }
}
