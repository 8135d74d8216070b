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

/** Names what is routed to: a model, an adapter, or a plain service. */
export type RouteKey = `model/${string}` | `service/${string}`

export interface RouteRequest {
  readonly key: RouteKey
  /** Hash of the prompt's prefix, for affinity. */
  readonly prefix?: string
  /** Targets already tried by this request. */
  readonly exclude?: readonly string[]
}

export interface RouteDecision {
  readonly target: RoutingTarget
  readonly score: number
  /** The target is believed to hold the prompt's prefix in its cache. */
  readonly prefixHit: boolean
}

export interface CacheEventInput {
  readonly sequence: number
  readonly model: string
  readonly prefix: string
  readonly kind: 'stored' | 'evicted'
}

export interface RouterSettings {
  /** A target without news for this time gets nothing. */
  readonly newsMilliseconds: Milliseconds
  /** Most targets of one key that this daemon routes to. */
  readonly subsetSize: number
  /** Targets further away than the nearest by more than this are used only when no nearer one can be. */
  readonly nearMilliseconds: Milliseconds
  /** Score of one millisecond of latency; the score's unit is the load of a full target. */
  readonly latencyWeight: number
  /** Score of one second of age of the load report. */
  readonly ageWeight: number
  /** Lowers the score of a target that holds the prefix. */
  readonly prefixBonus: number
  readonly prefixHints: number
  readonly prefixHintMilliseconds: Milliseconds
  /** Largest part of the known targets that is ejected at a time. */
  readonly ejectedShare: number
  readonly ejectionMilliseconds: Milliseconds
  readonly maximumEjectionMilliseconds: Milliseconds
  /** Time over which a target returns to its full share after an ejection. */
  readonly readmissionMilliseconds: Milliseconds
  readonly consecutiveFailures: number
  /** A target is slow when its smoothed first-byte time exceeds the median by this factor. */
  readonly slowFactor: number
  /** How long the targets of a key are watched after a request for it. */
  readonly watchMilliseconds: Milliseconds
  /** How long a `busy` refusal keeps a target from being chosen while no newer report arrives. */
  readonly busyMilliseconds: Milliseconds
}

/** Why a candidate gets no request now. */
export type UnusableReason = 'excluded' | 'leaving' | 'no-news' | 'busy' | 'at-limit' | 'outlier'

export interface RouterOptions {
  readonly clock: Clock
  /** Uniform in [0, 1). */
  readonly random: () => number
  readonly daemon: string
  readonly reports: ReportStore
  readonly tracker: RequestTracker
  /** One-way latency to a data centre. */
  readonly latency: (dataCentre: string) => Milliseconds
  /** Number of daemons that route to a target. */
  readonly daemonsRouting: () => number
  readonly settings?: Partial<RouterSettings>
}

export interface Router {
  /** Replaces the targets of a key; the caller has applied the rules. */
  readonly setCandidates: (key: RouteKey, targets: readonly RoutingTarget[]) => void
  readonly removeCandidates: (key: RouteKey) => void
  /**
   * Picks a target; the error is `no-target` with outcome `not-run`, and its details count the
   * candidates by `UnusableReason`. With `no-news` the caller may read the state of the
   * `targetsToAsk` and choose again.
   */
  readonly choose: (request: RouteRequest) => Result<RouteDecision, FuchsiastageError>
  /** Whether the target may be sent a request now; the second check, right before the first byte. */
  readonly mayUse: (target: string) => boolean
  /** Targets of the keys that were chosen from lately; the daemon needs a report of each every second. */
  readonly watchedTargets: () => readonly string[]
  /** A few targets of the key about which there is no news. */
  readonly targetsToAsk: (key: RouteKey) => readonly RoutingTarget[]
  readonly recordCacheEvents: (target: string, events: readonly CacheEventInput[]) => void
  /** Notes that a request with the prefix was sent to the target. */
  readonly recordPrefix: (target: string, key: RouteKey, prefix: string) => void
  readonly ejectedTargets: () => readonly string[]
  /** Free places at the targets of a key by the daemon's own estimate, for admission. */
  readonly freePlaces: (key: RouteKey) => number
}

