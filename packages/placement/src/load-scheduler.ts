import type { Milliseconds, WeightsLocation } from '@fuchsiastage/types'
import type { PlacementContext } from './context.js'
import type { PlacementTarget, WantReplicaAnswer, WantReplicaRequest, WantReplicaRefusal } from './interfaces.js'
import { createLoadEstimator, expectedEnd, nextStoreStart, storeReadyAt, type RunningLoad, type StoreUsage } from './load-estimate.js'
import { locationOf, planLoad, type LoadPlan, type PlanInput } from './load-planner.js'
import { enqueue, expire, entriesByUrgency, reachableDeadline, type LoadQueue, type QueuedDeadline } from './load-queue.js'
import type { PairOperationTracker } from './pair-operations.js'
import type { ReplicaOperations } from './replica-operations.js'
import { reservationKey, reservationsOf, unsettledReservations, type PlacementState, type Reservation } from './state.js'
import { isPermitted, subjectOf, type Subject } from './subject.js'
import type { TargetReader } from './target-reader.js'

export interface LoadScheduler {
  /** Returns `ready` if enough replicas are usable. Otherwise queues a load and returns the expected time until the replica is ready, or refuses with a retry time. */
  readonly requestReplica: (epoch: number, request: WantReplicaRequest) => WantReplicaAnswer
  /** Queues loads that no request waits for, at the lowest priority. A preload is ignored if the name is already queued, and does not evict other replicas. */
  readonly queueProactiveLoad: (name: string, replicas: number, kind: 'minimum-warm' | 'preload') => void
  /** Starts loads and evictions for queued replicas, within the limits of the weight store and the targets. */
  readonly schedule: (epoch: number) => void
  readonly isQueued: (name: string) => boolean
  /** Expected duration of a load of the model or adapter from the weight store. */
  readonly coldStartDuration: (name: string) => Milliseconds
  /** Time at which the newest load of the replica by this daemon completed, or undefined. */
  readonly loadedAt: (reservation: Reservation) => Milliseconds | undefined
  /** Empties the queue and deletes all cached plans and eviction records. Called at the start of an epoch. */
  readonly clear: () => void
  readonly queueLength: () => number
}

export interface SchedulerDependencies {
  readonly context: PlacementContext
  readonly pairs: PairOperationTracker
  readonly reader: TargetReader
  readonly operations: ReplicaOperations
  readonly isEvictable: (reservation: Reservation) => boolean
  /** Value that the keep-warm policy gives to keeping the replica. */
  readonly valueOf: (reservation: Reservation) => number
  /** Time at which this daemon took over placement decisions. */
  readonly electedAt: () => Milliseconds
}

interface TrackedLoad extends RunningLoad {
  readonly name: string
  readonly target: string
  readonly memoryMegabytes: number
}

/** Retry time returned with a refusal for which there is no estimate. */
const DEFAULT_RETRY_MILLISECONDS = 10_000

/** Lower bound of the retry time that a refusal returns. */
const MINIMUM_RETRY_MILLISECONDS = 1_000

/** Maximum age of a plan while the placement state and the configuration do not change. Limited because hints may change. */
const PLAN_VALID_MILLISECONDS = 1_000

/** Maximum age of the plan of an entry that waits for the weight store, even if the placement state changes. */
const WAITING_PLAN_VALID_MILLISECONDS = 2_000

/** Time after its estimated end for which a load stays queued for a caller that was refused with a retry time. */
const RETRY_LOAD_VALID_MILLISECONDS = 30_000

/** Time for which a preload stays queued; after that the keep-warm policy decides again. */
const PRELOAD_VALID_MILLISECONDS = 60_000

/**
 * Creates the scheduler of loads. It queues requested replicas, estimates when they will be ready and
 * starts loads and evictions.
 *
 * @example
 * const scheduler = createLoadScheduler({ context, pairs, reader, operations, isEvictable, valueOf, electedAt })
 */
