import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { deriveClientCapacity } from '@fuchsiastage/client-memory'
import { createSystemClock } from '@fuchsiastage/clock'
import test, { type ExecutionContext } from 'ava'
import { trackClientConnections } from './client-connections.js'

const RESPONSE_BYTES = 32 * 1_048_576
const UNREAD_MILLISECONDS = 1_000
const LIMITS = { headerBytes: 16_384, bodyBytes: 4_194_304, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }

/** Sends a request for a large response that the server writes at once; returns the bytes that a client gets that reads as given. */
async function receive (t: ExecutionContext, readsEachMilliseconds: number | undefined): Promise<{ readonly bytes: number, readonly closed: readonly string[] }> {
  const closed: string[] = []
  const server = createServer((request, response) => {
    connections.beginRequest(request, response)
    response.writeHead(200, { 'Content-Length': RESPONSE_BYTES, Connection: 'close' })
    response.end(Buffer.alloc(RESPONSE_BYTES))
  })
  const connections = trackClientConnections({
    server,
    clock: createSystemClock(),
    capacity: deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 }),
    limits: () => LIMITS,
    onClosed: (reason) => { closed.push(reason) },
    unreadResponseMilliseconds: UNREAD_MILLISECONDS
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  return await new Promise((resolve) => {
    let bytes = 0
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1', () => socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'))
    socket.on('data', (chunk) => {
      bytes += chunk.length
      if (readsEachMilliseconds === undefined) return
      socket.pause()
      setTimeout(() => socket.resume(), readsEachMilliseconds)
    })
    if (readsEachMilliseconds === undefined) {
      socket.pause()
      // A paused socket notices the end of its connection only when it is read.
      setTimeout(() => socket.resume(), 3 * UNREAD_MILLISECONDS)
    }
    socket.on('error', () => undefined)
    socket.on('close', () => resolve({ bytes, closed }))
  })
}

// The bytes of one large write counted as sent only when the client had read nearly all of them.
test('a client that reads a large response slowly gets all of it', async (t) => {
  const { bytes, closed } = await receive(t, 8)
  t.true(bytes > RESPONSE_BYTES, `${bytes} bytes`)
  t.deepEqual(closed, [])
})

test('the connection of a client that does not read its response is closed', async (t) => {
  const { bytes, closed } = await receive(t, undefined)
  t.true(bytes < RESPONSE_BYTES, `${bytes} bytes`)
  t.deepEqual(closed, ['unread-response'])
})

test('a response that comes after the time-out is sent, and an idle connection is closed as before', async (t) => {
  const closed: string[] = []
  const server = createServer((request, response) => {
    connections.beginRequest(request, response)
    setTimeout(() => response.end('late'), 500)
  })
  server.keepAliveTimeout = 200
  const connections = trackClientConnections({
    server,
    clock: createSystemClock(),
    capacity: deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 }),
    limits: () => LIMITS,
    onClosed: (reason) => { closed.push(reason) },
    unreadResponseMilliseconds: 100
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const text = await new Promise<string>((resolve) => {
    let received = ''
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1', () => socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'))
    socket.on('data', (chunk) => { received += chunk.toString() })
    socket.on('close', () => resolve(received))
  })
  t.true(text.includes('\r\n\r\n') && text.includes('late'), text)
  t.deepEqual(closed, [])
})
