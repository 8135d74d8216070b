import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { createClientMemory, deriveClientCapacity } from '@fuchsiastage/client-memory'
import { createSystemClock } from '@fuchsiastage/clock'
import type { ClientResponse, Forwarder, ForwardOutcome, HeaderCodec, InboundRequest, ResponseFraming } from '@fuchsiastage/forwarding'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { startFrontServer, type FrontServer } from './front-server.js'

/** A request with an `Id` header has the identifier r1, one without it has none. */
const codec: HeaderCodec = {
  describeRequest: (rawHeaders) => ({ id: rawHeaders[rawHeaders.indexOf('Id') + 1] === 'Host' ? '' : rawHeaders.includes('Id') ? 'r1' : '', deadlineMilliseconds: undefined, demand: undefined, lastEventId: undefined, resumes: undefined, credentials: undefined }),
  forwardedHeaders: () => [],
  describeAnswer: () => { throw new Error('not used') },
  answerHeaders: (rawHeaders) => rawHeaders
}

const capacity = deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 })

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}

/** Starts a front server on a free port. */
async function startFront (forward: ExchangeOptions['forward'], isLeaving = false): Promise<{ readonly front: FrontServer, readonly port: number }> {
  const clock = createSystemClock()
  const port = await freePort()
  const front = await startFrontServer({
    host: '127.0.0.1',
    port,
    clock,
    logger: createMemoryLogger(clock).logger,
    codec,
    forwarder: { forward: forward ?? (async () => ({ kind: 'rejected', status: 404, reason: 'route-unknown' })) } as unknown as Forwarder,
    limits: () => ({ headerBytes: 1_000, bodyBytes: 10, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }),
    isConfigurationConfirmed: () => true,
    isLeaving: () => isLeaving,
    memory: createClientMemory(clock, capacity),
    capacity,
    onRejected: () => undefined
  })
  return { front, port }
}

const HTTP_1_0_REQUEST = 'GET /a/ HTTP/1.0\r\nHost: h\r\nId: r1\r\n\r\n'

interface ExchangeOptions {
  readonly forward?: (request: InboundRequest) => Promise<ForwardOutcome>
  readonly request?: string
  readonly isLeaving?: boolean
  /** Called with what each read of the client's connection returns. */
  readonly onData?: (text: string) => void
}

/** Sends raw bytes to a front server and returns the raw response after the connection was closed, with the error code if it was not closed orderly. */
async function exchange ({ forward, request = 'GET /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nConnection: close\r\n\r\n', isLeaving = false, onData }: ExchangeOptions): Promise<string> {
  const { front, port } = await startFront(forward, isLeaving)
  const text = await new Promise<string>((resolve) => {
    const chunks: Buffer[] = []
    const socket = connect(port, '127.0.0.1', () => socket.write(request))
    socket.on('data', (chunk) => {
      chunks.push(chunk)
      onData?.(chunk.toString())
    })
    socket.on('error', ({ code = 'error' }: NodeJS.ErrnoException) => chunks.push(Buffer.from(code)))
    socket.on('close', () => resolve(Buffer.concat(chunks).toString()))
  })
  await front.stopAccepting()
  return text
}

async function answerWith (request: InboundRequest, framing: ResponseFraming, headers: readonly string[]): Promise<ForwardOutcome> {
  request.response.begin(200, headers, framing, 't1@0')
  await request.response.write(Buffer.from('body'))
  request.response.end()
  return { kind: 'delivered', status: 200 }
}

test('a response with a length is forwarded with its length', async (t) => {
  t.snapshot(await exchange({ forward: async (request) => await answerWith(request, 'framed', ['X-Own', '1', 'Content-Length', '4']) }))
})

test('a response without a length is sent in chunks', async (t) => {
  t.snapshot(await exchange({ forward: async (request) => await answerWith(request, 'framed', ['X-Own', '1']) }))
})

test('a response that ends with its connection leaves the process whole, to clients with and without chunks', async (t) => {
  for (const request of ['GET /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n', HTTP_1_0_REQUEST]) {
    const chunks: string[] = []
    const text = await exchange({ request, onData: (chunk) => { chunks.push(chunk) }, forward: async (inbound) => await answerWith(inbound, 'until-close', ['X-Own', '1']) })
    t.snapshot(text)
    t.deepEqual(chunks, [text])
  }
})