export const DEFAULT_ROUTER_SETTINGS: RouterSettings = {
  newsMilliseconds: 3_000,
  // At the design size each target is routed to by two daemons on average, and one key's reports
  // take about 3 KB a second.
  subsetSize: 32,
  nearMilliseconds: 10,
  latencyWeight: 0.01,
  ageWeight: 0.05,
  prefixBonus: 0.3,
  prefixHints: 20_000,
  prefixHintMilliseconds: 600_000,
  ejectedShare: 0.3,
  ejectionMilliseconds: 10_000,
  maximumEjectionMilliseconds: 300_000,
  readmissionMilliseconds: 10_000,
  consecutiveFailures: 5,
  slowFactor: 3,
  watchMilliseconds: 60_000,
  busyMilliseconds: 200
}

interface Candidate {
  readonly target: RoutingTarget
  readonly latency: Milliseconds
  /** Rendezvous hash of daemon and target; the highest form the subset. */
  readonly rank: number
}

interface KeyPool {
  /** Near targets, then those that are used only when no near one can be. */
  readonly tiers: readonly (readonly Candidate[])[]
  readonly byName: ReadonlyMap<string, Candidate>
  usedAt: Milliseconds
}

interface Best {
  candidate: Candidate | undefined
  score: number
  prefixHit: boolean
}

/** Random draws before the subset is searched in order. */
const DRAWS = 8
/** Random candidates that are compared. */
const CHOICES = 2
const TARGETS_TO_ASK = 4
/** Far targets that are kept although the near ones fill the subset. */
const FAR_TARGETS = 2
const RETRY_AFTER_MILLISECONDS = 1_000

/**
 * Creates the router. A decision compares two random members of the key's subset and the targets
 * that are believed to hold the prefix; its cost does not depend on the number of targets.
 *
 * @example
 * router.setCandidates('model/renewal-letter', targets)
 * const decision = router.choose({ key: 'model/renewal-letter', prefix })
 */
