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
  /** Maximum number of attempts per request, including the first one. */
  readonly maximumAttempts: number
  /** Called when a target refuses a request because it is draining, so that the other daemons are informed. */
  readonly onTargetDraining: (target: string) => void
  /** Called when a target reports that it has not loaded a model that the directory lists as loaded. */
  readonly onModelMissing: (target: string, model: string) => void
}

/** The attempts of one request. */
export interface Attempts {
  /** Chooses the next target and checks, immediately before sending, that it may be used. */
  readonly next: () => Result<RouteDecision, FuchsiastageError>
  /** Waits for the backoff and returns whether another attempt is allowed. */
  readonly mayRetry: () => Promise<boolean>
  readonly end: (target: string, result: RequestResult) => void
}

/**
 * Creates the last filter of the chain. It chooses a target, sends the request, relays the response
 * and retries where that is safe.
 *
 * @example
 * const filter = createDispatchFilter(options)
 */
export function createDispatchFilter (options: DispatchOptions): Filter {
  return async (context) => {
    const { route } = context
    if (route === undefined) throw new Error('the dispatch filter requires a route; add the parse filter before it')
    const attempts = createAttempts(options, context, route)
    return route.kind === 'completion'
      ? await dispatchCompletion(options, context, route, attempts)
      : await dispatchService(options, context, route, attempts)
  }
}

function createAttempts (options: DispatchOptions, context: RequestContext, route: Route): Attempts {
  const { clock, router, tracker, configuration } = options
  const key = routeKeyOf(route)
  const attemptedTargets: string[] = []
  const excludedTargets: string[] = []
  options.retryBudget.recordRequest(key)

  const checkBeforeSend = (decision: RouteDecision): FuchsiastageError | undefined => {
    const { target } = decision
    if (context.signal.aborted) return endedBeforeSend(context, clock, 'dispatch')
    const fresh = configuration.checkFresh()
    if (fresh.isErr) return fresh.error
    const permitted = permittedDataCentres(configuration.document(), { kind: route.kind, name: routeName(route) })
    if (permitted.includes(target.dataCentre) && router.mayUse(target.name)) return undefined
    return createError({ code: 'target-not-permitted', message: 'the chosen target is no longer permitted or usable', step: 'dispatch', peer: target.name, status: 503, retryAfterMilliseconds: 0 })
  }

  const next = (): Result<RouteDecision, FuchsiastageError> => {
    for (;;) {
      const decision = router.choose({ key, prefix: route.kind === 'completion' ? route.prefix : undefined, exclude: excludedTargets })
      if (decision.isErr) return err(decision.error)
      const refusal = checkBeforeSend(decision.value)
      if (refusal?.code === 'target-not-permitted') {
        excludedTargets.push(decision.value.target.name)
        continue
      }
      if (refusal !== undefined) return err(refusal)
      const { name } = decision.value.target
      attemptedTargets.push(name)
      excludedTargets.push(name)
      tracker.begin(name)
      context.logger.info('request sent', { event: 'request-sent', peer: name, version: configuration.version(), attempt: attemptedTargets.length })
      return ok(decision.value)
    }
  }

  const mayRetry = async (): Promise<boolean> => {
    if (attemptedTargets.length >= options.maximumAttempts || context.signal.aborted) return false
    if (!options.retryBudget.tryRetry(key)) return false
    await clock.sleep(backoffDelay(attemptedTargets.length - 1, options.backoff, options.random), context.signal)
    return !context.signal.aborted
  }

  return { next, mayRetry, end: (target, result) => tracker.end(target, result) }
}

/**
 * Replaces the outcome `not-run` of the last error with `unknown` when an earlier attempt may have
 * run, because the outcome applies to the request as a whole.
 */
export function withEarlierAttempts (error: FuchsiastageError, hasUnknownAttempt: boolean): FuchsiastageError {
  return hasUnknownAttempt && error.outcome === 'not-run' ? { ...error, outcome: 'unknown' } : error
}

const DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000

/** Creates the error for a request that no target has run. */
export function notRunError (code: string, message: string, peer: string, retryAfterMilliseconds: Milliseconds = DEFAULT_RETRY_AFTER_MILLISECONDS): FuchsiastageError {
  return createError({ code, message, step: 'dispatch', peer, status: 503, retryAfterMilliseconds })
}

/** Creates the error for a request that a target may have run. */
export function mayHaveRunError (reason: string, peer: string): FuchsiastageError {
  return createError({ code: 'outcome-unknown', message: `the request may have run: ${reason}`, step: 'dispatch', peer, outcome: 'unknown', status: 502 })
}

const RELAYED_HEADERS = ['content-type', 'location', 'etag', 'cache-control']

/** Selects the response headers of a target that are relayed to the caller, without hop-by-hop headers. */
export function relayedHeaders (headers: AnswerHeaders): Readonly<Record<string, string>> {
  const relayed: Record<string, string> = {}
  for (const name of RELAYED_HEADERS) {
    const value = headers[name]
    if (value !== undefined) relayed[name] = typeof value === 'string' ? value : value.join(', ')
  }
  return relayed
}
