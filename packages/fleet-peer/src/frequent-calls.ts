import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Logger } from '@fuchsiastage/logger'
import { allowanceInput, placeInput, type PeerHandlers } from './contract.js'

export interface FrequentCallOptions {
  readonly handlers: Pick<PeerHandlers, 'place' | 'allowance'>
  readonly logger: Logger
}

/** Decodes a message and handles it, or states why it is not valid. */
type Handle = (message: unknown, handlers: FrequentCallOptions['handlers'], signal: AbortSignal) =>
  | { readonly kind: 'handled', readonly answer: Promise<unknown> }
  | { readonly kind: 'invalid', readonly reason: string }

/** Far more than one of these calls takes up. A larger one is left to tRPC. */
const MAXIMUM_CALL_BYTES = 65_536

/** Codes of tRPC for errors of a call. */
const BAD_REQUEST = { code: -32600, name: 'BAD_REQUEST', status: 400 }
const INTERNAL_ERROR = { code: -32603, name: 'INTERNAL_SERVER_ERROR', status: 500 }

const CALLS: ReadonlyMap<string, Handle> = new Map<string, Handle>([
  ['place', (message, handlers, signal) => {
    const parsed = placeInput.safeParse(message)
    return parsed.success ? { kind: 'handled', answer: handlers.place(parsed.data, signal) } : { kind: 'invalid', reason: parsed.error.message }
  }],
  ['allowance', (message, handlers) => {
    const parsed = allowanceInput.safeParse(message)
    return parsed.success ? { kind: 'handled', answer: Promise.resolve(handlers.allowance(parsed.data)) } : { kind: 'invalid', reason: parsed.error.message }
  }]
])

/**
 * Answers the most frequent calls in the format of tRPC. The handler of tRPC converts each call into a `Request`
 * and a `Response`, which takes most of the processor time of a call; the lease holder and the issuer of an
 * allowance get dozens in a second. Returns false for a call that it leaves to tRPC.
 *
 * @example
 * if (!answerFrequentCall(request, response, { handlers, logger })) handleWithTrpc(request, response)
 */
export function answerFrequentCall (request: IncomingMessage, response: ServerResponse, { handlers, logger }: FrequentCallOptions): boolean {
  const step = request.url?.slice(1) ?? ''
  const handle = CALLS.get(step)
  const declaredBytes = Number(request.headers['content-length'] ?? Infinity)
  if (handle === undefined || request.method !== 'POST' || !(declaredBytes <= MAXIMUM_CALL_BYTES)) return false
  const ended = new AbortController()
  response.once('close', () => ended.abort())
  const send = (status: number, body: unknown): void => {
    if (response.destroyed) return
    const text = JSON.stringify(body)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }).end(text)
  }
  const fail = ({ code, name, status }: typeof BAD_REQUEST, reason: string): void => {
    logger.warn('a call from a peer failed', { event: 'peer-call-failed', step, reason })
    send(status, { error: { code, message: reason, data: { code: name, httpStatus: status, path: step } } })
  }
  const chunks: Buffer[] = []
  request.on('data', (chunk: Buffer) => chunks.push(chunk))
  request.once('end', () => {
    // A handler may throw before it returns its promise.
    Promise.resolve().then(async () => {
      const result = handle(parseJson(Buffer.concat(chunks).toString()), handlers, ended.signal)
      switch (result.kind) {
        case 'invalid':
          fail(BAD_REQUEST, result.reason)
          return
        case 'handled':
          send(200, { result: { data: await result.answer } })
      }
    }).catch((reason: unknown) => fail(INTERNAL_ERROR, reason instanceof Error ? reason.message : String(reason)))
  })
  return true
}

/** Returns undefined, which is not a valid call, for text that is not JSON. */
function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
