import { withTimeout, type Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Logger } from '@fuchsiastage/logger'
import type { ReportStore, TargetUpdate } from '@fuchsiastage/routing'
import type { Milliseconds, TargetState, VmRecord } from '@fuchsiastage/types'
import type { Result } from 'true-myth'

export interface TargetObservationOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly logger: Logger
  readonly reports: ReportStore
  /** Targets in the VM list. */
  readonly targets: () => readonly VmRecord[]
  /**
   * Creates a function that returns the two daemons that read a target's state, in order of
   * preference. The function is used for one pass over the targets.
   */
  readonly observerLookup: () => (target: VmRecord) => readonly string[]
  /** Targets that this daemon routes to. */
  readonly watchedTargets: () => readonly string[]
  readonly readState: (address: string, signal: AbortSignal) => Promise<Result<TargetState, FuchsiastageError>>
  readonly requestReports: (daemon: string, targets: readonly string[], signal: AbortSignal) => Promise<Result<readonly Omit<TargetUpdate, 'source'>[], FuchsiastageError>>
  /** Called after this daemon's first read of a target, and after a read that shows a changed incarnation, state, fencing token or model list. */
  readonly onChange: (target: VmRecord, state: TargetState) => void
  readonly onTargetDraining: (target: string) => void
  readonly intervalMilliseconds: Milliseconds
  readonly timeoutMilliseconds: Milliseconds
}

export interface TargetObservation {
  readonly start: () => void
  readonly stop: () => void
  /** Reads the states of targets immediately. Concurrent calls share the read of a target. */
  readonly readNow: (targets: readonly string[]) => Promise<void>
}

/**
 * Keeps the load reports up to date: reads the states of the targets that this daemon observes, and
 * requests those of the other targets that it routes to from their observers, in one batch per
 * observer.
 *
 * @example
 * const observation = createTargetObservation(options)
 * observation.start()
 */
export function createTargetObservation (options: TargetObservationOptions): TargetObservation {
  const { clock, daemon, reports } = options
  const lastStates = new Map<string, TargetState>()
  const pendingReads = new Map<string, Promise<void>>()
  const stopping = new AbortController()
  let passCount = 0

  const withReadTimeout = <Value> (run: (signal: AbortSignal) => Promise<Value>): Promise<Value> =>
    withTimeout(clock, options.timeoutMilliseconds, [stopping.signal], run)

  const recordTargetDraining = (target: string): void => {
    reports.markLeaving(target)
    options.onTargetDraining(target)
  }

  const readTarget = async (target: VmRecord): Promise<void> => {
    const read = await withReadTimeout((signal) => options.readState(target.address, signal))
    if (read.isErr) return
    const state = read.value
    reports.record({ target: target.name, incarnation: state.incarnation, state: state.state, load: state.load, ageMilliseconds: 0, source: 'own' })
    if (state.state === 'leaving') recordTargetDraining(target.name)
    const previous = lastStates.get(target.name)
    lastStates.set(target.name, state)
    if (previous === undefined || placementSummaryOf(previous) !== placementSummaryOf(state)) options.onChange(target, state)
  }

  const readShared = (target: VmRecord): Promise<void> => {
    const pending = pendingReads.get(target.name) ?? readTarget(target).finally(() => { pendingReads.delete(target.name) })
    pendingReads.set(target.name, pending)
    return pending
  }

  const readFromObserver = async (observer: string, targets: readonly VmRecord[]): Promise<void> => {
    const sentAt = clock.now()
    const answer = await withReadTimeout((signal) => options.requestReports(observer, targets.map(({ name }) => name), signal))
    const roundTrip = clock.now() - sentAt
    const updates = answer.unwrapOr([])
    for (const update of updates) {
      reports.record({ ...update, ageMilliseconds: update.ageMilliseconds + roundTrip, source: 'observer' })
      if (update.state === 'leaving') recordTargetDraining(update.target)
    }
    // This daemon reads the missing states itself, so that a target is not excluded from routing because
    // its observer does not respond or has no report of it yet.
    const reported = new Set(updates.map(({ target }) => target))
    await Promise.all(targets.filter(({ name }) => !reported.has(name)).map(readTarget))
  }

  const runPass = async (): Promise<void> => {
    const targets = options.targets()
    const watched = new Set(options.watchedTargets())
    const observedTargets: VmRecord[] = []
    const byObserver = new Map<string, VmRecord[]>()
    const observersOf = options.observerLookup()
    for (const target of targets) {
      if (target.state === 'leaving') recordTargetDraining(target.name)
      const observers = observersOf(target)
      if (observers.includes(daemon) || observers.length === 0) observedTargets.push(target)
      else if (watched.has(target.name)) {
        // Alternates between the two observers, so that one that responds is reached within two intervals.
        const observer = observers[passCount % observers.length] ?? ''
        byObserver.set(observer, [...byObserver.get(observer) ?? [], target])
      }
    }
    passCount++
    removeUnlisted(lastStates, targets)
    await Promise.all([
      ...observedTargets.map(readTarget),
      ...[...byObserver].map(([observer, group]) => readFromObserver(observer, group))
    ])
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const startedAt = clock.now()
      await runPass()
      await clock.sleep(Math.max(0, options.intervalMilliseconds - (clock.now() - startedAt)), stopping.signal)
    }
  }

  return {
    start: () => { void run() },
    stop: () => stopping.abort(),
    readNow: async (names) => {
      const requested = new Set(names)
      await Promise.all(options.targets().filter(({ name }) => requested.has(name)).map(readShared))
    }
  }
}

function removeUnlisted (states: Map<string, TargetState>, targets: readonly VmRecord[]): void {
  const listed = new Set(targets.map(({ name }) => name))
  for (const name of states.keys()) if (!listed.has(name)) states.delete(name)
}

/** Returns the parts of a state that placement acts on. The load is omitted, because it changes constantly. */
function placementSummaryOf (state: TargetState): string {
  if (state.kind === 'service') return `${state.incarnation} ${state.state}`
  const models = state.models.map((model) => `${model.model}:${model.state}:${model.orderId}`).join(',')
  return `${state.incarnation} ${state.state} ${state.fencingToken} ${models}`
}
