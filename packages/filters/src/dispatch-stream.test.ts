import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { SourceChunk } from '@fuchsiastage/target-client'
import { ok } from 'true-myth/result'
import { createDispatchFilter, type DispatchOptions } from './dispatch.js'
import type { RequestContext } from './context.js'

const target = { name: 'drafter-1', address: '10.0.0.1:8080', dataCentre: 'van-a', maximumConcurrent: 4 }

/** Relays a stream that sends one event and then stays open until the request's signal aborts. */
async function relayUntilAbort (isCallerDisconnected: boolean): Promise<string> {
  const clock = createManualClock()
  const requestAbort = new AbortController()
  const callerDisconnect = new AbortController()
  const reads: SourceChunk[] = [{ kind: 'bytes', chunks: [Buffer.from('id: 1\ndata: first\n\n')] }]
  let written = ''
  const read = async (): Promise<SourceChunk> => {
    const next = reads.shift()
    if (next !== undefined) return next
    if (isCallerDisconnected) callerDisconnect.abort()
    requestAbort.abort()
    return { kind: 'closed', reason: 'cancelled' }
  }
  const options = {
    clock,
    random: () => 0.5,
    configuration: {
      document: () => new Map([['rule/letter', { dataCentres: ['van-a'], maximumReplicas: 1, minimumWarm: 0 }]]),
      version: () => 1,
      checkFresh: () => ok(undefined)
    },
    router: { choose: () => ok({ target, score: 0, prefixHit: false }), mayUse: () => true, recordPrefix: () => {} },
    tracker: { begin: () => {}, end: () => {} },
    engine: {
      complete: async () => ({ kind: 'streaming', status: 200, headers: {}, source: { address: target.address, streamId: 'stream-1', read, abort: () => {} } }),
      cancelStream: async () => true
    },
    retryBudget: { recordRequest: () => {}, tryRetry: () => true },
    relay: { silenceMilliseconds: 2_000, maximumResumes: 3, resumeDelayMilliseconds: 50, maximumEventCharacters: 1_000 },
    maximumAttempts: 3
  } as unknown as DispatchOptions
  const context = {
    id: 'request-1',
    deadline: 60_000,
    receivedAt: 0,
    logger: createMemoryLogger(clock).logger,
    incoming: { method: 'POST', headers: {}, signal: callerDisconnect.signal, openStream: () => ({ write: (text: string) => { written += text; return true }, drained: async () => {} }) },
    route: { kind: 'completion', path: '/v1/completions', model: 'letter', stream: true, body: Buffer.from('{}'), prefix: '' },
    signal: requestAbort.signal
  } as unknown as RequestContext
  const answer = await createDispatchFilter(options)(context, async () => { throw new Error('dispatch is the last filter') })
  if (answer.kind !== 'streamed' || answer.complete) throw new Error('expected an incomplete stream')
  return written
}

test('a stream that exceeds its deadline ends with an error event, not only with a broken connection', async (t) => {
  const written = await relayUntilAbort(false)
  t.regex(written, /^id: 1\ndata: first\n\nevent: error\ndata: \{.*"code":"deadline-exceeded","outcome":"unknown"/)
  t.false(written.includes('[DONE]'))
})

test('nothing is written to a caller after it has disconnected', async (t) => {
  t.is(await relayUntilAbort(true), 'id: 1\ndata: first\n\n')
})
