import { connect } from 'node:net'
import { createClientMemory, deriveClientCapacity, type ClientCapacity } from '@fuchsiastage/client-memory'
import { createSystemClock } from '@fuchsiastage/clock'
import type { ClientLimits } from '@fuchsiastage/fleet'
import type { Forwarder, HeaderCodec, InboundRequest } from '@fuchsiastage/forwarding'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test, { type ExecutionContext } from 'ava'
import { startFrontServer } from './front-server.js'

const codec = { describeRequest: () => ({ id: 'r1', deadlineMilliseconds: undefined, demand: undefined, lastEventId: undefined, resumes: undefined, credentials: undefined }) } as unknown as HeaderCodec
const MACHINE = deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 })
const LIMITS: ClientLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }
const HEAD = 'POST /a/ HTTP/1.1\r\nHost: h\r\n'

interface Started {
  readonly port: number
  readonly requests: readonly InboundRequest[]
  readonly rejections: readonly string[]
}

let nextPort = 20_000 + process.pid % 10_000

/** Starts a front server whose requests get a response with the length of their body. */
async function start (t: ExecutionContext, { capacity = MACHINE, limits = LIMITS, milliseconds = 0, isConfigurationConfirmed = true }: { readonly capacity?: ClientCapacity, readonly limits?: ClientLimits, readonly milliseconds?: number, readonly isConfigurationConfirmed?: boolean } = {}): Promise<Started> {
  const clock = createSystemClock()
  const requests: InboundRequest[] = []
  const rejections: string[] = []
  const port = nextPort++
  const front = await startFrontServer({
    host: '127.0.0.1',
    port,
    clock,
    logger: createMemoryLogger(clock).logger,
    codec,
    forwarder: {
      forward: async (request: InboundRequest) => {
        requests.push(request)
        await clock.sleep(milliseconds)
        const body = String(request.body.length)
        request.response.begin(200, ['Content-Length', String(body.length)], 'framed', 't1@0')
        await request.response.write(Buffer.from(body))
        request.response.end()
        return { kind: 'delivered', status: 200 }
      }
    } as unknown as Forwarder,
    limits: () => limits,
    isConfigurationConfirmed: () => isConfigurationConfirmed,
    isLeaving: () => false,
    memory: createClientMemory(clock, capacity),
    capacity,
    onRejected: (reason) => { rejections.push(reason) }
  })
  t.teardown(front.stopAccepting)
  return { port, requests, rejections }
}

/** Sends bytes without ending the connection, and returns what has arrived when it is closed or contains the given text. */
async function exchange (port: number, sent: ReadonlyArray<string | Buffer>, until?: string): Promise<string> {
  return await new Promise((resolve) => {
    let text = ''
    const socket = connect(port, '127.0.0.1')
    for (const bytes of sent) socket.write(bytes)
    socket.on('data', (bytes) => {
      text += bytes.toString()
      if (until !== undefined && text.includes(until)) socket.destroy()
    })
    socket.on('error', ({ message }) => { text += message })
    socket.on('close', () => resolve(text))
  })
}

// A body over the limit was read up to it, and the connection was closed before the response had arrived.
test('a body that is announced as too large is refused by its head, and the response arrives although the client goes on to send', async (t) => {
  const { port, requests } = await start(t)
  t.snapshot(await exchange(port, [`${HEAD}Content-Length: 64000000\r\n\r\n`]))
  const text = await exchange(port, [`${HEAD}Content-Length: 64000000\r\n\r\n`, ...Array.from({ length: 20 }, () => Buffer.alloc(32_768, 'x'))])
  t.true(text.startsWith('HTTP/1.1 413'), text)
  t.true(text.endsWith('{"error":"body-too-large"}'), text)
  t.is(requests.length, 0)
})

test('a body that grows too large is refused', async (t) => {
  const { port, requests, rejections } = await start(t, { limits: { ...LIMITS, bodyBytes: 100_000 } })
  const text = await exchange(port, [`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, `${(150_000).toString(16)}\r\n`, Buffer.alloc(150_000, 'x'), '\r\n'])
  t.true(text.startsWith('HTTP/1.1 413'), text)
  t.true(text.endsWith('{"error":"body-too-large"}'), text)
  t.deepEqual(rejections, ['body-too-large'])
  t.is(requests.length, 0)
})

// A version with a higher limit may have been acknowledged that this daemon has not received.
test('a body over the limit of a configuration that may be outdated is refused for a while', async (t) => {
  const { port, requests, rejections } = await start(t, { limits: { ...LIMITS, bodyBytes: 100_000 }, isConfigurationConfirmed: false })
  for (const head of ['Content-Length: 150000\r\n', 'Expect: 100-continue\r\nContent-Length: 150000\r\n']) {
    t.regex(await exchange(port, [`${HEAD}${head}\r\n`]), /^HTTP\/1.1 503 .*\r\n(?:.*\r\n)*Retry-After: 0.500\r\n(?:.*\r\n)*\r\n{"error":"configuration-unconfirmed"}$/)
  }
  const text = await exchange(port, [`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, `${(150_000).toString(16)}\r\n`, Buffer.alloc(150_000, 'x'), '\r\n'])
  t.true(text.startsWith('HTTP/1.1 503'), text)
  t.deepEqual(rejections, ['configuration-unconfirmed', 'configuration-unconfirmed', 'configuration-unconfirmed'])
  t.is(requests.length, 0)
  t.true((await exchange(port, [`${HEAD}Content-Length: 2\r\n\r\n`, 'ab'], '\r\n\r\n2')).startsWith('HTTP/1.1 200'))
})

