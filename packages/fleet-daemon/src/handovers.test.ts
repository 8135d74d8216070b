import { createClientMemory, deriveClientCapacity, type ClientMemory } from '@fuchsiastage/client-memory'
import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemberDirectory, type Member } from '@fuchsiastage/fleet'
import type { FleetPeerClient, HandoverMessage, HandoverPart } from '@fuchsiastage/fleet-peer'
import { fingerprintOf, type Forwarder, type ForwardOutcome, type HandoverAnswer, type HandoverRequest, type InboundRequest } from '@fuchsiastage/forwarding'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { err, ok } from 'true-myth/result'
import { createHandoverReceiver, type HandoverReceiver } from './handover-receiver.js'
import { createHandoverSender } from './handover-sender.js'
import { createPeerTargetAccess } from './peer-target-access.js'

const LIVENESS_TIMEOUT_MILLISECONDS = 2_000
const NEVER = new AbortController().signal

function memberOf (name: string): Member {
  return { name, startedAt: 1, frontAddress: `${name}:1`, peerAddress: name, dataCentre: 'a', state: 'serving' }
}

function requestAt (receivedAt: number): InboundRequest {
  return {
    method: 'POST',
    host: 'h',
    path: '/x?q',
    rawHeaders: ['a', '1'],
    body: Buffer.from('body'),
    description: { id: 'r1', deadlineMilliseconds: 5_000, demand: undefined, lastEventId: undefined, resumes: undefined, credentials: undefined },
    receivedAt,
    clientDisconnected: NEVER,
    response: { hasBegun: () => false, hold: () => true, begin: () => undefined, write: async () => undefined, end: () => undefined, destroy: () => undefined }
  }
}

function handoverOf (request: InboundRequest, hidesKey: boolean): HandoverRequest {
  return { request, configurationVersion: 3, hidesKey, progress: { excluded: new Set(['t1@0']), mayHaveRun: new Set(['t1@0']), lostBeginnings: 1, lastEventId: '4', requiredVersion: { kind: 'exactly', softwareVersion: 'v1' } }, isCounted: true }
}

async function * partsOf (parts: readonly HandoverPart[]): AsyncIterable<HandoverPart> {
  yield * parts
}

async function collect (parts: AsyncIterable<HandoverPart>): Promise<readonly HandoverPart[]> {
  const collected: HandoverPart[] = []
  for await (const part of parts) collected.push(part)
  return collected
}

interface Sender {
  readonly clock: ManualClock
  readonly asked: string[]
  readonly messages: HandoverMessage[]
  /** Records messages of the peers, which keep them alive. */
  readonly keepAlive: (names: readonly string[], state?: Member['state']) => void
  readonly handOver: (signal?: AbortSignal, hidesKey?: boolean) => Promise<HandoverAnswer>
}

type Call = (name: string, signal: AbortSignal) => ReturnType<FleetPeerClient['handOver']>

function createSender (names: readonly string[], call: Call, supporting: readonly string[] = []): Sender {
  const clock = createManualClock()
  const { logger } = createMemoryLogger(clock)
  const members = createMemberDirectory({ clock, logger, self: () => memberOf('self'), livenessTimeoutMilliseconds: LIVENESS_TIMEOUT_MILLISECONDS })
  const access = createPeerTargetAccess({ clock, members, random: () => 0 })
  const asked: string[] = []
  const messages: HandoverMessage[] = []
  const keepAlive: Sender['keepAlive'] = (alive, state = 'serving') => {
    for (const name of alive) {
      members.recordContact({ ...memberOf(name), state })
      access.recordStatement(memberOf(name), 'reached', supporting.includes(name))
    }
  }
  keepAlive(names)
  const handOver = createHandoverSender({
    clock,
    memory: createClientMemory(clock, deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 })),
    logger,
    members,
    access,
    self: () => memberOf('self'),
    random: () => 0,
    peers: {
      handOver: async (address, message, _acceptMilliseconds, signal) => {
        asked.push(address)
        messages.push(message)
        return await call(address, signal)
      }
    }
  })
  return { clock, asked, messages, keepAlive, handOver: async (signal = NEVER, hidesKey = false) => await handOver(handoverOf(requestAt(clock.now() - 20), hidesKey), signal) }
}

const HEAD: HandoverPart = { kind: 'head', target: 't2@0', status: 200, rawHeaders: ['b', '2'], framing: 'until-close' }
const DECLINED: HandoverPart = { kind: 'declined', reason: 'no-target-access' }

test('a peer is told what has happened to the request so far', async (t) => {
  const { handOver, messages } = createSender(['p1'], async () => ok(partsOf([DECLINED])))
  await handOver()
  t.snapshot(messages[0])
})

