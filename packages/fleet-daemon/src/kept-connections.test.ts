import { connect, type Socket } from 'node:net'
import { createClientMemory, deriveClientCapacity } from '@fuchsiastage/client-memory'
import { createSystemClock } from '@fuchsiastage/clock'
import type { ClientLimits } from '@fuchsiastage/fleet'
import type { Forwarder, HeaderCodec, InboundRequest } from '@fuchsiastage/forwarding'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test, { type ExecutionContext } from 'ava'
import { startFrontServer, type FrontServer } from './front-server.js'

const clock = createSystemClock()
const codec = { describeRequest: () => ({ id: 'r1', deadlineMilliseconds: undefined, demand: undefined, lastEventId: undefined, resumes: undefined, credentials: undefined }) } as unknown as HeaderCodec
const capacity = deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 })
const LIMITS: ClientLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerMilliseconds: 100, idleMilliseconds: 15_000 }

const LARGE = 8 * 1_048_576

interface Started {
  readonly front: FrontServer
  readonly requests: readonly InboundRequest[]
  readonly port: number
  /** Sends the given texts on one connection, closes it for undefined, and returns what has arrived when it is closed or the given text has arrived. */
  readonly exchange: (texts: ReadonlyArray<string | undefined>, until?: string) => Promise<string>
}

let nextPort = 31_000 + process.pid % 1_000

const requestTo = (path: string, headers = ''): string => `GET ${path} HTTP/1.1\r\nHost: h\r\n${headers}\r\n`

/** Starts a front server whose requests get their path as the body of the response, in two parts, each after a time in the path. */
async function start (t: ExecutionContext, { limits = LIMITS, isLeaving = false }: { readonly limits?: ClientLimits, readonly isLeaving?: boolean } = {}): Promise<Started> {
  const port = nextPort++
  const requests: InboundRequest[] = []
  const front = await startFrontServer({
    host: '127.0.0.1',
    port,
    clock,
    logger: createMemoryLogger(clock).logger,
    codec,
    forwarder: {
      forward: async (request: InboundRequest) => {
        requests.push(request)
        const { response, path } = request
        const [, before, between] = path.split('/')
        const body = path.endsWith('large') ? path.padEnd(LARGE) : path
        await clock.sleep(Number(before), request.clientDisconnected)
        if (path.endsWith('close')) response.begin(200, [], 'until-close', 't1@0')
        else response.begin(200, ['Content-Length', String(body.length)], 'framed', 't1@0')
        await response.write(Buffer.from(body.slice(0, 1)))
        await clock.sleep(Number(between), request.clientDisconnected)
        if (path.endsWith('broken')) return { kind: 'broken', reason: 'stream-broken' }
        await response.write(Buffer.from(body.slice(1)))
        response.end()
        return { kind: 'delivered', status: 200 }
      }
    } as unknown as Forwarder,
    limits: () => limits,
    isConfigurationConfirmed: () => true,
    isLeaving: () => isLeaving,
    memory: createClientMemory(clock, capacity),
    capacity,
    onRejected: () => undefined
  })
  t.teardown(front.stopAccepting)
  const exchange: Started['exchange'] = async (texts, until) => await new Promise((resolve) => {
    let received = ''
    const socket = connect(port, '127.0.0.1', async () => {
      for (const text of texts) {
        if (text === undefined) socket.destroy()
        else socket.write(text)
        await clock.sleep(30)
      }
    })
    socket.on('data', (bytes) => {
      received += bytes.toString()
      if (until !== undefined && received.includes(until)) socket.destroy()
    })
    socket.on('error', () => undefined).on('close', () => resolve(received))
  })
  return { front, requests, port, exchange }
}

/** Statuses and bodies of the responses. */
const bodiesOf = (text: string): readonly string[] => [...text.matchAll(/(HTTP\/1.1 \d+|\/\d+\/\d+\/)/g)].map(([match]) => match)

test('requests that are sent ahead end when their client closes the connection', async (t) => {
  const { exchange, front, requests } = await start(t)
  await exchange([requestTo('/3000/0/') + requestTo('/3000/1/'), undefined])
  await eventually(() => front.activeRequests() === 0)
  t.true(requests.every(({ clientDisconnected }) => clientDisconnected.aborted))
  t.is(front.activeRequests(), 0)
})

