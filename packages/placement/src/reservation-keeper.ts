import type { KeepWarmPolicy, KeepWarmSubject } from '@fuchsiastage/keep-warm'
import type { Milliseconds } from '@fuchsiastage/types'
import type { PlacementContext } from './context.js'
import type { PlacementTarget } from './interfaces.js'
import type { LoadScheduler } from './load-scheduler.js'
import type { PairOperationTracker } from './pair-operations.js'
import type { ReplicaOperations } from './replica-operations.js'
import { reviewReservations } from './review.js'
import { isSettled, reservationsByModel, reservationsOf, reservationsOn, type Reservation } from './state.js'
import { subjectOf } from './subject.js'
import type { TargetReader } from './target-reader.js'
import type { UsageTracker } from './usage.js'

export interface ReservationKeeper {
  /** Starts the removal of reservations that are no longer needed or permitted, and queues minimum-warm replicas and preloads. */
  readonly review: (epoch: number) => void
  /** Starts a read of each target that is due and records differences from the placement state. */
  readonly reconcile: (epoch: number) => void
  /** Marks a target to be read in the next reconciliation pass. */
  readonly markChanged: (target: string) => void
  /** Marks every target in the placement state to be read. Called at the start of an epoch. */
  readonly reset: () => void
  /** Resolves when all reads that are running now have ended. */
  readonly idle: () => Promise<void>
}

export interface KeeperDependencies {
  readonly context: PlacementContext
  readonly pairs: PairOperationTracker
  readonly reader: TargetReader
  readonly operations: ReplicaOperations
  readonly scheduler: LoadScheduler
  readonly usage: UsageTracker
  readonly policy: KeepWarmPolicy
  readonly keepWarmSubjectOf: (reservation: Reservation) => KeepWarmSubject
}

/** Maximum number of concurrent reads. After an election, all targets with reservations are due simultaneously: up to 3,000 at the design size. */
const MAXIMUM_CONCURRENT_READS = 64

/**
 * Creates the component that maintains existing reservations: it reconciles them with the targets,
 * removes them and keeps replicas warm.
 *
 * @example
 * const keeper = createReservationKeeper({ context, pairs, reader, operations, scheduler, usage, policy, keepWarmSubjectOf })
 */