export function createRouter (options: RouterOptions): Router {
  const { clock, random, daemon, reports, tracker } = options
  const settings: RouterSettings = { ...DEFAULT_ROUTER_SETTINGS, ...options.settings }
  const pools = new Map<RouteKey, KeyPool>()
  const outliers = createOutlierDetector(clock, settings)
  const hints = createPrefixHints(clock, settings.prefixHints, settings.prefixHintMilliseconds)
  const ranks = new Map<string, number>()
  /** Number of keys that name a target. */
  const uses = new Map<string, number>()

  tracker.onEnd((target, result) => {
    outliers.record(target, result, uses.size)
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

  const countUse = (pool: KeyPool | undefined, by: 1 | -1): void => {
    for (const name of pool?.byName.keys() ?? []) {
      const count = (uses.get(name) ?? 0) + by
      if (count > 0) uses.set(name, count)
      else uses.delete(name)
    }
  }

  const setCandidates = (key: RouteKey, targets: readonly RoutingTarget[]): void => {
    const candidates = targets
      .filter(({ name }) => !reports.isLeaving(name))
      .map((target): Candidate => ({ target, latency: options.latency(target.dataCentre), rank: rankOf(target.name) }))
      .sort((left, right) => right.rank - left.rank)
    const nearest = candidates.reduce((least, { latency }) => Math.min(least, latency), Infinity)
    const isNear = ({ latency }: Candidate): boolean => latency <= nearest + settings.nearMilliseconds
    const near = candidates.filter(isNear).slice(0, settings.subsetSize)
    const far = candidates.filter((candidate) => !isNear(candidate)).slice(0, Math.max(FAR_TARGETS, settings.subsetSize - near.length))
    const byName = new Map([...near, ...far].map((candidate) => [candidate.target.name, candidate]))
    const previous = pools.get(key)
    const pool: KeyPool = { tiers: [near, far], byName, usedAt: previous?.usedAt ?? -Infinity }
    countUse(pool, 1)
    countUse(previous, -1)
    pools.set(key, pool)
    forgetUnused()
  }

  const forgetUnused = (): void => {
    // Ranks of targets outside the subsets are kept as a cache until they outnumber those in use.
    if (ranks.size <= 2 * uses.size + 10_000) return
    for (const target of ranks.keys()) if (!uses.has(target)) ranks.delete(target)
    outliers.retain((target) => uses.has(target))
  }

  const unusable = (candidate: Candidate, exclude: readonly string[] | undefined, now: Milliseconds): Exclude<UnusableReason, 'outlier'> | undefined => {
    const { name, maximumConcurrent } = candidate.target
    if (exclude !== undefined && exclude.includes(name)) return 'excluded'
    const known = reports.get(name)
    if (known === undefined) return reports.isLeaving(name) ? 'leaving' : 'no-news'
    if (known.leaving) return 'leaving'
    if (now - known.newsAt > settings.newsMilliseconds) return 'no-news'
    const busyAt = tracker.busyAt(name)
    if (busyAt !== undefined && known.loadMeasuredAt <= busyAt && now - busyAt < settings.busyMilliseconds) return 'busy'
    const inFlight = tracker.inFlight(name)
    // One request is always allowed, so that a daemon with few requests is not starved by its share.
    if (inFlight === 0) return undefined
    if (inFlight >= maximumConcurrent || freeShare(candidate) < 1) return 'at-limit'
    return undefined
  }

  /** Requests that this daemon may still send before the next report. */
  const freeShare = (candidate: Candidate): number => {
    const { name, maximumConcurrent } = candidate.target
    const known = reports.get(name)
    if (known === undefined) return 0
    const { load, loadMeasuredAt } = known
    const free = Math.min(load.capacity, maximumConcurrent) - load.running - load.waiting
    const net = tracker.netSince(name, loadMeasuredAt)
    const share = free <= 0 ? 0 : Math.max(1, Math.floor(free / Math.max(1, options.daemonsRouting())))
    return Math.min(share, free) - net
  }

  const scoreOf = (candidate: Candidate, prefixHit: boolean, now: Milliseconds): number => {
    const { name, maximumConcurrent } = candidate.target
    const known = reports.get(name)
    if (known === undefined) return Infinity
    const { load, loadMeasuredAt } = known
    const expected = Math.max(load.running + load.waiting + tracker.netSince(name, loadMeasuredAt), tracker.inFlight(name))
    return expected / Math.max(1, Math.min(load.capacity, maximumConcurrent)) +
      settings.latencyWeight * candidate.latency +
      settings.ageWeight * (now - loadMeasuredAt) / 1_000 -
      (prefixHit ? settings.prefixBonus : 0)
  }

  const consider = (best: Best, candidate: Candidate, prefixHit: boolean, now: Milliseconds): void => {
    const score = scoreOf(candidate, prefixHit, now)
    if (best.candidate !== undefined && score >= best.score) return
    best.candidate = candidate
    best.score = score
    best.prefixHit = prefixHit
  }

  /** A target that returns from an ejection takes part in a random part of the decisions. */
  const isAdmitted = (name: string): boolean => {
    const weight = outliers.weight(name)
    return weight >= 1 || (weight > 0 && random() < weight)
  }

  const chooseFrom = (pool: KeyPool, tier: readonly Candidate[], request: RouteRequest, now: Milliseconds): Best => {
    const best: Best = { candidate: undefined, score: Infinity, prefixHit: false }
    const { key, prefix, exclude } = request
    const isUsable = (candidate: Candidate): boolean => unusable(candidate, exclude, now) === undefined
    if (prefix !== undefined) {
      hints.forEach(key, prefix, (name, incarnation) => {
        const candidate = pool.byName.get(name)
        if (candidate === undefined || !tier.includes(candidate) || reports.get(name)?.incarnation !== incarnation) return
        if (isUsable(candidate) && isAdmitted(name)) consider(best, candidate, true, now)
      })
    }
    let found = 0
    let first: Candidate | undefined
    for (let draw = 0; draw < DRAWS && found < CHOICES; draw++) {
      const candidate = tier[Math.floor(random() * tier.length)]
      if (candidate === undefined || candidate === first || !isUsable(candidate) || !isAdmitted(candidate.target.name)) continue
      first ??= candidate
      found++
      if (candidate !== best.candidate) consider(best, candidate, false, now)
    }
    if (best.candidate !== undefined) return best
    // Few of the subset can be used: search all of it, and use an ejected target rather than none.
    let outlier: Candidate | undefined
    const offset = Math.floor(random() * tier.length)
    for (let index = 0; index < tier.length && found < CHOICES; index++) {
      const candidate = tier[(offset + index) % tier.length]
      if (candidate === undefined || !isUsable(candidate)) continue
      if (outliers.weight(candidate.target.name) > 0) {
        found++
        consider(best, candidate, false, now)
      } else {
        outlier ??= candidate
      }
    }
    if (best.candidate === undefined && outlier !== undefined) consider(best, outlier, false, now)
    return best
  }

  const refuse = (request: RouteRequest, pool: KeyPool | undefined, now: Milliseconds): FuchsiastageError => {
    const counts: Partial<Record<UnusableReason, number>> = {}
    for (const candidate of pool?.byName.values() ?? []) {
      const reason = unusable(candidate, request.exclude, now) ?? 'outlier'
      counts[reason] = (counts[reason] ?? 0) + 1
    }
    return createError({
      code: 'no-target',
      message: `no target can take a request for ${request.key}`,
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
    return err(refuse(request, pool, now))
  }

  const isCurrent = (target: string): boolean => {
    const known = reports.get(target)
    return known !== undefined && !known.leaving && clock.now() - known.newsAt <= settings.newsMilliseconds
  }

  const watchedTargets = (): readonly string[] => {
    const now = clock.now()
    const watched = new Set<string>()
    for (const { usedAt, byName } of pools.values()) {
      if (now - usedAt <= settings.watchMilliseconds) for (const name of byName.keys()) watched.add(name)
    }
    return [...watched]
  }

  const targetsToAsk = (key: RouteKey): readonly RoutingTarget[] => {
    const asked: RoutingTarget[] = []
    for (const { target } of pools.get(key)?.byName.values() ?? []) {
      if (asked.length < TARGETS_TO_ASK && !reports.isLeaving(target.name) && !isCurrent(target.name)) asked.push(target)
    }
    return asked
  }

  const recordHint = (target: string, key: string, prefix: string, stored: boolean, sequence?: number): void =>
    hints.record(key, prefix, { target, incarnation: reports.get(target)?.incarnation, sequence, stored })

  return {
    setCandidates,
    removeCandidates: (key) => {
      countUse(pools.get(key), -1)
      pools.delete(key)
    },
    choose,
    mayUse: isCurrent,
    watchedTargets,
    targetsToAsk,
    recordCacheEvents: (target, events) => {
      for (const event of events) recordHint(target, `model/${event.model}`, event.prefix, event.kind === 'stored', event.sequence)
    },
    recordPrefix: (target, key, prefix) => recordHint(target, key, prefix, true),
    ejectedTargets: outliers.ejected,
    freePlaces: (key) => {
      let places = 0
      for (const candidate of pools.get(key)?.byName.values() ?? []) {
        if (isCurrent(candidate.target.name)) places += Math.max(tracker.inFlight(candidate.target.name) === 0 ? 1 : 0, freeShare(candidate))
      }
      return places
    }
  }
}