test('a request behind one whose response closes or breaks off the connection is not forwarded', async (t) => {
  for (const end of ['close', 'broken']) {
    const { exchange, requests } = await start(t)
    t.deepEqual(bodiesOf(await exchange([requestTo(`/200/20/${end}`) + requestTo('/0/0/')])).slice(0, 1), ['HTTP/1.1 200'])
    t.is(requests.length, 1)
  }
})

test('a leaving daemon answers all requests that it has read on a connection', async (t) => {
  const { exchange } = await start(t, { isLeaving: true })
  const text = await exchange([requestTo('/200/0/') + requestTo('/200/1/')])
  t.deepEqual(bodiesOf(text), ['HTTP/1.1 200', '/200/0/', 'HTTP/1.1 200', '/200/1/'], text)
})

test('a request in progress is answered although its client sends too many ahead', async (t) => {
  const { port, requests } = await start(t)
  const { socket, received } = await open(port, requestTo('/2000/0/'))
  await eventually(() => requests.length === 1)
  socket.write(requestTo('/0/0/').repeat(1_000))
  await eventually(() => socket.destroyed)
  t.deepEqual(bodiesOf(received()), ['HTTP/1.1 200', '/2000/0/'], received())
  t.is(requests.length, 1)
})

const TUNNEL = 'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n'

test('a large response is sent whole, and its connection is closed after it, although its client asks for a tunnel', async (t) => {
  const { exchange } = await start(t)
  t.true((await exchange([requestTo('/500/0/large'), TUNNEL])).length > LARGE)
  t.regex(await exchange([TUNNEL]), /^HTTP\/1.1 400 /)
})

// Node's server wrote 400 or 408 in place of the response to the request in progress.
for (const [name, bytes] of [['bytes that are no request', 'garbage\r\n\r\n'], ['the beginning of a head', 'GET /0/0/ HTTP/1.1\r\nHos'], ['an empty line', '\r\n'], ['a request for a tunnel', TUNNEL]] as const) {
  test(`a request in progress, and a response under way, are not cut off by ${name} behind it`, async (t) => {
    const { exchange } = await start(t)
    const [waiting, underWay] = await Promise.all([exchange([requestTo('/4000/0/'), bytes], '/4000/0/'), exchange([requestTo('/0/4000/'), bytes], '/0/4000/')])
    t.deepEqual(bodiesOf(waiting), ['HTTP/1.1 200', '/4000/0/'], waiting)
    t.deepEqual(bodiesOf(underWay), ['HTTP/1.1 200', '/0/4000/'], underWay)
  })
}

// The limit for heads passed while the request before it was in progress.
test('a request whose head arrives slowly behind another one is answered', async (t) => {
  const { exchange } = await start(t)
  const text = await exchange([requestTo('/6000/0/') + 'GET /0/0/ HT', ...Array.from({ length: 100 }, () => ''), 'TP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'])
  t.deepEqual(bodiesOf(text), ['HTTP/1.1 200', '/6000/0/', 'HTTP/1.1 200', '/0/0/'], text)
})

test('the requests of a client that closes its connection end after bytes that are no request, too', async (t) => {
  const { exchange, front, requests } = await start(t)
  await exchange([requestTo('/3000/0/'), 'garbage\r\n\r\n', undefined])
  await eventually(() => requests[0]?.clientDisconnected.aborted === true && front.activeRequests() === 0)
  t.deepEqual(requests.map(({ clientDisconnected }) => clientDisconnected.aborted), [true])
  t.is(front.activeRequests(), 0)
})

/** Waits for a condition; the assertions that follow state what is missing. */
async function eventually (isTrue: () => boolean): Promise<void> {
  const endsAt = clock.now() + 7_000
  while (!isTrue() && clock.now() < endsAt) await clock.sleep(10)
}