test('a response without a length reaches a client without chunks with the length of what it holds, and nothing of it before its end', async (t) => {
  let isHeld = false
  t.snapshot(await exchange({
    request: HTTP_1_0_REQUEST,
    forward: async ({ response }) => {
      response.begin(200, ['X-Own', '1'], 'framed', 't1@0')
      await response.write(Buffer.from('id: 1\ndata: a\n\n'))
      isHeld = response.hasBegun()
      await createSystemClock().sleep(50)
      await response.write(Buffer.from('id: 2\ndata: b\n\n'))
      response.end()
      return { kind: 'delivered', status: 200 }
    }
  }))
  t.true(isHeld)
})

// The connections of such clients were closed without any response.
test('a client without chunks gets a failure in place of a response that is broken off, and nothing of one for which there is no memory', async (t) => {
  const part = Buffer.from('id: 1\ndata: a\n\n')
  const failure = /^HTTP\/1\.1 502 [^]*\r\nContent-Length: 31\r\n[^]*\r\n\r\n\{"error":"response-incomplete"\}$/
  t.regex(await exchange({
    request: HTTP_1_0_REQUEST,
    forward: async ({ response }) => {
      response.begin(200, [], 'framed', 't1@0')
      await response.write(part)
      response.destroy()
      return { kind: 'broken', reason: 'stream-broken' }
    }
  }), failure)
  t.is(await exchange({
    request: HTTP_1_0_REQUEST,
    forward: async ({ response, clientDisconnected }) => {
      response.begin(200, [], 'framed', 't1@0')
      while (!clientDisconnected.aborted) {
        await response.write(Buffer.alloc(100_000))
        await new Promise((resolve) => setImmediate(resolve))
      }
      response.end()
      return { kind: 'abandoned', reason: 'client-gone' }
    }
  }), '')
})

test('the length of a response without a body is that of its target, for clients with and without chunks', async (t) => {
  for (const request of ['HEAD /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nConnection: close\r\n\r\n', 'HEAD /a/ HTTP/1.0\r\nHost: h\r\nId: r1\r\n\r\n']) {
    for (const headers of [['Content-Length', '7'], []]) {
      t.snapshot(await exchange({
        request,
        forward: async ({ response }) => {
          response.begin(200, headers, 'framed', 't1@0')
          response.end()
          return { kind: 'delivered', status: 200 }
        }
      }))
    }
  }
})

test('a refusal states in Retry-After when to retry', async (t) => {
  t.snapshot(await exchange({ forward: async () => ({ kind: 'refused', reason: 'cold-start-too-long', retryAfterMilliseconds: 6_030 }) }))
})

test('a client without a valid key gets 401, and one without allowance gets 429 with Retry-After', async (t) => {
  t.snapshot(await exchange({ forward: async () => ({ kind: 'rejected', status: 401, reason: 'key-unknown' }) }))
  t.snapshot(await exchange({ forward: async () => ({ kind: 'limited', reason: 'allowance', retryAfterMilliseconds: 250 }) }))
})

test('a body above the limit and a request without an identifier are rejected', async (t) => {
  t.snapshot(await exchange({ request: 'POST /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 11\r\n\r\n12345678901' }))
  t.snapshot(await exchange({ request: 'GET /a/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n' }))
})

test('a leaving daemon responds with Connection: close, so that clients open their next connection elsewhere', async (t) => {
  t.true((await exchange({ isLeaving: true, request: 'GET /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n' })).includes('Connection: close'))
})

/** Ends of a response that the client must not take for complete. */
const BREAKS: ReadonlyArray<(response: ClientResponse) => ForwardOutcome> = [
  (response) => {
    response.destroy()
    return { kind: 'broken', reason: 'stream-broken' }
  },
  // An unexpected error.
  () => ({ kind: 'unknown', status: 502, reason: 'internal' })
]

