import { createServer, type AddressInfo, type Socket } from 'node:net'
import type { RequestKind } from '@fuchsiastage/fleet'
import test, { type ExecutionContext } from 'ava'
import { EVENTS, RESUMABLE, STREAM, UNSAFE } from './forwarder-fixture.test-helper.js'
import { relayFrom, type Relayed } from './relay-from.test-helper.js'

const BODY = EVENTS.join('')
const CHUNKS = EVENTS.map((event) => `${event.length.toString(16)}\r\n${event}\r\n`).join('')
const LINES = 'Id: r1\r\nSeal: s.1\r\nContent-Type: text/event-stream\r\n'
const CLOSE = 'Connection: close\r\n'
const LENGTH = `Content-Length: ${BODY.length}\r\n`
const CHUNKED = 'Transfer-Encoding: chunked\r\n'
/** Tells the codec of the tests that neither a length nor chunks end the body. */
const UNFRAMED = 'unframed: 1\r\n'

/** Whole answers in every form in which a target may send them. */
const ANSWERS: Readonly<Record<string, string>> = {
  'with a length': `HTTP/1.1 200 OK\r\n${LINES}${LENGTH}\r\n${BODY}`,
  'with a length on a connection that closes': `HTTP/1.1 200 OK\r\n${CLOSE}${LINES}${LENGTH}\r\n${BODY}`,
  'of HTTP/1.0 with a length': `HTTP/1.0 200 OK\r\n${LINES}${LENGTH}\r\n${BODY}`,
  'with a length after an interim one': `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n${CLOSE}${LINES}${LENGTH}\r\n${BODY}`,
  'in chunks': `HTTP/1.1 200 OK\r\n${LINES}${CHUNKED}\r\n${CHUNKS}0\r\n\r\n`,
  'in chunks on a connection that closes': `HTTP/1.1 200 OK\r\n${CLOSE}${LINES}${CHUNKED}\r\n${CHUNKS}0\r\n\r\n`,
  'in chunks with a trailer': `HTTP/1.1 200 OK\r\n${CLOSE}${LINES}${CHUNKED}\r\n${CHUNKS}0\r\nX-Trailer: 1\r\n\r\n`,
  'that ends with its connection': `HTTP/1.1 200 OK\r\n${CLOSE}${LINES}${UNFRAMED}\r\n${BODY}`,
  'that ends with its connection, without saying so': `HTTP/1.1 200 OK\r\n${LINES}${UNFRAMED}\r\n${BODY}`,
  'of HTTP/1.0 that ends with its connection': `HTTP/1.0 200 OK\r\n${LINES}${UNFRAMED}\r\n${BODY}`,
  'in another transfer coding': `HTTP/1.1 200 OK\r\n${CLOSE}${LINES}${UNFRAMED}Transfer-Encoding: identity\r\n\r\n${BODY}`,
  'without a body': `HTTP/1.1 204 No Content\r\n${CLOSE}${LINES}\r\n`
}

type End = 'in order' | 'reset'

/** Resets a connection; `resetAndDestroy` ends it in order first. */
function reset (socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true })
  socket.destroy()
}

/** Starts a target that answers one request with the given bytes and closes the connection. */
async function startTarget (t: ExecutionContext, bytes: Buffer, end: End): Promise<string> {
  const server = createServer((socket: Socket) => {
    server.close()
    socket.on('error', () => undefined)
    socket.once('data', () => socket.write(bytes, () => end === 'reset' ? reset(socket) : socket.end()))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => { server.close() })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

const CONCURRENT = 32

/** Relays the answer once for each number of its bytes that the target sends. */
async function relayCuts (t: ExecutionContext, bytes: Buffer, kind: RequestKind, end: End): Promise<readonly Relayed[]> {
  const relayed: Relayed[] = []
  const lengths = Array.from({ length: bytes.length + 1 }, (_, length) => length)
  await Promise.all(Array.from({ length: CONCURRENT }, async () => {
    for (let length = lengths.shift(); length !== undefined; length = lengths.shift()) relayed[length] = await relayFrom(await startTarget(t, bytes.subarray(0, length), end), kind)
  }))
  return relayed
}

/** Whether the client takes what it got for a whole answer. */
function looksWhole ({ outcome, received }: Relayed): boolean {
  return outcome.kind === 'complete' || received?.hasEnded === true
}

for (const [title, text] of Object.entries(ANSWERS)) {
  // At another operator a server stopped in the middle of the head of its answer, and clients got 200 with an empty or short body, framed as whole.
  test(`an answer ${title} that is cut at any byte does not reach the client as a whole one`, async (t) => {
    const bytes = Buffer.from(text)
    const isUnframed = text.includes(UNFRAMED)
    // The interim answer of one form has a head too.
    const headBytes = text.length - (/\r\n\r\n(?!HTTP)([^]*)$/.exec(text)?.[1]?.length ?? 0)
    for (const [kind, end] of [[UNSAFE, 'in order'], [UNSAFE, 'reset'], [STREAM, 'in order'], [STREAM, 'reset'], [RESUMABLE, 'in order'], [RESUMABLE, 'reset']] as const) {
      const relayed = await relayCuts(t, bytes, kind, end)
      for (const [length, result] of relayed.slice(0, -1).entries()) {
        const at = `${kind.kind}, ${end}, after ${length} of ${bytes.length} bytes, head of ${headBytes}: ${JSON.stringify(result)}`
        const body = text.slice(headBytes, length)
        // Nothing tells the connection of such an answer that was cut from one that ends it, but an event that is cut and a reset.
        const mayLookWhole = isUnframed && length >= headBytes && end === 'in order' && (kind.kind !== 'stream' || (body.endsWith('\n\n') && body.length > 0))
        if (!mayLookWhole) t.false(looksWhole(result), at)
        if (mayLookWhole && kind.kind !== 'stream') t.is(result.received?.framing, 'until-close', at)
        if (length < headBytes) t.is(result.received, undefined, at)
        t.true(BODY.startsWith(result.received?.body ?? ''), at)
      }
      const whole = relayed.at(-1)
      if (end === 'in order') t.deepEqual([whole?.outcome.kind, whole?.received?.body], ['complete', text.includes('204') ? '' : BODY], `${kind.kind}, ${end}, whole`)
    }
  })
}