/** Opens a connection, sends the given text, and waits until the front server has read it. */
async function open (port: number, text: string): Promise<{ readonly socket: Socket, readonly received: () => string }> {
  let received = ''
  const socket = connect(port, '127.0.0.1')
  socket.on('data', (bytes) => { received += bytes.toString() }).on('error', () => undefined)
  socket.write(text)
  await clock.sleep(200)
  return { socket, received: () => received }
}

// The time-outs of a process that was busy ran before it read what had arrived in time.
test.serial('requests that arrive while the process is busy are answered although limits for heads, bodies and idle connections pass meanwhile', async (t) => {
  const { port } = await start(t, { limits: { ...LIMITS, headerMilliseconds: 0, idleMilliseconds: 1_000 } })
  const begun = await Promise.all([
    open(port, requestTo('/0/0/')),
    open(port, requestTo('/0/1/').slice(0, -6)),
    open(port, requestTo('/0/2/', 'Content-Length: 2\r\n') + 'a')
  ])
  const texts = [requestTo('/0/3/'), requestTo('/0/1/').slice(-6), 'b']
  for (const [index, { socket }] of begun.entries()) socket.write(texts[index] ?? '')
  const busyUntil = clock.now() + 4_000
  while (clock.now() < busyUntil);
  const lastBodies = ['/0/3/', '/0/1/', '/0/2/']
  await eventually(() => begun.every(({ received }, index) => received().includes(lastBodies[index] ?? '')))
  t.deepEqual(begun.map(({ received }) => bodiesOf(received())), [['HTTP/1.1 200', '/0/0/', 'HTTP/1.1 200', '/0/3/'], ['HTTP/1.1 200', '/0/1/'], ['HTTP/1.1 200', '/0/2/']])
  for (const { socket } of begun) socket.destroy()
})

const SHORT_LIMITS: ClientLimits = { ...LIMITS, headerMilliseconds: 0, idleMilliseconds: 0 }

test('a new configuration with short limits cuts off no request in progress and no response that is being sent', async (t) => {
  const { front, port } = await start(t, { limits: { ...LIMITS, headerMilliseconds: 15_000 } })
  const texts = [requestTo('/5000/0/'), requestTo('/0/5000/'), requestTo('/5000/1/') + 'GET /0/0/ HT']
  const begun = await Promise.all(texts.map(async (text) => await open(port, text)))
  front.applyLimits(SHORT_LIMITS)
  const bodies = ['/5000/0/', '/0/5000/', '/5000/1/']
  await eventually(() => begun.every(({ received }, index) => received().includes(bodies[index] ?? '')))
  t.deepEqual(begun.map(({ received }) => bodiesOf(received())[0]), ['HTTP/1.1 200', 'HTTP/1.1 200', 'HTTP/1.1 200'])
  t.deepEqual(begun.map(({ received }) => bodiesOf(received())[1]), bodies)
  for (const { socket } of begun) socket.destroy()
})

// The connection was closed after the new time, before that which the response had stated.
test('a connection is kept for as long as its last response states although a new configuration has a shorter idle time', async (t) => {
  const { front, port } = await start(t, { limits: { ...LIMITS, idleMilliseconds: 8_000 } })
  const { socket, received } = await open(port, requestTo('/0/600/'))
  front.applyLimits(SHORT_LIMITS)
  await clock.sleep(600 + 4_000)
  t.regex(received(), /Keep-Alive: timeout=9\r\n/)
  socket.write(requestTo('/0/0/'))
  await eventually(() => received().includes('/0/0/'))
  t.deepEqual(bodiesOf(received()), ['HTTP/1.1 200', '/0/600/', 'HTTP/1.1 200', '/0/0/'])
  socket.destroy()
})

// Clients close their connections the same way, and their targets must not go on.
test('a request ends when its client closes its side of the connection', async (t) => {
  const { front, port, requests } = await start(t)
  const { socket } = await open(port, requestTo('/3000/0/'))
  socket.end()
  await eventually(() => requests[0]?.clientDisconnected.aborted === true && front.activeRequests() === 0)
  t.deepEqual(requests.map(({ clientDisconnected }) => clientDisconnected.aborted), [true])
  t.is(front.activeRequests(), 0)
})
