import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { CompletionOutcome } from '@fuchsiastage/target-client'
import { err, ok } from 'true-myth/result'
import { createDispatchFilter, type DispatchOptions } from './dispatch.js'
import type { Answer, RequestContext, Route } from './context.js'

const target = { name: 'drafter-1', address: '10.0.0.1:8080', dataCentre: 'van-a', maximumConcurrent: 4 }

async function dispatch (route: Route, outcomes: readonly CompletionOutcome[], candidates: number): Promise<Answer> {
  const clock = createManualClock()
  let sent = 0
  const send = async (): Promise<CompletionOutcome> => outcomes[sent++] ?? { kind: 'not-sent', reason: 'connection refused' }
  const options = {
    clock,
    random: () => 0.5,
    configuration: {
      document: () => new Map([['rule/letter', { dataCentres: ['van-a'], maximumReplicas: 1, minimumWarm: 0 }], ['service/ledger', { role: 'ledger', dataCentres: ['van-a'], nonIdempotent: [] }]]),
      version: () => 1,
      checkFresh: () => ok(undefined)
    },
    router: {
      choose: () => sent < candidates ? ok({ target, score: 0, prefixHit: false }) : err(createError({ code: 'no-target', message: 'none', step: 'dispatch', status: 503 })),
      mayUse: () => true,
      recordPrefix: () => {}
    },
    tracker: { begin: () => {}, end: () => {} },
    engine: { complete: send },
    services: { call: send },
    retryBudget: { recordRequest: () => {}, tryRetry: () => true },
    backoff: { baseMilliseconds: 50, maximumMilliseconds: 100 },
    maximumAttempts: 3,
    onTargetDraining: () => {},
    onModelMissing: () => {}
  } as unknown as DispatchOptions
  const context = {
    id: 'request-1', deadline: 60_000, receivedAt: 0, logger: createMemoryLogger(clock).logger, incoming: { method: 'GET', headers: {} }, route, signal: new AbortController().signal
  } as unknown as RequestContext
  const ended = createDispatchFilter(options)(context, async () => { throw new Error('dispatch is the last filter') })
  await clock.advance(10_000)
  return await ended
}

const routes: readonly Route[] = [
  { kind: 'completion', path: '/v1/completions', model: 'letter', stream: false, body: Buffer.from('{}'), prefix: '' },
  { kind: 'service', service: 'ledger', path: '/balance', body: Buffer.from(''), idempotencyKey: undefined }
]
const unknown: CompletionOutcome = { kind: 'unknown', reason: 'the connection broke' }
const outcomeOf = (answer: Answer): string => answer.kind === 'problem' ? answer.error.outcome : answer.kind

test('the outcome of a request is unknown when an earlier attempt may have run, whatever the later attempts return', async (t) => {
  for (const route of routes) {
    t.is(outcomeOf(await dispatch(route, [unknown], 1)), 'unknown', 'no target is left')
    t.is(outcomeOf(await dispatch(route, [unknown], 3)), 'unknown', 'the other targets are unreachable')
    t.is(outcomeOf(await dispatch(route, [unknown, { kind: 'refused', code: 'busy' }, { kind: 'refused', code: 'busy' }], 3)), 'unknown', 'the other targets are full')
  }
})

test('the outcome of a request that no target received is not-run', async (t) => {
  for (const route of routes) t.is(outcomeOf(await dispatch(route, [], 3)), 'not-run')
})