// A peer of the previous release would forward the key of a customer to a target.
test('a request that may state a key is handed over only to peers that support customers', async (t) => {
  const { handOver, asked } = createSender(['p1', 'p2', 'p3'], async () => ok(partsOf([DECLINED])), ['p2'])
  t.deepEqual(await handOver(NEVER, true), { kind: 'declined', reason: 'no-target-access' })
  t.deepEqual(asked, ['p2'])
})

test('a rejection of a key, and a used-up allowance, at a peer are the outcome of the request', async (t) => {
  for (const outcome of [{ kind: 'rejected', status: 401, reason: 'key-unknown' }, { kind: 'limited', reason: 'allowance', retryAfterMilliseconds: 40 }] as const) {
    const { handOver } = createSender(['p1'], async () => ok(partsOf([{ kind: 'end', outcome, mayHaveRun: [] }])))
    t.deepEqual(await handOver(), { kind: 'outcome', peer: 'p1', outcome })
  }
})

test('the next peer is asked after one that declines or cannot be reached, and each only once', async (t) => {
  const unreachable = createError({ code: 'peer-call-failed', message: 'connection refused', step: 'handover', outcome: 'not-run' })
  const { handOver, asked } = createSender(['p1', 'p2', 'p3'], async (name) => name === 'p1' ? err(unreachable) : ok(partsOf([DECLINED])))
  t.deepEqual(await handOver(), { kind: 'declined', reason: 'no-target-access' })
  t.deepEqual(asked, ['p1', 'p2', 'p3'])
})

test('a peer that is leaving is asked when no other one reaches targets', async (t) => {
  const { handOver, asked, keepAlive } = createSender(['p1'], async () => ok(partsOf([DECLINED])))
  keepAlive(['p0'], 'leaving')
  await handOver()
  t.deepEqual(asked, ['p1', 'p0'])
})

test('no other peer is asked after one that may have sent the request to a target', async (t) => {
  const lost = createError({ code: 'peer-call-failed', message: 'timeout', step: 'handover', outcome: 'unknown' })
  const { handOver, asked } = createSender(['p1', 'p2'], async () => err(lost))
  t.deepEqual(await handOver(), { kind: 'lost', peer: 'p1', reason: 'timeout' })
  t.deepEqual(asked, ['p1'])
})

test('the response of a target is complete only with the statement of the peer that it is', async (t) => {
  const read = async (parts: readonly HandoverPart[]): Promise<{ readonly text: string, readonly isComplete: boolean, readonly mayHaveRun: readonly string[] | undefined }> => {
    const { handOver } = createSender(['p1'], async () => ok(partsOf(parts)))
    const answer = await handOver()
    if (answer.kind !== 'answer') throw new Error(`unexpected answer: ${answer.kind}`)
    let text = ''
    try {
      for await (const bytes of answer.answer.body) text += bytes.toString()
      return { text, isComplete: true, mayHaveRun: answer.mayHaveRun() }
    } catch {
      return { text, isComplete: false, mayHaveRun: answer.mayHaveRun() }
    }
  }
  const bytes: HandoverPart = { kind: 'bytes', base64: Buffer.from('abc').toString('base64') }
  t.deepEqual(await read([HEAD, bytes, { kind: 'end', outcome: { kind: 'delivered', status: 200 }, mayHaveRun: ['t2@0'] }]), { text: 'abc', isComplete: true, mayHaveRun: ['t2@0'] })
  t.deepEqual(await read([HEAD, bytes, { kind: 'end', outcome: { kind: 'broken', reason: 'reset' }, mayHaveRun: ['t2@0'] }]), { text: 'abc', isComplete: false, mayHaveRun: ['t2@0'] })
  t.deepEqual(await read([HEAD, bytes]), { text: 'abc', isComplete: false, mayHaveRun: undefined })
})

test('the call ends when the response of a peer is not read', async (t) => {
  let isAborted = false
  const { handOver } = createSender(['p1'], async (_name, signal) => {
    signal.addEventListener('abort', () => { isAborted = true })
    return ok(partsOf([HEAD, { kind: 'end', outcome: { kind: 'delivered', status: 200 }, mayHaveRun: [] }]))
  })
  const answer = await handOver()
  if (answer.kind !== 'answer') return t.fail(answer.kind)
  answer.answer.close()
  t.true(isAborted)
})

test('a response is given up when its peer is no longer alive', async (t) => {
  let isAborted = false
  const { clock, handOver, keepAlive } = createSender(['p1', 'p2'], async (_name, signal) => ok((async function * () {
    yield HEAD
    await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve()))
    isAborted = true
    throw new Error('aborted')
  })()))
  const answer = await handOver()
  if (answer.kind !== 'answer') return t.fail(answer.kind)
  const ended = (async () => { for await (const bytes of answer.answer.body) t.fail(bytes.toString()) })()
  const failed = t.throwsAsync(ended)
  await clock.advance(1_500)
  keepAlive(['p2'])
  t.false(isAborted)
  await clock.advance(1_000)
  await failed
  t.true(isAborted)
})