test('a broken response ends before its length or its last chunk, so that the client detects it as incomplete', async (t) => {
  for (const headers of [[], ['Content-Length', '7']]) {
    for (const breakOff of BREAKS) {
      const text = await exchange({
        forward: async ({ response }) => {
          response.begin(200, headers, 'framed', 't1@0')
          await response.write(Buffer.from('part'))
          // The head and the bytes leave the process together at the end of this turn of the event loop.
          await createSystemClock().sleep(20)
          return breakOff(response)
        }
      })
      const [head = '', body = ''] = text.split('\r\n\r\n')
      t.true(head.includes(headers.length === 0 ? 'Transfer-Encoding: chunked' : 'Content-Length: 7'), text)
      t.false(text.includes('\r\n0\r\n'), text)
      t.true(body.length < 7 || headers.length === 0, text)
    }
  }
})

const LARGE_BODY = 'x'.repeat(8 * 1024 * 1024)

/** Sends a request and reads its response only after some time, so that most of it waits to be sent. */
async function readLate (headers: readonly string[], onEnded: (front: FrontServer) => Promise<void>): Promise<number> {
  const clock = createSystemClock()
  const port = await freePort()
  const front = await startFrontServer({
    host: '127.0.0.1',
    port,
    clock,
    logger: createMemoryLogger(clock).logger,
    codec,
    forwarder: {
      forward: async (request: InboundRequest) => {
        request.response.begin(200, headers, 'framed', 't1@0')
        void request.response.write(Buffer.from(LARGE_BODY))
        request.response.end()
        setImmediate(() => { void onEnded(front) })
        return { kind: 'delivered', status: 200 }
      }
    } as unknown as Forwarder,
    limits: () => undefined,
    isConfigurationConfirmed: () => true,
    isLeaving: () => true,
    memory: createClientMemory(clock, capacity),
    capacity,
    onRejected: () => undefined
  })
  return await new Promise((resolve) => {
    let length = 0
    const socket = connect(port, '127.0.0.1', () => socket.write('GET /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n'))
    socket.pause()
    setTimeout(() => socket.resume(), 300)
    socket.on('data', (chunk) => { length += chunk.length })
    socket.on('error', () => undefined)
    socket.on('close', () => resolve(length))
  })
}

// Responses whose end a slow client had not read yet were cut when the daemon stopped accepting connections.
test('a daemon that stops accepting connections closes none on which a response is still being sent', async (t) => {
  for (const headers of [[], ['Content-Length', String(LARGE_BODY.length)]]) t.true(await readLate(headers, async (front) => await front.stopAccepting()) > LARGE_BODY.length, headers.join(' '))
})

test('a daemon that stops accepting connections ends those that wait for a request, passes none on that arrives later, and refuses new ones', async (t) => {
  const clock = createSystemClock()
  const port = await freePort()
  let requests = 0
  const forward = async (): Promise<ForwardOutcome> => {
    requests++
    return { kind: 'rejected', status: 404, reason: 'route-unknown' }
  }
  const front = await startFrontServer({ host: '127.0.0.1', port, clock, logger: createMemoryLogger(clock).logger, codec, forwarder: { forward } as unknown as Forwarder, limits: () => undefined, isConfigurationConfirmed: () => true, isLeaving: () => false, memory: createClientMemory(clock, capacity), capacity, onRejected: () => undefined })
  const idle = connect(port, '127.0.0.1')
  const kept = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  const begun = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  await Promise.all([idle, kept, begun].map(async (socket) => await new Promise((resolve) => socket.once('connect', resolve))))
  kept.write('GET /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n')
  await new Promise((resolve) => kept.once('data', resolve))
  begun.write('GET /a/ HTTP/1.1\r\nHost: h\r\n')
  await clock.sleep(20)
  const closed = [idle, kept].map(async (socket) => await new Promise((resolve) => { socket.resume().once('end', () => resolve('ended')).once('error', (error) => resolve(error.message)) }))
  await front.stopAccepting()
  t.deepEqual(await Promise.all(closed), ['ended', 'ended'])
  for (const socket of [kept, begun]) socket.on('error', () => undefined)
  kept.write('GET /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n')
  begun.write('Id: r1\r\n\r\n')
  await clock.sleep(50)
  t.is(requests, 1)
  const refused = connect(port, '127.0.0.1')
  t.is(await new Promise((resolve) => refused.once('error', ({ code }: NodeJS.ErrnoException) => resolve(code)).once('connect', () => resolve('connected'))), 'ECONNREFUSED')
})

