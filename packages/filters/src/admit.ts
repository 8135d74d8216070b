import { createAdmissionController, type AdmissionController, type AdmissionSettings } from '@fuchsiastage/admission'
import type { Clock } from '@fuchsiastage/clock'
import type { RouteKey, Router, RoutingTarget } from '@fuchsiastage/routing'
import { routeKeyOf, type Answer, type Filter } from './context.js'

export interface AdmitOptions {
  readonly clock: Clock
  readonly random: () => number
  readonly router: Pick<Router, 'freeSlots' | 'targetsToPoll'>
  /** Reads the states of targets whose state is unknown or too old. */
  readonly readTargetStates: (targets: readonly RoutingTarget[]) => Promise<void>
  readonly settings?: Partial<AdmissionSettings>
  /** Interval at which the capacity of queues that are in use is updated from the reports of their targets. */
  readonly capacityUpdateMilliseconds: number
}

export interface AdmissionQueues {
  readonly filter: Filter
  /** Numbers of waiting and running requests in all queues. */
  readonly totals: () => { readonly waiting: number; readonly running: number }
  readonly stop: () => void
}

/**
 * Delay before a request is queued again when all its targets were full. It equals the time for which
 * the router excludes a target that refused a request as `busy`.
 */
const REQUEUE_DELAY_MILLISECONDS = 200

/** Temporary reasons for which the router excludes a target; draining and unresponsive targets are not among them. */
const TEMPORARY_REASONS = ['busy', 'at-limit', 'excluded']

/** Number of queues above which idle ones are removed: rebuilding a queue with few observations costs less than keeping one for each of 4,600 models. */
const IDLE_QUEUE_CLEANUP_THRESHOLD = 256

/**
 * Creates the admission filter. Each model or service has its own queue, so that a saturated model does
 * not delay the others. The capacity of a queue is the number of its running requests plus the free
 * slots at its targets, and at least 1.
 *
 * @example
 * const { filter } = createAdmissionQueues({ clock, random: Math.random, router, readTargetStates, capacityUpdateMilliseconds: 250 })
 */
export function createAdmissionQueues (options: AdmitOptions): AdmissionQueues {
  const { clock, router } = options
  const queues = new Map<RouteKey, AdmissionController>()

  const updateCapacity = (key: RouteKey, queue: AdmissionController): void => {
    const { running } = queue.view()
    queue.setCapacity(Math.max(1, running + router.freeSlots(key)))
  }

  const isIdle = (queue: AdmissionController): boolean => {
    const { waiting, running } = queue.view()
    return running === 0 && waiting.urgent + waiting.normal + waiting.bulk === 0
  }

  const removeIdleQueues = (): void => {
    for (const [key, queue] of queues) {
      if (queues.size <= IDLE_QUEUE_CLEANUP_THRESHOLD) return
      if (isIdle(queue)) queues.delete(key)
    }
  }

  const queueOf = (key: RouteKey): AdmissionController => {
    const known = queues.get(key)
    if (known !== undefined) return known
    removeIdleQueues()
    const created = createAdmissionController({ clock, random: options.random, capacity: 1, settings: options.settings })
    queues.set(key, created)
    return created
  }

  let isStopped = false
  const updateCapacities = (): void => {
    if (isStopped) return
    for (const [key, queue] of queues) if (!isIdle(queue)) updateCapacity(key, queue)
    timer = clock.setTimer(options.capacityUpdateMilliseconds, updateCapacities)
  }
  let timer = clock.setTimer(options.capacityUpdateMilliseconds, updateCapacities)

  const filter: Filter = async (context, next) => {
    const { caller, route, deadline } = context
    if (caller === undefined || route === undefined || deadline === undefined) throw new Error('the admission filter requires a caller, a route and a deadline; add the identify, parse and deadline filters before it')
    const key = routeKeyOf(route)
    if (router.freeSlots(key) === 0) await options.readTargetStates(router.targetsToPoll(key))
    const queue = queueOf(key)
    updateCapacity(key, queue)
    for (;;) {
      const admission = await queue.admit({ request: context.id, caller: caller.name, weight: caller.weight, priority: caller.priority, deadline }, context.signal)
      if (admission.isErr) return { kind: 'problem', error: admission.error }
      let answer: Answer
      try {
        answer = await next(context)
      } finally {
        admission.value.release()
      }
      if (!isRefusedByFullTargets(answer) || deadline - clock.now() <= REQUEUE_DELAY_MILLISECONDS) return answer
      // Load reports lag, so several daemons may have sent requests to the same free slots.
      await clock.sleep(REQUEUE_DELAY_MILLISECONDS, context.signal)
      updateCapacity(key, queue)
    }
  }

  return {
    filter,
    totals: () => {
      let waiting = 0
      let running = 0
      for (const queue of queues.values()) {
        const view = queue.view()
        waiting += view.waiting.urgent + view.waiting.normal + view.waiting.bulk
        running += view.running
      }
      return { waiting, running }
    },
    stop: () => {
      isStopped = true
      timer.cancel()
    }
  }
}

/** Whether the request was admitted but not run, because its targets were full. */
function isRefusedByFullTargets (answer: Answer): boolean {
  if (answer.kind !== 'problem' || answer.error.outcome !== 'not-run') return false
  const { code, details } = answer.error
  return code === 'target-busy' || (code === 'no-target' && TEMPORARY_REASONS.some((reason) => details?.[reason] !== undefined))
}
