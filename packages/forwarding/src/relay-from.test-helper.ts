import { createSystemClock } from '@fuchsiastage/clock'
import type { RequestKind } from '@fuchsiastage/fleet'
import { codec } from './forwarder-fixture.test-helper.js'
import { createSender, type InboundRequest, type ResponseFraming } from './index.js'
import { relayAnswer, type RelayOutcome } from './relay.js'

export interface Relayed {
  readonly outcome: RelayOutcome
  /** What the client got; undefined if no response was begun. */
  readonly received: { readonly status: number, readonly framing: ResponseFraming, readonly body: string, readonly hasEnded: boolean } | undefined
}

/** Sends a request to a target over a real connection and relays its response to a client that records it. */
export async function relayFrom (address: string, requestKind: RequestKind, body: Buffer = Buffer.alloc(0)): Promise<Relayed> {
  const method = body.length === 0 ? 'GET' : 'POST'
  const clock = createSystemClock()
  const send = createSender({ connectMilliseconds: 1_000, maximumHeaderBytes: 16_384 })
  const connection = new AbortController()
  const answer = await send({ address, method, path: '/', rawHeaders: [], body, signal: connection.signal, onConnected: () => undefined })
  let received: Relayed['received']
  const record = (change: (before: NonNullable<Relayed['received']>) => Partial<NonNullable<Relayed['received']>>): void => {
    if (received === undefined) throw new Error('the response has not begun')
    received = { ...received, ...change(received) }
  }
  const request: InboundRequest = {
    method,
    host: 'h',
    path: '/',
    rawHeaders: [],
    body,
    description: { id: 'r1', deadlineMilliseconds: undefined, demand: undefined, lastEventId: undefined, resumes: undefined, credentials: undefined },
    receivedAt: clock.now(),
    clientDisconnected: new AbortController().signal,
    response: {
      hasBegun: () => received !== undefined,
      hold: () => true,
      begin: (status, _rawHeaders, framing) => { received = { status, framing, body: '', hasEnded: false } },
      write: async (bytes) => record(({ body }) => ({ body: body + bytes.toString() })),
      end: () => record(() => ({ hasEnded: true })),
      destroy: () => undefined
    }
  }
  try {
    const outcome = await relayAnswer({
      clock, answer, target: 't1@0', codec, request, requestKind, lastEventId: undefined, timing: { recordBytes: () => 0, firstByteMilliseconds: () => undefined, longestPauseMilliseconds: () => undefined }, onStreamBegun: () => undefined, onPause: () => undefined
    })
    return { outcome, received }
  } finally {
    connection.abort()
  }
}
