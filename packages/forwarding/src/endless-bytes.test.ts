import { createServer, type AddressInfo, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { RESUMABLE, STREAM, UNSAFE } from './forwarder-fixture.test-helper.js'
import { relayFrom } from './relay-from.test-helper.js'

/** Most bytes that a daemon may read from a target that sends no response: what it buffers, and what the sockets do. */
const ALLOWED_BYTES = 32 * 1024 * 1024
const BLOCK = Buffer.alloc(64 * 1024, 'x')

interface EndlessTarget {
  readonly address: string
  /** Resolves with the number of bytes that the target wrote until the daemon closed the connection. */
  readonly written: Promise<number>
}

/** Starts a target that responds with the given bytes, and then with a block of bytes again and again until the connection is closed. */
async function startEndlessTarget (t: ExecutionContext, head: string, block: Buffer): Promise<EndlessTarget> {
  let resolveWritten: (bytes: number) => void = () => undefined
  const written = new Promise<number>((resolve) => { resolveWritten = resolve })
  const server = createServer((socket: Socket) => {
    socket.on('error', () => undefined)
    socket.once('close', () => resolveWritten(socket.bytesWritten))
    const writeOn = (): void => {
      while (!socket.destroyed && socket.write(block)) if (socket.bytesWritten > 4 * ALLOWED_BYTES) socket.destroy()
    }
    socket.on('drain', writeOn)
    socket.once('data', () => {
      socket.write(head)
      writeOn()
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => { server.close() })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, written }
}

const OK = 'HTTP/1.1 200 OK\r\n'
const ENDLESS: ReadonlyArray<readonly [title: string, kind: typeof STREAM, head: string, block: Buffer]> = [
  ['bytes that are no head', UNSAFE, '', BLOCK],
  ['one header', UNSAFE, `${OK}X-Long: `, BLOCK],
  ['headers', UNSAFE, OK, Buffer.from('X-Header: value\r\n'.repeat(4_000))],
  ['interim responses', UNSAFE, '', Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(2_000))],
  ['a body without a length', UNSAFE, `${OK}\r\n`, BLOCK],
  ['an event', STREAM, `${OK}\r\ndata: `, BLOCK],
  ['an event of a resumable stream', RESUMABLE, `${OK}\r\ndata: `, BLOCK],
  ['an event in chunks', STREAM, `${OK}Transfer-Encoding: chunked\r\n\r\n`, Buffer.from(`1000\r\n${'x'.repeat(4_096)}\r\n`)],
  ['a chunk extension', STREAM, `${OK}Transfer-Encoding: chunked\r\n\r\n1;`, BLOCK],
  ['trailers', UNSAFE, `${OK}Transfer-Encoding: chunked\r\n\r\n0\r\n`, Buffer.from('X-Trailer: value\r\n'.repeat(4_000))]
]

for (const [title, kind, head, block] of ENDLESS) {
  test(`a target that sends ${title} without end is left, and the request has no response`, async (t) => {
    const target = await startEndlessTarget(t, head, block)
    t.is((await relayFrom(target.address, kind)).outcome.kind, title.startsWith('an event') && !title.includes('resumable') ? 'broken' : 'failed')
    const written = await target.written
    t.true(written <= ALLOWED_BYTES, `${written} bytes`)
  })
}

test('bytes without end after a complete response do not delay it', async (t) => {
  const target = await startEndlessTarget(t, `${OK}Content-Length: 2\r\n\r\nok`, BLOCK)
  t.is((await relayFrom(target.address, UNSAFE)).outcome.kind, 'complete')
  t.true(await target.written <= ALLOWED_BYTES)
})