export function createReservationKeeper (dependencies: KeeperDependencies): ReservationKeeper {
  const { context, pairs, reader, operations, scheduler, usage, policy } = dependencies
  const { clock, settings, logger } = context
  const changedTargets = new Set<string>()
  const activeReads = new Map<string, Promise<void>>()
  const missingSince = new Map<string, Milliseconds>()

  /** Returns the target from the VM list. A target that is missing from the list is taken from the placement state and counts as draining. */
  const targetOf = (name: string): PlacementTarget | undefined => {
    const listed = context.targets().get(name)
    if (listed !== undefined) return listed
    const known = context.state().targets.get(name)
    return known === undefined ? undefined : { name, address: known.address, role: known.role, dataCentre: known.dataCentre, state: 'leaving' }
  }

  const review = (epoch: number): void => {
    const state = context.state()
    const now = clock.now()
    const removals = reviewReservations({
      state,
      configuration: context.configuration(),
      targets: context.targets(),
      hint: reader.hint,
      isRemovalBlocked: ({ target, model }) => pairs.isBusy(target, model) || pairs.isInCooldown('removal', target, model),
      epoch,
      isQueued: scheduler.isQueued,
      inFlight: usage.inFlight,
      valueOf: (reservation) => policy.retentionValue(dependencies.keepWarmSubjectOf(reservation), now),
      isIdleTooLong: (reservation) => policy.shouldUnload(dependencies.keepWarmSubjectOf(reservation), now)
    })
    for (const { reservation, reason } of removals) {
      const target = targetOf(reservation.target)
      if (target === undefined) continue
      pairs.run('removal', reservation.target, reservation.model, () => operations.remove(epoch, reservation, target, reason))
    }
    queueWarmReplicas(epoch)
    pruneStaleData()
  }

  const queueWarmReplicas = (epoch: number): void => {
    const configuration = context.configuration()
    for (const [name, rule] of configuration.rules) {
      const subject = subjectOf(configuration, name)
      if (subject === undefined) continue
      const reservations = reservationsOf(context.state(), name)
      const usableCount = reservations.filter(({ isUsable, target }) => isUsable && context.targets().get(target)?.state === 'live').length
      if (usableCount < rule.minimumWarm) scheduler.queueProactiveLoad(name, rule.minimumWarm, 'minimum-warm')
      if (reservations.length > 0 || usage.history(name) === undefined) continue
      const isDue = policy.shouldPreload({ history: usage.history(name), idleSince: clock.now(), coldStartMilliseconds: scheduler.coldStartDuration(name), memoryShare: memoryShareOf(name) }, clock.now())
      if (!isDue) continue
      logger.debug('queueing a preload of the model before its next expected request', { event: 'preload', epoch, model: name })
      scheduler.queueProactiveLoad(name, 1, 'preload')
    }
  }

  const memoryShareOf = (name: string): number => {
    const configuration = context.configuration()
    const subject = subjectOf(configuration, name)
    const role = subject === undefined ? undefined : configuration.roles.get(subject.role)
    return role === undefined || subject === undefined ? 1 : subject.memoryMegabytes / role.memoryMegabytes
  }

  const pruneStaleData = (): void => {
    const configuration = context.configuration()
    usage.prune((name) => configuration.rules.has(name))
    reader.prune((target) => context.targets().has(target) || context.state().targets.has(target))
    for (const target of missingSince.keys()) if (!context.state().targets.has(target)) missingSince.delete(target)
  }

  /** Whether a reservation on the target has unsettled orders, or is not usable although no operation on it is running. */
  const hasUncertainReservation = (target: string): boolean => reservationsOn(context.state(), target)
    .some((reservation) => !isSettled(reservation) || (!reservation.isUsable && !pairs.isBusy(target, reservation.model)))

  const readIntervalOf = (target: string): Milliseconds =>
    hasUncertainReservation(target) || missingSince.has(target) || reader.unreachableSince(target) !== undefined ? settings.reconcileMilliseconds : settings.sweepMilliseconds

  /** Treats a target as removed once it has been both missing from the VM list and unreachable for `removedTargetMilliseconds`. */
  const checkRemoved = async (epoch: number, name: string): Promise<void> => {
    if (context.targets().has(name) || context.targets().size === 0) {
      missingSince.delete(name)
      return
    }
    const now = clock.now()
    const missingAt = missingSince.get(name) ?? now
    missingSince.set(name, missingAt)
    const unreachableAt = reader.unreachableSince(name)
    if (unreachableAt === undefined) return
    if (now - Math.max(missingAt, unreachableAt) >= settings.removedTargetMilliseconds) await reader.declareRemoved(epoch, name)
  }

  const reconcileTarget = async (epoch: number, name: string): Promise<void> => {
    const target = targetOf(name)
    if (target === undefined) return
    await reader.reconcile(epoch, target)
    await checkRemoved(epoch, name)
    operations.abortSettledWaits()
  }

  const reconcile = (epoch: number): void => {
    const now = clock.now()
    for (const name of context.state().targets.keys()) {
      if (activeReads.size >= MAXIMUM_CONCURRENT_READS) return
      if (activeReads.has(name)) continue
      if (!changedTargets.has(name) && now - reader.lastReadAt(name) < readIntervalOf(name)) continue
      changedTargets.delete(name)
      const work = reconcileTarget(epoch, name)
        .catch((reason: unknown) => logger.error('could not reconcile a target with the placement state', { event: 'reconcile-failed', peer: name, epoch, reason: String(reason) }))
        .finally(() => { activeReads.delete(name) })
      activeReads.set(name, work)
    }
  }

  return {
    review,
    reconcile,
    markChanged: (target) => { changedTargets.add(target) },
    reset: () => {
      missingSince.clear()
      for (const target of context.state().targets.keys()) changedTargets.add(target)
    },
    idle: async () => { await Promise.all(activeReads.values()) }
  }
}

/** Whether the replica must not be evicted, because its model has at most `minimumWarm` usable replicas. */
export function isProtected (context: PlacementContext, reservation: Reservation): boolean {
  const rule = context.configuration().rules.get(reservation.model)
  const usableCount = (reservationsByModel(context.state()).get(reservation.model) ?? []).filter(({ isUsable }) => isUsable).length
  return rule !== undefined && usableCount <= rule.minimumWarm
}