export function createLoadScheduler (dependencies: SchedulerDependencies): LoadScheduler {
  const { context, pairs, reader, operations } = dependencies
  const { clock, settings, logger } = context
  const estimator = createLoadEstimator(settings)
  const running = new Map<string, TrackedLoad>()
  const evictions = new Map<string, readonly Reservation[]>()
  const loadedTimes = new Map<string, Milliseconds>()
  const preloads = new Set<string>()
  let queue: LoadQueue = new Map()
  let lastStoreStartAt = -Infinity

  const usableReplicaCount = (subject: Subject): number => reservationsOf(context.state(), subject.name)
    .filter((reservation) => {
      const target = context.targets().get(reservation.target)
      return reservation.isUsable && target?.state === 'live' && isPermitted(subject, target)
    }).length
  const runningLoadsOf = (name: string): readonly TrackedLoad[] => [...running.values()].filter((load) => load.name === name)
  const isReserved = ({ target, name }: TrackedLoad): boolean => context.state().reservations.has(reservationKey(target, name))
  const durationOf = (subject: Subject, location: WeightsLocation): Milliseconds =>
    estimator.duration(location, subject.weightsMegabytes, [...running.values()], clock.now())

  /** Loads in progress that this scheduler does not track, usually ordered by a former lease holder, according to the hints of the targets. */
  const inheritedLoads = (): readonly TrackedLoad[] => unsettledReservations(context.state()).flatMap((reservation) => {
    const { target, model, isUsable, memoryMegabytes } = reservation
    if (isUsable || running.has(reservationKey(target, model))) return []
    const isLoading = reader.hint(target)?.models.some((reported) => reported.model === model && reported.state === 'loading') === true
    const subject = subjectOf(context.configuration(), model)
    if (!isLoading || subject === undefined) return []
    return [{ name: model, target, memoryMegabytes, location: 'remote' as const, weightsMegabytes: subject.weightsMegabytes, startedAt: dependencies.electedAt() }]
  })

  /** Loads of the subject in progress on permitted targets, or on targets that are no longer listed. */
  const loadsInProgressOf = (subject: Subject): readonly TrackedLoad[] =>
    [...runningLoadsOf(subject.name), ...inheritedLoads().filter(({ name }) => name === subject.name)].filter((load) => {
      const target = context.targets().get(load.target)
      return target === undefined || isPermitted(subject, target)
    })

  const storeUsage = (): StoreUsage => ({
    ends: [...running.values(), ...inheritedLoads()]
      .filter(({ location }) => location === 'remote')
      .map((load) => expectedEnd(load, estimator.duration('remote', load.weightsMegabytes, [], clock.now()), clock.now())),
    lastStartAt: lastStoreStartAt
  })

  /** Cached plans. Computing a plan examines every target: 3,000 at the design size. */
  const plans = new Map<string, { readonly plan: LoadPlan, readonly state: PlacementState, readonly version: number, readonly at: Milliseconds }>()
  /** Newest plans that load from the weight store. They are kept when the cached plans are cleared. */
  const remotePlans = new Map<string, { readonly at: Milliseconds, readonly plan: LoadPlan }>()
  const planOf = (epoch: number, subject: Subject): LoadPlan => {
    const state = context.state()
    const { version } = context.configuration()
    const known = plans.get(subject.name)
    if (known !== undefined && known.state === state && known.version === version && clock.now() - known.at < PLAN_VALID_MILLISECONDS) return known.plan
    const plan = planLoad(subject, planInput(epoch))
    plans.set(subject.name, { plan, state, version, at: clock.now() })
    if (plan.kind === 'load' && plan.location === 'remote') remotePlans.set(subject.name, { at: clock.now(), plan })
    else remotePlans.delete(subject.name)
    return plan
  }

  const planInput = (epoch: number): PlanInput => ({
    state: context.state(),
    configuration: context.configuration(),
    targets: context.targets(),
    hint: reader.hint,
    epoch,
    isBusy: pairs.isBusy,
    isInCooldown: (target, model) => pairs.isInCooldown('load', target, model),
    isEvictable: dependencies.isEvictable,
    valueOf: dependencies.valueOf,
    pendingMegabytes: pendingMegabytesByTarget(),
    pendingReplicas: (name) => runningLoadsOf(name).filter((load) => !isReserved(load)).length
  })

  const pendingMegabytesByTarget = (): (target: string) => number => {
    const pending = new Map<string, number>()
    for (const load of running.values()) {
      if (!isReserved(load)) pending.set(load.target, (pending.get(load.target) ?? 0) + load.memoryMegabytes)
    }
    return (target) => pending.get(target) ?? 0
  }

  /** Expected duration of the planned load, including the drain time of an eviction. */
  const expectedDuration = (subject: Subject, plan: LoadPlan): Milliseconds => {
    const location = plan.kind === 'load' ? plan.location : plan.kind === 'evict' ? locationOf(subject.name, reader.hint(plan.target.name)) : 'remote'
    return durationOf(subject, location) + (plan.kind === 'evict' ? settings.drainMilliseconds : 0)
  }

  /** Estimated time at which a replica of the subject is ready, or undefined if it cannot be loaded now. */
  const estimate = (epoch: number, subject: Subject, deadline: QueuedDeadline, knownPlan?: LoadPlan): Milliseconds | undefined => {
    const now = clock.now()
    const expectedEnds = loadsInProgressOf(subject)
      .map((load) => expectedEnd(load, estimator.duration(load.location, load.weightsMegabytes, [], now), now))
    if (expectedEnds.length > 0) return Math.min(...expectedEnds)
    const plan = knownPlan ?? planOf(epoch, subject)
    const duration = expectedDuration(subject, plan)
    if (plan.kind === 'base-first') {
      if (isEvictionRunningFor(subject.name)) return now + settings.drainMilliseconds + expectedDuration(plan.base, plan.plan) + duration
      const baseReadyAt = estimate(epoch, plan.base, deadline, plan.plan)
      return baseReadyAt === undefined ? undefined : baseReadyAt + duration
    }
    if (plan.kind === 'load' && plan.location !== 'remote') return now + duration
    if (plan.kind === 'wait' || plan.kind === 'none') return isEvictionRunningFor(subject.name) || isBeingRemoved(subject.name) ? now + settings.drainMilliseconds + duration : undefined
    const queueWithLoad = enqueue(queue, subject.name, 1, deadline)
    const names = entriesByUrgency(queueWithLoad, () => now).map(({ name }) => name)
    const durationsAhead = names.slice(0, names.indexOf(subject.name)).flatMap((name) => {
      const other = subjectOf(context.configuration(), name)
      return other === undefined || runningLoadsOf(name).length > 0 ? [] : [durationOf(other, 'remote')]
    })
    return storeReadyAt(now, storeUsage(), durationsAhead, duration, settings)
  }

  /** Whether replicas are being evicted to free memory for the model or adapter. */
  const isEvictionRunningFor = (name: string): boolean =>
    evictions.get(name)?.some(({ target, model }) => pairs.isBusy(target, model)) === true

  /** Whether a replica of the model or adapter is being removed. A new load can start once its reservation is released. */
  const isBeingRemoved = (name: string): boolean => reservationsOf(context.state(), name)
    .some(({ target, isUsable }) => !isUsable && pairs.isBusy(target, name) && !running.has(reservationKey(target, name)))

  /** Releases the reservation of a failed load, so that the model can be loaded on another target. */
  const releaseFailedLoad = async (epoch: number, name: string, target: PlacementTarget): Promise<void> => {
    const reservation = context.state().reservations.get(reservationKey(target.name, name))
    if (reservation !== undefined) await operations.remove(epoch, reservation, target, 'load-failed')
  }

  const startLoad = (epoch: number, subject: Subject, plan: LoadPlan & { readonly kind: 'load' }): void => {
    const { target, location } = plan
    const key = reservationKey(target.name, subject.name)
    pairs.run('load', target.name, subject.name, async () => {
      const load: TrackedLoad = {
        name: subject.name, target: target.name, memoryMegabytes: subject.memoryMegabytes, location, weightsMegabytes: subject.weightsMegabytes, startedAt: clock.now()
      }
      running.set(key, load)
      plans.clear()
      if (location === 'remote') lastStoreStartAt = clock.now()
      try {
        const result = await operations.load(epoch, { subject, target, location })
        if (result === 'loaded') {
          estimator.record(load, clock.now())
          loadedTimes.set(key, clock.now())
        }
        if (result === 'failed') await releaseFailedLoad(epoch, subject.name, target)
        return result === 'loaded'
      } finally {
        running.delete(key)
        plans.clear()
      }
    })
  }

  const startEviction = (epoch: number, name: string, plan: LoadPlan & { readonly kind: 'evict' }): void => {
    evictions.set(name, plan.victims)
    plans.clear()
    // The plan lists adapters before their base model, and each removal waits for the previous one.
    let lastRemoval: Promise<unknown> = Promise.resolve()
    for (const victim of plan.victims) {
      const previousRemoval = lastRemoval
      let finish = (): void => {}
      lastRemoval = new Promise<void>((resolve) => { finish = resolve })
      const isStarted = pairs.run('removal', victim.target, victim.model, async () => {
        try {
          await previousRemoval
          return await operations.remove(epoch, victim, plan.target, `evicted for ${name}`)
        } finally {
          finish()
        }
      })
      if (!isStarted) finish()
    }
  }

  const hasStoreSlot = (): boolean => {
    const usage = storeUsage()
    return usage.ends.length < settings.concurrentLoads && nextStoreStart(usage, settings) <= clock.now()
  }

  /**
   * Reusable plan of an entry that waits for the weight store, or undefined. The cost of a plan grows
   * with the number of targets, and a long queue would need many plans in each pass.
   */
  const reusablePlanOf = (name: string): LoadPlan | undefined => {
    const known = remotePlans.get(name)
    if (known === undefined || hasStoreSlot()) return undefined
    return clock.now() - known.at < WAITING_PLAN_VALID_MILLISECONDS ? known.plan : undefined
  }

  const scheduleEntry = (epoch: number, name: string, replicas: number): void => {
    const subject = subjectOf(context.configuration(), name)
    if (subject === undefined || usableReplicaCount(subject) >= Math.min(replicas, subject.maximumReplicas)) {
      queue = new Map([...queue].filter(([other]) => other !== name))
      preloads.delete(name)
      return
    }
    const loadsInProgress = runningLoadsOf(name).length + inheritedLoads().filter((load) => load.name === name).length
    if (usableReplicaCount(subject) + loadsInProgress >= replicas || isEvictionRunningFor(name)) return
    if (reusablePlanOf(name) !== undefined) return
    evictions.delete(name)
    startPlan(epoch, name, subject, planOf(epoch, subject))
  }

  const startPlan = (epoch: number, name: string, subject: Subject, plan: LoadPlan): void => {
    if (plan.kind === 'base-first' && loadsInProgressOf(plan.base).length === 0) startPlan(epoch, name, plan.base, plan.plan)
    // The plan may be cached. If a victim is in use by now, the plan is dropped and nothing is evicted.
    if (plan.kind === 'evict' && !plan.victims.every(dependencies.isEvictable)) plans.delete(name)
    else if (plan.kind === 'evict' && !preloads.has(name)) startEviction(epoch, name, plan)
    if (plan.kind === 'load' && (plan.location !== 'remote' || hasStoreSlot())) startLoad(epoch, subject, plan)
  }

  const schedule = (epoch: number): void => {
    queue = expire(queue, clock.now())
    for (const name of remotePlans.keys()) if (!queue.has(name)) remotePlans.delete(name)
    const readyAt = (name: string): Milliseconds => {
      const subject = subjectOf(context.configuration(), name)
      if (subject === undefined || runningLoadsOf(name).length > 0) return clock.now()
      return clock.now() + expectedDuration(subject, reusablePlanOf(name) ?? planOf(epoch, subject))
    }
    for (const { name, replicas } of entriesByUrgency(queue, readyAt)) scheduleEntry(epoch, name, replicas)
  }

  const refuse = (code: WantReplicaRefusal, retryAfterMilliseconds: Milliseconds): WantReplicaAnswer =>
    ({ kind: 'refused', code, retryAfterMilliseconds: Math.max(MINIMUM_RETRY_MILLISECONDS, Math.round(retryAfterMilliseconds)) })

  /**
   * Queues a load at the lowest priority for a caller that is refused with a retry time. Otherwise a
   * model whose load takes longer than the deadline of every caller would never be loaded.
   */
  const queueForRetry = (name: string, replicas: number, readyAt: Milliseconds): void => {
    const entry = queue.get(name)
    if (entry !== undefined && reachableDeadline(entry, readyAt) !== undefined) return
    queue = enqueue(queue, name, replicas, { priority: 'bulk', deadlineAt: readyAt + RETRY_LOAD_VALID_MILLISECONDS })
    preloads.delete(name)
  }

  const requestReplica = (epoch: number, request: WantReplicaRequest): WantReplicaAnswer => {
    const name = request.adapter ?? request.model
    const replicas = request.replicas ?? 1
    const subject = subjectOf(context.configuration(), name)
    if (subject === undefined || subject.maximumReplicas === 0 || (request.adapter !== undefined && subject.baseModel !== request.model)) {
      return refuse('not-permitted', DEFAULT_RETRY_MILLISECONDS)
    }
    if (usableReplicaCount(subject) >= Math.min(replicas, subject.maximumReplicas)) return { kind: 'ready' }
    if (queue.size >= settings.maximumQueue && !queue.has(name)) return refuse('queue-full', DEFAULT_RETRY_MILLISECONDS)
    const now = clock.now()
    const deadline: QueuedDeadline = { priority: request.priority, deadlineAt: now + request.deadlineMilliseconds }
    const readyAt = estimate(epoch, subject, deadline)
    if (readyAt === undefined) return refuse('no-capacity', DEFAULT_RETRY_MILLISECONDS)
    if (readyAt > deadline.deadlineAt) {
      queueForRetry(name, replicas, readyAt)
      return refuse('deadline-unreachable', readyAt - now - request.deadlineMilliseconds)
    }
    const isNew = !queue.has(name)
    queue = enqueue(queue, name, replicas, deadline)
    preloads.delete(name)
    // Only the first request for a name schedules immediately; the next pass serves the rest of a burst.
    if (!isNew) return { kind: 'expected', readyInMilliseconds: Math.max(0, Math.round(readyAt - now)) }
    logger.debug('load queued for a requested replica', { event: 'replica-wanted', epoch, model: name, waiting: request.waiting, priority: request.priority })
    schedule(epoch)
    return { kind: 'expected', readyInMilliseconds: Math.max(0, Math.round(readyAt - now)) }
  }

  return {
    requestReplica,
    schedule,
    queueProactiveLoad: (name, replicas, kind) => {
      if (kind === 'preload' && !queue.has(name)) preloads.add(name)
      if (kind === 'minimum-warm') preloads.delete(name)
      const deadlineAt = kind === 'preload' ? clock.now() + PRELOAD_VALID_MILLISECONDS : Infinity
      if (!queue.has(name) || kind === 'minimum-warm') queue = enqueue(queue, name, replicas, { priority: 'bulk', deadlineAt })
    },
    isQueued: (name) => queue.has(name),
    coldStartDuration: (name) => {
      const subject = subjectOf(context.configuration(), name)
      return subject === undefined ? 0 : durationOf(subject, 'remote')
    },
    loadedAt: ({ target, model }) => loadedTimes.get(reservationKey(target, model)),
    clear: () => {
      queue = new Map()
      remotePlans.clear()
      preloads.clear()
      plans.clear()
      evictions.clear()
    },
    queueLength: () => queue.size
  }
}
