import type { Clock, Timer } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { PRIORITY_CLASSES, type Milliseconds, type PriorityClass } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import { createCallerLimits, type CallerLimits } from './caller-limits.js'
import { createClassQueue, type ClassQueue } from './class-queue.js'

export interface AdmissionRequest {
  readonly request: string
  readonly caller: string
  /** Share of the caller inside its class. */
  readonly weight: number
  readonly priority: PriorityClass
  /** By the controller's clock. */
  readonly deadline: Milliseconds
  /** Time that the request needs after it was admitted, when known. */
  readonly expectedMilliseconds?: Milliseconds
}

/** A place among the running requests; a second `release` has no effect. */
export interface Admission {
  readonly waitedMilliseconds: Milliseconds
  readonly release: () => void
}

export interface AdmissionSettings {
  readonly maximumWaiting: number
  /** Part of the dispatches, and of the queue, that belongs to `bulk` while it waits. */
  readonly bulkShare: number
  /** A waiting request is refused this long before its deadline, so that the answer arrives in time. */
  readonly refusalMarginMilliseconds: Milliseconds
  /** Service time that is assumed until one has been observed. */
  readonly initialServiceMilliseconds: Milliseconds
  /** How many dispatches a caller of weight 1 may be ahead of its fair share. */
  readonly fairnessWindow: number
}

export interface AdmissionOptions {
  readonly clock: Clock
  /** Uniform in [0, 1); spreads the times at which refused callers come back. */
  readonly random: () => number
  /** Requests that may run at the same time. */
  readonly capacity: number
  readonly limits?: CallerLimits
  readonly settings?: Partial<AdmissionSettings>
}

export interface AdmissionView {
  readonly waiting: Readonly<Record<PriorityClass, number>>
  readonly running: number
  readonly capacity: number
  readonly serviceMilliseconds: Milliseconds
  readonly draining: boolean
}

export interface AdmissionController {
  /** Per-caller concurrency and rate. */
  readonly limits: CallerLimits
  /**
   * Waits for a place. Errors have outcome `not-run` and the time to come back:
   * `queue-full`, `deadline-not-met` (503), `deadline-exceeded` (504), `cancelled` (499), `leaving` (503).
   */
  readonly admit: (request: AdmissionRequest, signal?: AbortSignal) => Promise<Result<Admission, FuchsiastageError>>
  /** Estimated wait of a request that would arrive now. */
  readonly estimate: (priority: PriorityClass, deadline: Milliseconds) => Milliseconds
  readonly setCapacity: (capacity: number) => void
  /** Refuses new requests and resolves when none waits or runs. */
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

interface Waiting {
  readonly request: AdmissionRequest
  readonly caller: string
  readonly weight: number
  readonly deadline: Milliseconds
  readonly arrivedAt: Milliseconds
  readonly settle: (result: Result<Admission, FuchsiastageError>) => void
  timer: Timer | undefined
}

/** Weight of the newest service time in the smoothed one. */
const SERVICE_SMOOTHING = 0.1
const MINIMUM_RETRY_MILLISECONDS = 1_000
const MAXIMUM_RETRY_MILLISECONDS = 60_000
/** Part by which `Retry-After` is spread, so that refused callers do not come back together. */
const RETRY_SPREAD = 0.5

/**
 * Creates the admission queue of one target role or model. Classes are served in order of
 * priority, except that `bulk` gets its share while it waits. Inside a class the earliest deadline
 * goes first among the callers that are not ahead of their fair share.
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
  const queues: Readonly<Record<PriorityClass, ClassQueue<Waiting>>> = {
    urgent: createClassQueue(settings.fairnessWindow),
    normal: createClassQueue(settings.fairnessWindow),
    bulk: createClassQueue(settings.fairnessWindow)
  }
  const bulkPlaces = maximumWaiting > 1 ? Math.ceil(maximumWaiting * bulkShare) : 0
  const dispatchesBeforeBulk = Math.ceil(1 / bulkShare) - 1
  let capacity = options.capacity
  let running = 0
  let dispatchesSinceBulk = 0
  let serviceMilliseconds = settings.initialServiceMilliseconds
  let draining = false
  let drained: Array<() => void> = []

  const totalWaiting = (): number => queues.urgent.size() + queues.normal.size() + queues.bulk.size()

  /** Time until the request behind `ahead` others is dispatched. */
  const waitBehind = (ahead: number): Milliseconds => {
    const ends = ahead + 1 - (capacity - running)
    if (ends <= 0) return 0
    return capacity > 0 ? ends * serviceMilliseconds / capacity : Infinity
  }

  /** Dispatches before a request with `before` others of its class ahead of it. */
  const dispatchesAhead = (priority: PriorityClass, before: number): number => {
    const urgent = queues.urgent.size()
    switch (priority) {
      case 'urgent':
      case 'normal': {
        const ahead = before + (priority === 'normal' ? urgent : 0)
        return ahead + Math.min(queues.bulk.size(), Math.floor((ahead + 1) * bulkShare / (1 - bulkShare)))
      }
      case 'bulk':
        return Math.min(urgent + queues.normal.size() + before, Math.ceil((before + 1) / bulkShare) - 1)
    }
  }