// A daemon without processor time took peers that served its requests for lost, because it had not read their messages.
test('the messages of a peer that arrived while this process was busy count before the response is given up', async (t) => {
  let isAborted = false
  const { clock, handOver, keepAlive } = createSender(['p1', 'p2'], async (_name, signal) => ok((async function * () {
    signal.addEventListener('abort', () => { isAborted = true })
    yield HEAD
    await new Promise((resolve) => signal.addEventListener('abort', resolve))
  })()))
  // Its message is read right after the check that finds it unresponsive.
  clock.setTimer(LIVENESS_TIMEOUT_MILLISECONDS, () => {
    const keepAliveIn = (turns: number): void => {
      if (turns === 0) keepAlive(['p1'])
      else setImmediate(() => keepAliveIn(turns - 1))
    }
    keepAliveIn(5)
  })
  const answer = await handOver()
  await clock.advance(LIVENESS_TIMEOUT_MILLISECONDS + 1_000)
  t.false(isAborted)
  if (answer.kind !== 'answer') return t.fail(answer.kind)
  answer.answer.close()
  t.true(isAborted)
})

interface Receiver {
  readonly receiver: HandoverReceiver
  readonly received: InboundRequest[]
  readonly clock: ManualClock
}

function createReceiver (options: { readonly memory?: Pick<ClientMemory, 'holdResponse'>, readonly isCutOff?: () => boolean, readonly version?: number, readonly isClosed?: () => boolean, readonly forward?: Forwarder['forward'] }): Receiver {
  const clock = createManualClock()
  const received: InboundRequest[] = []
  const receiver = createHandoverReceiver({
    clock,
    memory: options.memory ?? createClientMemory(clock, deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 })),
    codec: { describeRequest: () => requestAt(0).description },
    forwarder: {
      reachability: { isCutOff: options.isCutOff ?? (() => false) } as Forwarder['reachability'],
      forward: async (request) => {
        received.push(request)
        return await options.forward?.(request) ?? { kind: 'delivered', status: 200 }
      }
    },
    softwareVersion: () => 'v1',
    configurationVersion: () => options.version ?? 3,
    isClosed: options.isClosed ?? (() => false)
  })
  return { receiver, received, clock }
}

const MESSAGE: HandoverMessage = { from: 'p9', configurationVersion: 3, method: 'POST', host: 'h', path: '/x', rawHeaders: ['a', '1'], body: Buffer.from('body').toString('base64'), elapsedMilliseconds: 250, isCounted: false, excluded: ['t1@0'], mayHaveRun: ['t1@0'], lostBeginnings: 1, lastEventId: '4', softwareVersion: 'v1' }

test('a daemon declines requests that it could not serve better than their sender', async (t) => {
  t.deepEqual(await collect(createReceiver({ isCutOff: () => true }).receiver.answer(MESSAGE, NEVER)), [{ kind: 'declined', reason: 'no-target-access' }])
  t.deepEqual(await collect(createReceiver({ version: 2 }).receiver.answer(MESSAGE, NEVER)), [{ kind: 'declined', reason: 'older-configuration' }])
  t.deepEqual(await collect(createReceiver({ isClosed: () => true }).receiver.answer(MESSAGE, NEVER)), [{ kind: 'declined', reason: 'leaving' }])
})

// A sender of the previous release takes an outcome that it does not know for a lost peer, and answers an unsafe request with 502.
test('a sender of an earlier version gets a refusal in place of an outcome that it does not know', async (t) => {
  for (const outcome of [{ kind: 'rejected', status: 401, reason: 'key-unknown' }, { kind: 'limited', reason: 'key-unknown', retryAfterMilliseconds: 1_000 }] as const) {
    const { receiver } = createReceiver({ forward: async () => outcome })
    t.deepEqual(await collect(receiver.answer(MESSAGE, NEVER)), [{ kind: 'end', outcome: { kind: 'refused', reason: 'key-unknown', retryAfterMilliseconds: 1_000 }, mayHaveRun: ['t1@0'] }])
    t.deepEqual(await collect(receiver.answer({ ...MESSAGE, supportsCustomers: true }, NEVER)), [{ kind: 'end', outcome, mayHaveRun: ['t1@0'] }])
  }
})