test('a client that waits for the permission to send gets it, or the refusal instead', async (t) => {
  const { port } = await start(t)
  t.true((await exchange(port, [`${HEAD}Expect: 100-continue\r\nContent-Length: 64000000\r\n\r\n`])).startsWith('HTTP/1.1 413'))
  t.true((await exchange(port, [`${HEAD}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n`, 'ab'], '\r\n\r\n2')).startsWith('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200'))
})

test('a body of the largest size is served on the smallest machine, with a length and in chunks of any size', async (t) => {
  const { port } = await start(t)
  const body = Buffer.alloc(4_194_304, 'x')
  t.true((await exchange(port, [`${HEAD}Content-Length: ${body.length}\r\n\r\n`, body], '\r\n\r\n4194304')).startsWith('HTTP/1.1 200'))
  const chunk = Buffer.concat([Buffer.from('1000\r\n'), Buffer.alloc(4_096, 'x'), Buffer.from('\r\n')])
  t.true((await exchange(port, [`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, ...Array.from({ length: 1_024 }, () => chunk), '0\r\n\r\n'], '\r\n\r\n4194304')).startsWith('HTTP/1.1 200'))
})

test('a body for which there is no memory is refused with the time after which to send it again', async (t) => {
  const { port, requests } = await start(t, { capacity: { ...MACHINE, largeBodyBytes: 100_000 } })
  const text = await exchange(port, [`${HEAD}Content-Length: 200000\r\n\r\n`, Buffer.alloc(200_000, 'x')])
  t.snapshot(text)
  t.is(requests.length, 0)
})

test('a body that makes no progress for the idle time is refused', async (t) => {
  const { port, requests } = await start(t, { limits: { ...LIMITS, idleMilliseconds: 100 } })
  t.snapshot(await exchange(port, [`${HEAD}Content-Length: 10\r\n\r\n`, 'x']))
  t.is(requests.length, 0)
})

test('requests that are sent ahead are served, and the connection of a client that sends very many is closed', async (t) => {
  const { port, requests, rejections } = await start(t, { milliseconds: 50 })
  const text = await exchange(port, [`${HEAD}\r\n`.repeat(7), `${HEAD}Content-Length: 2\r\n\r\nab`], '\r\n\r\n2')
  t.is(text.match(/HTTP\/1.1 200 OK\r\n(?:.*\r\n)*?\r\n[02]/g)?.length, 8, text)
  t.is(requests.length, 8)
  await exchange(port, [`${HEAD}\r\n`.repeat(1_000)])
  t.deepEqual(rejections, ['pipelined'])
  // Its connection is closed in the turn in which the requests are read, so none of them is forwarded.
  t.is(requests.length, 8)
})

// The connection was closed a second after the refusal, with the response of the earlier request.
test('the refusal of a body does not cut off the response of an earlier request on the connection', async (t) => {
  const { port, requests } = await start(t, { milliseconds: 1_300 })
  const text = await exchange(port, [`${HEAD}\r\n`, `${HEAD}Content-Length: 64000000\r\n\r\nx`])
  t.regex(text, /^HTTP\/1.1 200 OK\r\nContent-Length: 1\r\n(?:.*\r\n)*\r\n0HTTP\/1.1 413/)
  t.true(text.endsWith('{"error":"body-too-large"}'), text)
  t.is(requests.length, 1)
})

test('connections over the limit are closed, and an unused one makes place for a new one', async (t) => {
  const { port } = await start(t, { capacity: { ...MACHINE, maximumConnections: 2 } })
  const open = [connect(port, '127.0.0.1'), connect(port, '127.0.0.1')]
  await Promise.all(open.map(async (socket) => await new Promise((resolve) => socket.once('connect', resolve))))
  t.is(await exchange(port, [`${HEAD}Content-Length: 1\r\n\r\nx`]).then((text) => text.includes('200')), false)
  await new Promise((resolve) => setTimeout(resolve, 1_200))
  t.true((await exchange(port, [`${HEAD}Content-Length: 1\r\n\r\nx`], '\r\n\r\n1')).startsWith('HTTP/1.1 200'))
  for (const socket of open) socket.destroy()
})

// Trailers and chunk extensions are no part of the body, so its limit does not apply to them.
test('trailers and chunk extensions without end end the connection', async (t) => {
  const { port, requests } = await start(t)
  t.regex(await exchange(port, [`${HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n`, 'X-Trailer: 0123456789\r\n'.repeat(10_000)]), /^HTTP\/1.1 431|ECONNRESET|EPIPE/)
  t.regex(await exchange(port, [`${HEAD}Transfer-Encoding: chunked\r\n\r\n1;`, 'x'.repeat(200_000)]), /^HTTP\/1.1 413|ECONNRESET|EPIPE/)
  t.regex(await exchange(port, [HEAD, 'X-Field: 0123456789\r\n'.repeat(10_000)]), /^HTTP\/1.1 431|ECONNRESET|EPIPE/)
  t.is(requests.length, 0)
})