// A busy daemon reset connections, accepted or not, on which requests had arrived long before.
test('a daemon that stops accepting connections reads the requests first that arrived while it was busy', async (t) => {
  const { front, port } = await startFront(undefined, true)
  const text = { kept: '', opened: '' }
  const open = async (name: keyof typeof text): Promise<Socket> => await new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => resolve(socket))
    socket.on('data', (bytes) => { text[name] += bytes.toString() }).on('error', ({ code = '' }: NodeJS.ErrnoException) => { text[name] += code })
  })
  const request = 'GET /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n'
  const kept = await open('kept')
  await createSystemClock().sleep(20)
  const opened = await open('opened')
  const closed = [kept, opened].map(async (socket) => await new Promise((resolve) => socket.once('close', resolve)))
  // Both requests have arrived before the event loop reads them.
  kept.write(request)
  opened.write(request)
  await front.stopAccepting()
  await Promise.all(closed)
  t.regex(text.kept, /^HTTP\/1.1 404 /)
  t.regex(text.opened, /^HTTP\/1.1 404 /)
})

// Requests that arrived on open connections just before a daemon ended were read and not answered.
test('a daemon that ends sends the responses of its active requests, and reads no further ones', async (t) => {
  const clock = createSystemClock()
  let requests = 0
  let answer: (outcome: ForwardOutcome) => void = () => undefined
  const { front, port } = await startFront(async () => {
    requests++
    return requests === 1 ? await new Promise((resolve) => { answer = resolve }) : { kind: 'rejected', status: 404, reason: 'route-unknown' }
  })
  const text = { active: '', idle: '' }
  const open = async (name: keyof typeof text): Promise<Socket> => await new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => resolve(socket))
    socket.on('data', (bytes) => { text[name] += bytes.toString() }).on('error', () => undefined)
  })
  const [active, idle] = [await open('active'), await open('idle')]
  const closed = Promise.all([active, idle].map(async (socket) => await new Promise((resolve) => socket.once('close', resolve))))
  const request = 'GET /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n'
  active.write(request)
  while (requests === 0) await clock.sleep(5)
  idle.write(request)
  while (text.idle === '') await clock.sleep(5)
  front.closeConnections()
  idle.write(request)
  await clock.sleep(50)
  t.is(front.activeRequests(), 1)
  answer({ kind: 'unknown', status: 502, reason: 'daemon-stopping' })
  await closed
  t.regex(text.active, /^HTTP\/1.1 502 /)
  t.is(text.idle.match(/HTTP\/1.1 /g)?.length, 1)
  t.is(requests, 2)
  t.is(front.connections(), 0)
  await front.stopAccepting()
})

// A process that had been busy read requests whose clients had left meanwhile, and sent them on to targets.
test('a request is not forwarded if the close of its connection has arrived together with it', async (t) => {
  let forwarded = 0
  const { front, port } = await startFront(async () => {
    forwarded++
    return { kind: 'rejected', status: 404, reason: 'route-unknown' }
  })
  const sockets = await Promise.all(Array.from({ length: 20 }, async () => await new Promise<Socket>((resolve) => {
    const socket = connect(port, '127.0.0.1', () => resolve(socket))
  })))
  // Both have left this process before its event loop reads any of them.
  for (const socket of sockets) {
    socket.write('GET /a/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n')
    socket.destroy()
  }
  await createSystemClock().sleep(200)
  await front.stopAccepting()
  t.is(forwarded, 0)
})

// The head of a second response changed how the connection of the first one was closed, to an end in order.
test('a response without a length is incomplete although a second one was to begin', async (t) => {
  const text = await exchange({
    forward: async ({ response }) => {
      response.begin(200, [], 'framed', 't1@0')
      await response.write(Buffer.from('part'))
      t.throws(() => response.begin(400, ['Content-Length', '5'], 'framed', 't2@0'))
      await createSystemClock().sleep(20)
      return { kind: 'broken', reason: 'target-answered-400' }
    }
  })
  t.true(text.includes('Transfer-Encoding: chunked'), text)
  t.false(text.includes('\r\n0\r\n'), text)
})