test('a daemon that finds out only then that it is cut off declines, unless a target may have run the request', async (t) => {
  let isCutOff = false
  const refused: ForwardOutcome = { kind: 'refused', reason: 'targets-unreachable', retryAfterMilliseconds: 1_000 }
  const forward: Forwarder['forward'] = async () => {
    isCutOff = true
    return refused
  }
  t.deepEqual(await collect(createReceiver({ isCutOff: () => isCutOff, forward }).receiver.answer(MESSAGE, NEVER)), [{ kind: 'declined', reason: 'no-target-access' }])
  isCutOff = false
  const afterRun: Forwarder['forward'] = async (request) => {
    request.handover?.progress.mayHaveRun.add('t2@0')
    return await forward(request)
  }
  t.deepEqual(await collect(createReceiver({ isCutOff: () => isCutOff, forward: afterRun }).receiver.answer(MESSAGE, NEVER)), [{ kind: 'end', outcome: refused, mayHaveRun: ['t1@0', 't2@0'] }])
})

test('a request that a peer hands over keeps its arrival time and what has happened to it', async (t) => {
  const { receiver, received, clock } = createReceiver({})
  await clock.advance(1_000)
  await collect(receiver.answer(MESSAGE, NEVER))
  const [request] = received
  t.is(request?.receivedAt, 750)
  t.is(request?.body.toString(), 'body')
  t.deepEqual(request?.handover, { from: 'p9', isCounted: false, progress: { excluded: new Set(['t1@0']), mayHaveRun: new Set(['t1@0']), lostBeginnings: 1, lastEventId: '4', requiredVersion: { kind: 'exactly', softwareVersion: 'v1' } } })
})

test('a request that a peer refuses because it ends is declined, so that another peer serves it', async (t) => {
  let isClosed = false
  const forward: Forwarder['forward'] = async () => {
    isClosed = true
    return { kind: 'refused', reason: 'daemon-stopping', retryAfterMilliseconds: 0 }
  }
  t.deepEqual(await collect(createReceiver({ isClosed: () => isClosed, forward }).receiver.answer(MESSAGE, NEVER)), [{ kind: 'declined', reason: 'leaving' }])
})

test('a request that comes again has the same fingerprint where it is handed over, so that it is quarantined there', async (t) => {
  const { handOver, messages } = createSender(['p1'], async () => ok(partsOf([DECLINED])))
  await handOver()
  const { receiver, received } = createReceiver({})
  await collect(receiver.answer(messages[0] ?? MESSAGE, NEVER))
  t.is(fingerprintOf(received[0] ?? requestAt(1)), fingerprintOf(requestAt(0)))
})

test('a target waits while the peer reads its response slowly', async (t) => {
  let written = 0
  const { receiver } = createReceiver({
    forward: async ({ response }) => {
      response.begin(200, [], 'framed', 't2@0')
      for (; written < 100; written++) await response.write(Buffer.alloc(10_000))
      return { kind: 'delivered', status: 200 }
    }
  })
  const parts = receiver.answer(MESSAGE, NEVER)[Symbol.asyncIterator]()
  t.like((await parts.next()).value, { kind: 'head' })
  await new Promise((resolve) => setImmediate(resolve))
  t.true(written < 10)
  let count = 0
  for (let next = await parts.next(); next.done !== true; next = await parts.next()) if (next.value.kind === 'bytes') count++
  t.is(count, 100)
  t.is(receiver.activeRequests(), 0)
})

test('a request is abandoned when its peer stops reading', async (t) => {
  const { receiver } = createReceiver({
    forward: async ({ response, clientDisconnected }) => {
      response.begin(200, [], 'framed', 't2@0')
      await new Promise<void>((resolve) => clientDisconnected.addEventListener('abort', () => resolve()))
      return { kind: 'abandoned', reason: 'client-gone' }
    }
  })
  const parts = receiver.answer(MESSAGE, NEVER)[Symbol.asyncIterator]()
  await parts.next()
  t.is(receiver.activeRequests(), 1)
  await parts.return?.()
  t.is(receiver.activeRequests(), 0)
})

// What was held after the peer had left was never released, until no response was held any more.
test('a response that goes on after its peer has left takes up no memory', async (t) => {
  const memory = createClientMemory(createManualClock(), deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 }))
  const { receiver } = createReceiver({
    memory,
    forward: async ({ response, clientDisconnected }) => {
      response.begin(200, [], 'framed', 't2@0')
      t.true(response.hold(1_000))
      await new Promise<void>((resolve) => clientDisconnected.addEventListener('abort', () => resolve()))
      t.true(response.hold(2_000))
      return { kind: 'abandoned', reason: 'client-gone' }
    }
  })
  const parts = receiver.answer(MESSAGE, NEVER)[Symbol.asyncIterator]()
  await parts.next()
  t.is(memory.usage().responseBytes, 1_000)
  await parts.return?.()
  t.is(memory.usage().responseBytes, 0)
})
