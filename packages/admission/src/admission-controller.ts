import type { Clock, Timer } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { PRIORITY_CLASSES, type Milliseconds, type PriorityClass } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import { createCallerLimits, type CallerLimits } from './caller-limits.js'
import { createClassQueue, type ClassQueue } from './class-queue.js'

export interface AdmissionRequest {
  /** Request id. */
  readonly request: string
  readonly caller: string
  /** Weight of the caller in the fair sharing within its class. */
  readonly weight: number
  readonly priority: PriorityClass
  /** Time on the controller's clock. */
  readonly deadline: Milliseconds
  /** Expected duration of the request after its admission, if known. */
  readonly expectedMilliseconds?: Milliseconds
}

/** Permission to run a request. `release` ends the permission; further calls have no effect. */
export interface Admission {
  readonly waitedMilliseconds: Milliseconds
  readonly release: () => void
}

export interface AdmissionSettings {
  /** Capacity of the queue over all classes. */
  readonly maximumWaiting: number
  /** Share of the dispatches that goes to `bulk` while `bulk` requests wait, and share of the queue that is reserved for it. */
  readonly bulkShare: number
  /** A waiting request is refused this long before its deadline, so that the caller receives the refusal in time. */
  readonly refusalMarginMilliseconds: Milliseconds
  /** Initial value of the smoothed service time. */
  readonly initialServiceMilliseconds: Milliseconds
  /** Number of dispatches by which a caller of weight 1 may be ahead of the caller with the lowest virtual time. */
  readonly fairnessWindow: number
}

export interface AdmissionOptions {
  readonly clock: Clock
  /** Returns a uniformly distributed number in [0, 1); adds jitter to the retry delays. */
  readonly random: () => number
  /** Maximum number of concurrently running requests. */
  readonly capacity: number
  readonly limits?: CallerLimits
  readonly settings?: Partial<AdmissionSettings>
}

export interface AdmissionView {
  readonly waiting: Readonly<Record<PriorityClass, number>>
  readonly running: number
  readonly capacity: number
  /** Smoothed service time of a request. */
  readonly serviceMilliseconds: Milliseconds
  readonly draining: boolean
}

export interface AdmissionController {
  /** Concurrency and rate limits per caller. */
  readonly limits: CallerLimits
  /**
   * Waits until the request may run. All errors have the outcome `not-run`: `queue-full`,
   * `deadline-not-met` and `leaving` (503), `deadline-exceeded` (504) and `cancelled` (499). All but
   * `cancelled` carry a retry delay.
   */
  readonly admit: (request: AdmissionRequest, signal?: AbortSignal) => Promise<Result<Admission, FuchsiastageError>>
  /** Estimated wait of a request that arrives now. */
  readonly estimate: (priority: PriorityClass, deadline: Milliseconds) => Milliseconds
  readonly setCapacity: (capacity: number) => void
  /** Refuses new requests from now on and resolves when no request is waiting or running. */
  readonly drain: () => Promise<void>
  readonly view: () => AdmissionView
}

export const DEFAULT_ADMISSION_SETTINGS: AdmissionSettings = {
  maximumWaiting: 1_000,
  bulkShare: 0.1,
  refusalMarginMilliseconds: 20,
  initialServiceMilliseconds: 1_000,
  fairnessWindow: 4
}

interface WaitingRequest {
  readonly request: AdmissionRequest
  readonly caller: string
  readonly weight: number
  readonly deadline: Milliseconds
  readonly arrivedAt: Milliseconds
  readonly settle: (result: Result<Admission, FuchsiastageError>) => void
  timer: Timer | undefined
}

/** Weight of the newest service time in the smoothed one. */
const SERVICE_SMOOTHING_FACTOR = 0.1
const MINIMUM_RETRY_MILLISECONDS = 1_000
const MAXIMUM_RETRY_MILLISECONDS = 60_000
/** Largest jitter of the retry delay, as a share of the delay, so that refused callers do not all retry at the same time. */
const RETRY_JITTER_SHARE = 0.5

/**
 * Creates the admission queue of one target role or model. Classes are served in order of priority,
 * except that `bulk` receives its share of the dispatches while `bulk` requests wait. Within a
 * class, the request with the earliest deadline is dispatched first, among the callers that have
 * not exceeded their fair share.
 *
 * @example
 * const admission = await controller.admit({ request, caller, weight: 1, priority: 'urgent', deadline }, signal)
 * if (admission.isOk) admission.value.release()
 */
