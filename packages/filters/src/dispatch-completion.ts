import { createError, toProblem } from '@fuchsiastage/errors'
import type { RequestResult, RoutingTarget } from '@fuchsiastage/routing'
import { relayStream, type CompletionOutcome, type Streaming, type StreamSink, type StreamSource } from '@fuchsiastage/target-client'
import { assertNever, PRIORITY_CLASSES, type Milliseconds } from '@fuchsiastage/types'
import { routeKeyOf, timeLeft, type Answer, type CompletionRoute, type RequestContext } from './context.js'
import { mayHaveRunError, notRunError, relayedHeaders, withEarlierAttempts, type Attempts, type DispatchOptions } from './dispatch.js'

/** Result of starting a completion: a complete answer or error for the caller, or the start of a stream. */
type StartResult =
  | { readonly kind: 'answered'; readonly answer: Answer }
  | { readonly kind: 'streaming'; readonly target: RoutingTarget; readonly sentAt: Milliseconds; readonly streaming: Streaming }

/**
 * Sends a completion to an engine. Completions change no state of the engine, so a failed one is
 * retried until the first event has been written to the caller.
 */
export async function dispatchCompletion (options: DispatchOptions, context: RequestContext, route: CompletionRoute, attempts: Attempts): Promise<Answer> {
  const started = await startCompletion(options, context, route, attempts)
  if (started.kind === 'answered') return started.answer
  return await relay(options, context, route, attempts, started)
}

async function startCompletion (options: DispatchOptions, context: RequestContext, route: CompletionRoute, attempts: Attempts): Promise<StartResult> {
  const { clock, engine, router } = options
  let hasUnknownAttempt = false
  const refuse = (error: ReturnType<typeof createError>): StartResult => ({ kind: 'answered', answer: { kind: 'problem', error: withEarlierAttempts(error, hasUnknownAttempt) } })
  for (;;) {
    const decision = attempts.next()
    if (decision.isErr) return refuse(decision.error)
    const { target } = decision.value
    router.recordPrefix(target.name, routeKeyOf(route), route.prefix)
    const sentAt = clock.now()
    const outcome = await engine.complete(target.address, {
      requestId: context.id,
      path: route.path,
      body: route.body,
      stream: route.stream,
      priority: PRIORITY_CLASSES.indexOf(context.caller?.priority ?? 'normal'),
      deadlineMilliseconds: Math.max(1, timeLeft(context, clock))
    }, context.signal)
    if (outcome.kind === 'streaming') return { kind: 'streaming', target, sentAt, streaming: outcome }
    if (outcome.kind === 'answered') {
      attempts.end(target.name, { kind: 'success', key: routeKeyOf(route), firstByteMilliseconds: clock.now() - sentAt })
      return { kind: 'answered', answer: { kind: 'plain', status: outcome.status, headers: relayedHeaders(outcome.headers), body: outcome.body } }
    }
    recordFailure(options, context, route, target.name, outcome, attempts)
    if (outcome.kind === 'unknown') hasUnknownAttempt = true
    if (!await attempts.mayRetry()) return refuse(errorOf(context, target.name, outcome))
  }
}

type FailedOutcome = Exclude<CompletionOutcome, { readonly kind: 'streaming' | 'answered' }>

function recordFailure (options: DispatchOptions, context: RequestContext, route: CompletionRoute, target: string, outcome: FailedOutcome, attempts: Attempts): void {
  if (outcome.kind !== 'refused') {
    attempts.end(target, context.signal.aborted ? { kind: 'cancelled' } : { kind: 'failure' })
    return
  }
  attempts.end(target, { kind: 'refused', code: outcome.code })
  if (outcome.code === 'leaving') options.onTargetDraining(target)
  if (outcome.code === 'model-not-loaded') options.onModelMissing(target, route.model)
}

