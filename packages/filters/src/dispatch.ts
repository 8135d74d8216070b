import { backoffDelay, type BackoffSettings, type RetryBudget } from '@fuchsiastage/admission'
import type { Clock } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { RequestResult, RequestTracker, RouteDecision, Router } from '@fuchsiastage/routing'
import type { AnswerHeaders, EngineClient, RelaySettings, ServiceClient } from '@fuchsiastage/target-client'
import type { Milliseconds } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import { permittedDataCentres, routeName } from './authorise.js'
import { routeKeyOf, type ConfigurationView, type Filter, type RequestContext, type Route } from './context.js'
import { endedBeforeSend } from './deadline.js'
import { dispatchCompletion } from './dispatch-completion.js'
import { dispatchService } from './dispatch-service.js'

export interface DispatchOptions {
  readonly clock: Clock
  readonly random: () => number
  readonly configuration: ConfigurationView
  readonly router: Router
  readonly tracker: RequestTracker
  readonly engine: EngineClient
  readonly services: ServiceClient
  readonly retryBudget: RetryBudget
  readonly backoff: BackoffSettings
  readonly relay: RelaySettings
  /** Attempts of one request, the first one included. */
  readonly maximumAttempts: number
  /** A target said that it is leaving; the news is spread to the other daemons. */
  readonly onLeaving: (target: string) => void
  /** A target said that it does not hold a model that the directory shows as loaded. */
  readonly onModelMissing: (target: string, model: string) => void
}

/** Keeps track of the attempts of one request. */
export interface Attempts {
  /** Chooses the next target and checks, right before the first byte, that it may be used. */
  readonly next: () => Result<RouteDecision, FuchsiastageError>
  /** Whether another attempt is allowed; waits for the backoff. */
  readonly mayRetry: () => Promise<boolean>
  readonly end: (target: string, result: RequestResult) => void
}

/**
 * Creates the last filter: it chooses a target, sends the request, relays the answer and retries
 * where that is safe.
 *
 * @example
 * const filter = createDispatchFilter(options)
 */
export function createDispatchFilter (options: DispatchOptions): Filter {
  return async (context) => {
    const { route } = context
    if (route === undefined) throw new Error('dispatch needs a route')
    const attempts = createAttempts(options, context, route)
    return route.kind === 'completion'
      ? await dispatchCompletion(options, context, route, attempts)
      : await dispatchService(options, context, route, attempts)
  }
}

function createAttempts (options: DispatchOptions, context: RequestContext, route: Route): Attempts {
  const { clock, router, tracker, configuration } = options
  const key = routeKeyOf(route)
  const tried: string[] = []
  const excluded: string[] = []
  options.retryBudget.recordRequest(key)

  const checkBeforeSend = (decision: RouteDecision): FuchsiastageError | undefined => {
    const { target } = decision
    if (context.signal.aborted) return endedBeforeSend(context, clock, 'dispatch')
    const fresh = configuration.checkFresh()
    if (fresh.isErr) return fresh.error
    const permitted = permittedDataCentres(configuration.document(), { kind: route.kind, name: routeName(route) })
    if (permitted.includes(target.dataCentre) && router.mayUse(target.name)) return undefined
    return createError({ code: 'target-not-permitted', message: 'the chosen target may not be used any more', step: 'dispatch', peer: target.name, status: 503, retryAfterMilliseconds: 0 })
  }

  const next = (): Result<RouteDecision, FuchsiastageError> => {
    for (;;) {
      const decision = router.choose({ key, prefix: route.kind === 'completion' ? route.prefix : undefined, exclude: excluded })
      if (decision.isErr) return err(decision.error)
      const refusal = checkBeforeSend(decision.value)
      if (refusal?.code === 'target-not-permitted') {
        excluded.push(decision.value.target.name)
        continue
      }
      if (refusal !== undefined) return err(refusal)
      const { name } = decision.value.target
      tried.push(name)
      excluded.push(name)
      tracker.begin(name)
      context.logger.info('request sent', { event: 'request-sent', peer: name, version: configuration.version(), attempt: tried.length })
      return ok(decision.value)
    }
  }

  const mayRetry = async (): Promise<boolean> => {
    if (tried.length >= options.maximumAttempts || context.signal.aborted) return false
    if (!options.retryBudget.tryRetry(key)) return false
    await clock.sleep(backoffDelay(tried.length - 1, options.backoff, options.random), context.signal)
    return !context.signal.aborted
  }

  return { next, mayRetry, end: (target, result) => tracker.end(target, result) }
}

/**
 * The answer to a request of which an earlier attempt may have run: whatever stopped the later
 * attempts, the request as a whole cannot be called not run.
 */
export function withEarlierAttempts (error: FuchsiastageError, hasUnknownAttempt: boolean): FuchsiastageError {
  return hasUnknownAttempt && error.outcome === 'not-run' ? { ...error, outcome: 'unknown' } : error
}

const RETRY_AFTER_BUSY_MILLISECONDS = 1_000

/** The error of a request that no target has run. */
export function notRun (code: string, message: string, peer: string, retryAfterMilliseconds: Milliseconds = RETRY_AFTER_BUSY_MILLISECONDS): FuchsiastageError {
  return createError({ code, message, step: 'dispatch', peer, status: 503, retryAfterMilliseconds })
}

/** The error of a request that a target may have run. */
export function mayHaveRun (reason: string, peer: string): FuchsiastageError {
  return createError({ code: 'outcome-unknown', message: `the request may have run: ${reason}`, step: 'dispatch', peer, outcome: 'unknown', status: 502 })
}

const RELAYED_HEADERS = ['content-type', 'location', 'etag', 'cache-control']

/** Headers of a target's answer that the caller gets; those of one connection are left out. */
export function relayedHeaders (headers: AnswerHeaders): Readonly<Record<string, string>> {
  const relayed: Record<string, string> = {}
  for (const name of RELAYED_HEADERS) {
    const value = headers[name]
    if (value !== undefined) relayed[name] = typeof value === 'string' ? value : value.join(', ')
  }
  return relayed
}
