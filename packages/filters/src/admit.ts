import { createAdmissionController, type AdmissionController, type AdmissionSettings } from '@fuchsiastage/admission'
import type { Clock } from '@fuchsiastage/clock'
import type { RouteKey, Router, RoutingTarget } from '@fuchsiastage/routing'
import { routeKeyOf, type Answer, type Filter } from './context.js'

export interface AdmitOptions {
  readonly clock: Clock
  readonly random: () => number
  readonly router: Pick<Router, 'freePlaces' | 'targetsToAsk'>
  /** Reads the state of targets about which this daemon has no news yet. */
  readonly readNews: (targets: readonly RoutingTarget[]) => Promise<void>
  readonly settings?: Partial<AdmissionSettings>
  /** How often the capacity of queues with waiting requests is adjusted to the targets' reports. */
  readonly adjustMilliseconds: number
}

export interface AdmissionQueues {
  readonly filter: Filter
  /** Requests that wait in or run through all queues. */
  readonly totals: () => { readonly waiting: number; readonly running: number }
  readonly stop: () => void
}

/**
 * Wait before a request that no target had a place for is queued again: as long as the router leaves
 * out a target that answered `busy`.
 */
const SURPLUS_WAIT_MILLISECONDS = 200

/** Reasons of the router that go away by themselves; a target that is leaving or silent does not count. */
const PASSING_REASONS = ['busy', 'at-limit', 'excluded']

/** An idle queue with few observations is cheaper to build anew than to keep for 4,600 models. */
const IDLE_QUEUES_KEPT = 256

/**
 * Creates the admission filter: one queue for each model or service, so that a saturated model
 * does not delay the others. The capacity of a queue follows the places that are free at its targets.
 *
 * @example
 * const { filter } = createAdmissionQueues({ clock, random: Math.random, router, adjustMilliseconds: 250 })
 */
export function createAdmissionQueues (options: AdmitOptions): AdmissionQueues {
  const { clock, router } = options
  const queues = new Map<RouteKey, AdmissionController>()

  const adjust = (key: RouteKey, queue: AdmissionController): void => {
    const { running } = queue.view()
    queue.setCapacity(Math.max(1, running + router.freePlaces(key)))
  }

  const isIdle = (queue: AdmissionController): boolean => {
    const { waiting, running } = queue.view()
    return running === 0 && waiting.urgent + waiting.normal + waiting.bulk === 0
  }

  const dropIdleQueues = (): void => {
    for (const [key, queue] of queues) {
      if (queues.size <= IDLE_QUEUES_KEPT) return
      if (isIdle(queue)) queues.delete(key)
    }
  }

  const queueOf = (key: RouteKey): AdmissionController => {
    const known = queues.get(key)
    if (known !== undefined) return known
    dropIdleQueues()
    const created = createAdmissionController({ clock, random: options.random, capacity: 1, settings: options.settings })
    queues.set(key, created)
    return created
  }

  let isStopped = false
  const adjustAll = (): void => {
    if (isStopped) return
    for (const [key, queue] of queues) if (!isIdle(queue)) adjust(key, queue)
    timer = clock.setTimer(options.adjustMilliseconds, adjustAll)
  }
  let timer = clock.setTimer(options.adjustMilliseconds, adjustAll)

  const filter: Filter = async (context, next) => {
    const { caller, route, deadline } = context
    if (caller === undefined || route === undefined || deadline === undefined) throw new Error('admit needs a caller, a route and a deadline')
    const key = routeKeyOf(route)
    if (router.freePlaces(key) === 0) await options.readNews(router.targetsToAsk(key))
    const queue = queueOf(key)
    adjust(key, queue)
    for (;;) {
      const admission = await queue.admit({ request: context.id, caller: caller.name, weight: caller.weight, priority: caller.priority, deadline }, context.signal)
      if (admission.isErr) return { kind: 'problem', error: admission.error }
      let answer: Answer
      try {
        answer = await next(context)
      } finally {
        admission.value.release()
      }
      if (!isSurplus(answer) || deadline - clock.now() <= SURPLUS_WAIT_MILLISECONDS) return answer
      // Reports lag, so several daemons may have counted on the same free places.
      await clock.sleep(SURPLUS_WAIT_MILLISECONDS, context.signal)
      adjust(key, queue)
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

/** Whether the request was not run because the targets were full although admission had a place. */
function isSurplus (answer: Answer): boolean {
  if (answer.kind !== 'problem' || answer.error.outcome !== 'not-run') return false
  const { code, details } = answer.error
  return code === 'target-busy' || (code === 'no-target' && PASSING_REASONS.some((reason) => details?.[reason] !== undefined))
}