function errorOf (context: RequestContext, target: string, outcome: FailedOutcome): ReturnType<typeof createError> {
  switch (outcome.kind) {
    case 'not-sent':
      return notRunError('target-unreachable', outcome.reason, target)
    case 'refused':
      return notRunError(`target-${outcome.code}`, `the target refused the request: ${outcome.code}`, target, outcome.retryAfterMilliseconds)
    case 'unknown':
      return context.signal.aborted
        ? createError({ code: 'deadline-exceeded', message: 'the target did not respond before the deadline', step: 'dispatch', peer: target, outcome: 'unknown', status: 504 })
        : mayHaveRunError(outcome.reason, target)
    default:
      return assertNever(outcome)
  }
}

async function relay (
  options: DispatchOptions,
  context: RequestContext,
  route: CompletionRoute,
  attempts: Attempts,
  initial: Extract<StartResult, { readonly kind: 'streaming' }>
): Promise<Answer> {
  const { clock, engine } = options
  let { target, sentAt } = initial
  /** Whether the latest attempt has not been ended yet, so that each attempt is ended only once. */
  let isRunning = true
  const endAttempt = (result: RequestResult): void => {
    if (isRunning) attempts.end(target.name, result)
    isRunning = false
  }
  let firstByteMilliseconds: number | undefined
  let sink: StreamSink | undefined
  // The status line is sent with the first event, so that an earlier failure can still be answered with a problem document.
  const lazySink: StreamSink = {
    write: (text) => {
      firstByteMilliseconds ??= clock.now() - sentAt
      sink ??= context.incoming.openStream(initial.streaming.status, { ...relayedHeaders(initial.streaming.headers), 'x-request-id': context.id })
      return sink.write(text)
    },
    drained: async () => { await sink?.drained() }
  }
  const restart = async (): Promise<StreamSource | undefined> => {
    endAttempt({ kind: 'failure' })
    if (!await attempts.mayRetry()) return undefined
    const restarted = await startCompletion(options, context, route, attempts)
    if (restarted.kind === 'answered') return undefined
    target = restarted.target
    sentAt = restarted.sentAt
    firstByteMilliseconds = undefined
    isRunning = true
    context.logger.warn('stream failed before its first event; restarted on another target', { event: 'stream-restarted', peer: target.name })
    return restarted.streaming.source
  }
  const outcome = await relayStream({ clock, engine, requestId: context.id, source: initial.streaming.source, sink: lazySink, signal: context.signal, settings: options.relay, restart })
  const { statistics } = outcome
  if (statistics.resumes > 0) context.logger.warn('stream was interrupted; tried to resume it', { event: 'stream-resumed', peer: target.name, resumes: statistics.resumes })
  switch (outcome.kind) {
    case 'complete':
      endAttempt({ kind: 'success', key: routeKeyOf(route), firstByteMilliseconds: firstByteMilliseconds ?? 0 })
      return { kind: 'streamed', complete: true }
    case 'cancelled':
      endAttempt({ kind: 'cancelled' })
      if (sink === undefined) return { kind: 'problem', error: deadlineBeforeFirstEvent(target.name) }
      if (!context.incoming.signal.aborted) sink.write(`event: error\ndata: ${JSON.stringify(toProblem(deadlineDuringStream(target.name), context.id))}\n\n`)
      return { kind: 'streamed', complete: false }
    case 'failed':
      endAttempt({ kind: 'failure' })
      context.logger.warn('stream failed and could not be resumed or restarted', { event: 'stream-broken', peer: target.name, reason: outcome.error.message })
      return sink === undefined ? { kind: 'problem', error: outcome.error } : { kind: 'streamed', complete: false }
    default:
      return assertNever(outcome)
  }
}

function deadlineDuringStream (peer: string): ReturnType<typeof createError> {
  return createError({ code: 'deadline-exceeded', message: 'the deadline passed before the stream was complete', step: 'relay', peer, outcome: 'unknown', status: 504 })
}

function deadlineBeforeFirstEvent (peer: string): ReturnType<typeof createError> {
  return createError({ code: 'deadline-exceeded', message: 'the engine sent no event before the deadline', step: 'dispatch', peer, outcome: 'unknown', status: 504 })
}
