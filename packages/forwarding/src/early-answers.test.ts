import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import test, { type ExecutionContext } from 'ava'
import type { EarlyEnd, EarlyTarget } from './early-target.test-helper.js'
import { EVENTS, RESUMABLE, SAFE, STREAM, UNSAFE } from './forwarder-fixture.test-helper.js'
import { relayFrom } from './relay-from.test-helper.js'

/** More than the sockets hold, so that the sender still writes it when the answer arrives. */
const UPLOAD = Buffer.alloc(16 * 1024 * 1024, 'x')
const BODY = EVENTS.join('')
const LINES = 'Id: r1\r\nSeal: s.1\r\n'
const KINDS = [SAFE, UNSAFE, STREAM, RESUMABLE]
const REPEATS = 5
const PAUSES = [0, 5]
const ALL = PAUSES.length * KINDS.length * REPEATS

/** Relays answers that end at once and after a pause, to each kind of request, a few times each. Returns how many were whole. */
async function countWhole (t: ExecutionContext, bytes: string, end: EarlyEnd, repeats = REPEATS): Promise<number> {
  let count = 0
  for (const pauseMilliseconds of PAUSES) {
    const target: EarlyTarget = { bytes, end, pauseMilliseconds }
    const worker = new Worker(new URL('./early-target.test-helper.js', import.meta.url), { workerData: target })
    t.teardown(async () => await worker.terminate())
    const [address] = await once(worker, 'message') as [string]
    for (const kind of KINDS) {
      for (let repeat = 0; repeat < repeats; repeat++) {
        const { outcome, received } = await relayFrom(address, kind, UPLOAD)
        if (outcome.kind === 'complete' && received?.hasEnded === true) count++
      }
    }
  }
  return count
}

const FRAMED: Readonly<Record<string, string>> = {
  'with a length': `HTTP/1.1 200 OK\r\n${LINES}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'with a length on a connection that closes': `HTTP/1.1 413 Too Large\r\nConnection: close\r\n${LINES}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'of HTTP/1.0 with a length': `HTTP/1.0 200 OK\r\n${LINES}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'in chunks': `HTTP/1.1 200 OK\r\n${LINES}Transfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`
}
const UNFRAMED: Readonly<Record<string, string>> = {
  'of HTTP/1.1': `HTTP/1.1 200 OK\r\n${LINES}unframed: 1\r\n\r\n${EVENTS.join('')}`,
  'of HTTP/1.0': `HTTP/1.0 200 OK\r\n${LINES}unframed: 1\r\n\r\n${EVENTS.join('')}`
}

for (const [title, bytes] of Object.entries(FRAMED)) {
  test(`a whole answer ${title} to a request that is still being sent is not lost when its target does not read the rest`, async (t) => {
    for (const end of ['reset', 'closed', 'ended, closed', 'ended, reset later', 'ended, read on', 'ended', 'read on'] as const) t.is(await countWhole(t, bytes, end), ALL, end)
  })

  test(`an answer ${title} that is cut while its request is still being sent is never whole`, async (t) => {
    for (const end of ['reset', 'closed', 'ended, closed'] as const) t.is(await countWhole(t, bytes.slice(0, -20), end), 0, end)
  })
}

for (const [title, bytes] of Object.entries(UNFRAMED)) {
  // At another operator a target reset the connection during a long upload, and the client got the part that had arrived as a whole answer.
  test(`an answer ${title} without a length whose connection is reset while its request is still being sent is never whole`, async (t) => {
    for (const end of ['reset', 'closed', 'ended, closed', 'ended, reset later'] as const) t.is(await countWhole(t, bytes, end), 0, end)
  })

  test(`an answer ${title} without a length that its target ends before it has read the request is whole`, async (t) => {
    t.is(await countWhole(t, bytes, 'ended, read on'), ALL)
    // The target neither reads nor closes, so each answer waits for a reset that does not come.
    t.is(await countWhole(t, bytes, 'ended', 1), ALL / REPEATS)
  })
}