export function createAdmissionController (options: AdmissionOptions): AdmissionController {
  const { clock, random } = options
  const settings: AdmissionSettings = { ...DEFAULT_ADMISSION_SETTINGS, ...options.settings }
  const limits = options.limits ?? createCallerLimits({ clock })
  const { bulkShare, maximumWaiting } = settings
  const queues: Readonly<Record<PriorityClass, ClassQueue<WaitingRequest>>> = {
    urgent: createClassQueue(settings.fairnessWindow),
    normal: createClassQueue(settings.fairnessWindow),
    bulk: createClassQueue(settings.fairnessWindow)
  }
  const bulkQueueSlots = maximumWaiting > 1 ? Math.ceil(maximumWaiting * bulkShare) : 0
  const dispatchesBeforeBulk = Math.ceil(1 / bulkShare) - 1
  let capacity = options.capacity
  let running = 0
  let dispatchesSinceBulk = 0
  let serviceMilliseconds = settings.initialServiceMilliseconds
  let draining = false
  let drainResolvers: Array<() => void> = []

  const totalWaiting = (): number => queues.urgent.size() + queues.normal.size() + queues.bulk.size()

  /** Estimated time until a request with `ahead` others before it in the queue is dispatched. */
  const waitBehind = (ahead: number): Milliseconds => {
    const requiredCompletions = ahead + 1 - (capacity - running)
    if (requiredCompletions <= 0) return 0
    return capacity > 0 ? requiredCompletions * serviceMilliseconds / capacity : Infinity
  }

  /** Number of requests that are dispatched before a request that has `aheadInClass` others of its class ahead of it. */
  const dispatchesAhead = (priority: PriorityClass, aheadInClass: number): number => {
    const urgent = queues.urgent.size()
    switch (priority) {
      case 'urgent':
      case 'normal': {
        const aheadWithoutBulk = aheadInClass + (priority === 'normal' ? urgent : 0)
        return aheadWithoutBulk + Math.min(queues.bulk.size(), Math.floor((aheadWithoutBulk + 1) * bulkShare / (1 - bulkShare)))
      }
      case 'bulk':
        return Math.min(urgent + queues.normal.size() + aheadInClass, Math.ceil((aheadInClass + 1) / bulkShare) - 1)
    }
  }

  const estimate = (priority: PriorityClass, deadline: Milliseconds): Milliseconds =>
    waitBehind(dispatchesAhead(priority, queues[priority].countBefore(deadline)))

  const latestDispatch = ({ deadline, expectedMilliseconds = 0 }: AdmissionRequest): Milliseconds =>
    deadline - settings.refusalMarginMilliseconds - expectedMilliseconds

  const createRefusal = (code: string, message: string, status: number): FuchsiastageError => {
    const wait = Math.min(MAXIMUM_RETRY_MILLISECONDS, Math.max(MINIMUM_RETRY_MILLISECONDS, waitBehind(totalWaiting())))
    return createError({ code, message, step: 'admit', status, retryAfterMilliseconds: Math.round(wait * (1 + RETRY_JITTER_SHARE * random())) })
  }

  const deadlineNotMet = (): FuchsiastageError => createRefusal('deadline-not-met', 'the estimated wait is too long to meet the deadline', 503)
  const deadlineExceeded = (): FuchsiastageError => createRefusal('deadline-exceeded', 'the request could not be dispatched before its deadline', 504)

  const resolveIfDrained = (): void => {
    if (!draining || running > 0 || totalWaiting() > 0) return
    const resolvers = drainResolvers
    drainResolvers = []
    for (const resolve of resolvers) resolve()
  }

  const createAdmission = (arrivedAt: Milliseconds): Admission => {
    const startedAt = clock.now()
    let released = false
    running++
    const release = (): void => {
      if (released) return
      released = true
      running--
      serviceMilliseconds += SERVICE_SMOOTHING_FACTOR * (clock.now() - startedAt - serviceMilliseconds)
      dispatch()
      resolveIfDrained()
    }
    return { waitedMilliseconds: startedAt - arrivedAt, release }
  }

  /** Removes a waiting request from the queue and settles it with the error; returns false if it is no longer queued. */
  const refuseWaiting = (waiting: WaitingRequest, error: FuchsiastageError): boolean => {
    if (!queues[waiting.request.priority].remove(waiting)) return false
    waiting.timer?.cancel()
    waiting.settle(err(error))
    resolveIfDrained()
    return true
  }

  const nextClass = (): PriorityClass | undefined => {
    if (queues.bulk.size() > 0 && dispatchesSinceBulk >= dispatchesBeforeBulk) return 'bulk'
    return PRIORITY_CLASSES.find((priority) => queues[priority].size() > 0)
  }

  const countDispatch = (priority: PriorityClass): void => {
    if (priority === 'bulk') dispatchesSinceBulk = 0
    else if (queues.bulk.size() > 0) dispatchesSinceBulk++
  }

  const dispatch = (): void => {
    while (running < capacity) {
      const priority = nextClass()
      const waiting = priority === undefined ? undefined : queues[priority].take()
      if (priority === undefined || waiting === undefined) return
      waiting.timer?.cancel()
      // The request's timer may fire late, for example after the process was suspended.
      if (clock.now() > latestDispatch(waiting.request)) {
        waiting.settle(err(deadlineExceeded()))
        continue
      }
      countDispatch(priority)
      waiting.settle(ok(createAdmission(waiting.arrivedAt)))
    }
  }

  /** Evicts a less urgent request if the queue is full; returns false if the new request is itself the least urgent. */
  const makeRoom = ({ priority, deadline }: AdmissionRequest): boolean => {
    const waitingWithoutBulk = queues.urgent.size() + queues.normal.size()
    // The other classes may not use the slots reserved for bulk; otherwise they could fill the queue, and all bulk requests would be refused.
    const isNonBulkFull = priority !== 'bulk' && waitingWithoutBulk >= maximumWaiting - bulkQueueSlots
    if (!isNonBulkFull && waitingWithoutBulk + queues.bulk.size() < maximumWaiting) return true
    const evictedClass = !isNonBulkFull ? 'bulk' : queues.normal.size() > 0 ? 'normal' : 'urgent'
    const evicted = queues[evictedClass].latest()
    if (evicted === undefined) return false
    const isMoreUrgent = PRIORITY_CLASSES.indexOf(priority) < PRIORITY_CLASSES.indexOf(evictedClass) ||
      (priority === evictedClass && deadline < evicted.deadline)
    return isMoreUrgent && refuseWaiting(evicted, createRefusal('queue-full', 'a more urgent request evicted this request from the full queue', 503))
  }

  const enqueue = (request: AdmissionRequest, signal: AbortSignal | undefined): Promise<Result<Admission, FuchsiastageError>> =>
    new Promise((resolve) => {
      const cancel = (): void => {
        refuseWaiting(waiting, createError({ code: 'cancelled', message: 'the caller closed its connection', step: 'admit', status: 499 }))
      }
      const waiting: WaitingRequest = {
        request,
        caller: request.caller,
        weight: request.weight,
        deadline: request.deadline,
        arrivedAt: clock.now(),
        settle: (result) => {
          signal?.removeEventListener('abort', cancel)
          resolve(result)
        },
        timer: undefined
      }
      signal?.addEventListener('abort', cancel)
      queues[request.priority].add(waiting)
      waiting.timer = clock.setTimer(latestDispatch(request) - clock.now(), () => { refuseWaiting(waiting, deadlineExceeded()) })
    })

  const admit = async (request: AdmissionRequest, signal?: AbortSignal): Promise<Result<Admission, FuchsiastageError>> => {
    const now = clock.now()
    if (signal?.aborted === true) return err(createError({ code: 'cancelled', message: 'the caller closed its connection', step: 'admit', status: 499 }))
    if (draining) return err(createRefusal('leaving', 'this daemon is shutting down and accepts no new requests', 503))
    if (now >= request.deadline) return err(deadlineExceeded())
    if (now + estimate(request.priority, request.deadline) > latestDispatch(request)) return err(deadlineNotMet())
    if (running < capacity && totalWaiting() === 0) {
      countDispatch(request.priority)
      return ok(createAdmission(now))
    }
    if (!makeRoom(request)) return err(createRefusal('queue-full', 'the admission queue is full', 503))
    return await enqueue(request, signal)
  }

  /** Refuses the waiting requests that can no longer be dispatched in time. */
  const refuseUnmeetableDeadlines = (): void => {
    const now = clock.now()
    for (const priority of PRIORITY_CLASSES) {
      let kept = 0
      for (const waiting of queues[priority].byDeadline()) {
        if (now + waitBehind(dispatchesAhead(priority, kept)) > latestDispatch(waiting.request)) refuseWaiting(waiting, deadlineNotMet())
        else kept++
      }
    }
  }

  const setCapacity = (value: number): void => {
    const isReduced = value < capacity
    capacity = value
    if (isReduced) refuseUnmeetableDeadlines()
    dispatch()
  }

  const drain = (): Promise<void> => {
    draining = true
    return new Promise((resolve) => {
      drainResolvers.push(resolve)
      resolveIfDrained()
    })
  }

  const view = (): AdmissionView => ({
    waiting: { urgent: queues.urgent.size(), normal: queues.normal.size(), bulk: queues.bulk.size() },
    running,
    capacity,
    serviceMilliseconds,
    draining
  })

  return { limits, admit, estimate, setCapacity, drain, view }
}