  const estimate = (priority: PriorityClass, deadline: Milliseconds): Milliseconds =>
    waitBehind(dispatchesAhead(priority, queues[priority].countBefore(deadline)))

  const latestDispatch = ({ deadline, expectedMilliseconds = 0 }: AdmissionRequest): Milliseconds =>
    deadline - settings.refusalMarginMilliseconds - expectedMilliseconds

  const refusal = (code: string, message: string, status: number): FuchsiastageError => {
    const wait = Math.min(MAXIMUM_RETRY_MILLISECONDS, Math.max(MINIMUM_RETRY_MILLISECONDS, waitBehind(totalWaiting())))
    return createError({ code, message, step: 'admit', status, retryAfterMilliseconds: Math.round(wait * (1 + RETRY_SPREAD * random())) })
  }

  const notMet = (): FuchsiastageError => refusal('deadline-not-met', 'the estimated wait does not fit the deadline', 503)
  const exceeded = (): FuchsiastageError => refusal('deadline-exceeded', 'the deadline passed before the request was run', 504)

  const checkDrained = (): void => {
    if (!draining || running > 0 || totalWaiting() > 0) return
    const waiters = drained
    drained = []
    for (const resolve of waiters) resolve()
  }

  const createAdmission = (arrivedAt: Milliseconds): Admission => {
    const startedAt = clock.now()
    let released = false
    running++
    const release = (): void => {
      if (released) return
      released = true
      running--
      serviceMilliseconds += SERVICE_SMOOTHING * (clock.now() - startedAt - serviceMilliseconds)
      dispatch()
      checkDrained()
    }
    return { waitedMilliseconds: startedAt - arrivedAt, release }
  }

  /** Takes a waiting request out of the queue and gives it its answer; false when it has one. */
  const remove = (waiting: Waiting, error: FuchsiastageError): boolean => {
    if (!queues[waiting.request.priority].remove(waiting)) return false
    waiting.timer?.cancel()
    waiting.settle(err(error))
    checkDrained()
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
      // A late timer must not let a request run that is already past its time.
      if (clock.now() > latestDispatch(waiting.request)) {
        waiting.settle(err(exceeded()))
        continue
      }
      countDispatch(priority)
      waiting.settle(ok(createAdmission(waiting.arrivedAt)))
    }
  }

  /** Makes room in a full queue; false when the newcomer is the least urgent itself. */
  const makeRoom = ({ priority, deadline }: AdmissionRequest): boolean => {
    const others = queues.urgent.size() + queues.normal.size()
    // Places for bulk are kept free of the other classes, so that bulk is never crowded out.
    const full = priority !== 'bulk' && others >= maximumWaiting - bulkPlaces
    if (!full && others + queues.bulk.size() < maximumWaiting) return true
    const victimClass = !full ? 'bulk' : queues.normal.size() > 0 ? 'normal' : 'urgent'
    const victim = queues[victimClass].last()
    if (victim === undefined) return false
    const moreUrgent = PRIORITY_CLASSES.indexOf(priority) < PRIORITY_CLASSES.indexOf(victimClass) ||
      (priority === victimClass && deadline < victim.deadline)
    return moreUrgent && remove(victim, refusal('queue-full', 'a more urgent request took the place in the queue', 503))
  }

  const enqueue = (request: AdmissionRequest, signal: AbortSignal | undefined): Promise<Result<Admission, FuchsiastageError>> =>
    new Promise((resolve) => {
      const cancel = (): void => {
        remove(waiting, createError({ code: 'cancelled', message: 'the caller went away', step: 'admit', status: 499 }))
      }
      const waiting: Waiting = {
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
      waiting.timer = clock.setTimer(latestDispatch(request) - clock.now(), () => { remove(waiting, exceeded()) })
    })

  const admit = async (request: AdmissionRequest, signal?: AbortSignal): Promise<Result<Admission, FuchsiastageError>> => {
    const now = clock.now()
    if (signal?.aborted === true) return err(createError({ code: 'cancelled', message: 'the caller went away', step: 'admit', status: 499 }))
    if (draining) return err(refusal('leaving', 'this daemon is stopping', 503))
    if (now >= request.deadline) return err(exceeded())
    if (now + estimate(request.priority, request.deadline) > latestDispatch(request)) return err(notMet())
    if (running < capacity && totalWaiting() === 0) {
      countDispatch(request.priority)
      return ok(createAdmission(now))
    }
    if (!makeRoom(request)) return err(refusal('queue-full', 'the queue is full', 503))
    return await enqueue(request, signal)
  }

  /** Refuses the waiting requests that can no longer be dispatched in time. */
  const refuseHopeless = (): void => {
    const now = clock.now()
    for (const priority of PRIORITY_CLASSES) {
      let kept = 0
      for (const waiting of queues[priority].byDeadline()) {
        if (now + waitBehind(dispatchesAhead(priority, kept)) > latestDispatch(waiting.request)) remove(waiting, notMet())
        else kept++
      }
    }
  }

  const setCapacity = (value: number): void => {
    const lower = value < capacity
    capacity = value
    if (lower) refuseHopeless()
    dispatch()
  }

  const drain = (): Promise<void> => {
    draining = true
    return new Promise((resolve) => {
      drained.push(resolve)
      checkDrained()
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
