import type { Clock } from '@fuchsiastage/clock'
import type { RequestKind, TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { HeaderCodec, TargetAnswer } from './ports.js'
import type { ForwardOutcome, InboundRequest, ResponseFraming } from './request.js'
import { createEventSplitter } from './stream-events.js'
import type { StreamTiming } from './stream-pace.js'

/** Outcome of one send, and the part of the response that was relayed to the client. */
export type RelayOutcome =
  | { readonly kind: 'complete', readonly status: number, readonly firstByteAt: Milliseconds | undefined }
  | { readonly kind: 'not-sent', readonly reason: string }
  | { readonly kind: 'not-executed', readonly status: number, readonly targetId: string | undefined }
  /** There was no usable response; nothing was relayed. */
  | { readonly kind: 'failed', readonly reason: string, readonly failure: ResponseFailure }
  /** The target responded with a server error; `deliver` relays that response unchanged. */
  | { readonly kind: 'server-error', readonly reason: string, readonly deliver: () => ForwardOutcome }
  /** The connection was lost after part of the response was relayed. */
  | {
    readonly kind: 'broken'
    readonly reason: string
    readonly lastEventId: string | undefined
    /** Whether another target may send the rest; only streams can go on. */
    readonly canContinue: boolean
  }
  | { readonly kind: 'client-gone' }

/** Why there was no usable response. */
export type ResponseFailure =
  | { readonly kind: 'connection-lost', /** Whether the head of the response had arrived. */ readonly hasBegun: boolean }
  /** The response is not one that the target may send to this request. */
  | { readonly kind: 'invalid' }

export interface RelayInputs {
  readonly clock: Clock
  readonly answer: TargetAnswer
  /** Target that has sent the response. */
  readonly target: TargetKey
  readonly codec: HeaderCodec
  readonly request: InboundRequest
  readonly requestKind: RequestKind
  readonly lastEventId: string | undefined
  /** Records the arrival times of the bytes of a stream. */
  readonly timing: StreamTiming
  /** Called when the first event of a stream is relayed. */
  readonly onStreamBegun: () => void
  /** Called with the time between two arrivals of bytes of a stream. */
  readonly onPause: (milliseconds: Milliseconds) => void
}

/** Size limit of responses other than streams, which are buffered until they are complete. */
const MAXIMUM_BUFFERED_BYTES = 4 * 1024 * 1024
/** Size limit of one event of a stream; events hold a few tokens. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024
const MINIMUM_SERVER_ERROR_STATUS = 500
/** The system takes a response of this size in one write, so a daemon that is killed sends it whole or not at all. */
const MAXIMUM_UNTIL_CLOSE_BYTES = 16_384
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])

/**
 * Classifies the response of a target and relays it: streams as they arrive, other responses when they are complete.
 *
 * @example
 * const outcome = await relayAnswer({ clock, answer, target, codec, request, requestKind, lastEventId, timing, onStreamBegun, onPause })
 */
export async function relayAnswer (inputs: RelayInputs): Promise<RelayOutcome> {
  const { answer, codec, request } = inputs
  if (answer.kind === 'not-sent') return answer
  if (answer.kind === 'failed') return { ...answer, failure: { kind: 'connection-lost', hasBegun: false } }
  if (answer.kind === 'invalid') return { kind: 'failed', reason: answer.reason, failure: { kind: 'invalid' } }
  const description = codec.describeAnswer(answer.status, answer.rawHeaders)
  // A refusal of another request tells nothing about this one, which may run.
  if ((description.requestId ?? request.description.id) !== request.description.id) {
    answer.close()
    return { kind: 'failed', reason: 'answer-of-another-request', failure: { kind: 'invalid' } }
  }
  if (description.isNotExecuted || answer.status === 421) {
    answer.close()
    return { kind: 'not-executed', status: answer.status, targetId: description.targetId }
  }
  if (description.requestId !== request.description.id || description.hasContentEncoding || !description.hasSeal) {
    answer.close()
    return { kind: 'failed', reason: 'answer-not-of-the-target', failure: { kind: 'invalid' } }
  }
  const hasBody = request.method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(answer.status)
  const isStream = inputs.requestKind.kind === 'stream' && answer.status < 300 && hasBody
  // The client is in the middle of a response, which this one does not go on with.
  if (!isStream && request.response.hasBegun()) {
    answer.close()
    return { kind: 'failed', reason: `target-answered-${answer.status}-within-a-response`, failure: { kind: 'invalid' } }
  }
  const framing = answer.framing ?? (description.isFramed ? 'framed' : 'until-close')
  if (isStream) return await relayStream(inputs, answer, framing)
  return await relayBuffered(inputs, answer, hasBody ? framing : 'no-body')
}

type ReceivedAnswer = Extract<TargetAnswer, { kind: 'answer' }>

async function relayBuffered (inputs: RelayInputs, answer: ReceivedAnswer, framing: ResponseFraming | 'no-body'): Promise<RelayOutcome> {
  const { clock, request } = inputs
  const chunks: Buffer[] = []
  let bufferedBytes = 0
  let firstByteAt: Milliseconds | undefined
  const iterator = answer.body[Symbol.asyncIterator]()
  try {
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
      firstByteAt ??= clock.now()
      const chunk = next.value
      bufferedBytes += chunk.length
      if (bufferedBytes > MAXIMUM_BUFFERED_BYTES) {
        await iterator.return?.()
        return { kind: 'failed', reason: 'answer-too-large', failure: { kind: 'invalid' } }
      }
      chunks.push(chunk)
      if (!request.response.hold(chunk.length)) return await relayUnheld(inputs, answer, { chunks, iterator, firstByteAt })
    }
  } catch (reason) {
    return { kind: 'failed', reason: `answer-incomplete: ${errorCodeOf(reason)}`, failure: { kind: 'connection-lost', hasBegun: true } }
  }
  const deliver = (): ForwardOutcome => {
    if (request.clientDisconnected.aborted) return { kind: 'abandoned', reason: 'client-gone' }
    beginWhole(inputs, answer, framing, bufferedBytes)
    void request.response.write(Buffer.concat(chunks))
    request.response.end()
    return { kind: 'delivered', status: answer.status }
  }
  if (answer.status >= MINIMUM_SERVER_ERROR_STATUS) return { kind: 'server-error', reason: `target-answered-${answer.status}`, deliver }
  return deliver().kind === 'delivered' ? { kind: 'complete', status: answer.status, firstByteAt } : { kind: 'client-gone' }
}

/** Sends the head of a response whose body is complete. */
function beginWhole ({ codec, request, target }: RelayInputs, { status, rawHeaders }: ReceivedAnswer, framing: ResponseFraming | 'no-body', bytes: number): void {
  const { response } = request
  const headers = codec.answerHeaders(rawHeaders)
  switch (framing) {
    case 'no-body':
      response.begin(status, headers, 'framed', target)
      return
    case 'until-close':
      // The target may have ended it early, which the client must be able to suspect.
      if (bytes <= MAXIMUM_UNTIL_CLOSE_BYTES) {
        response.begin(status, headers, 'until-close', target)
        return
      }
      break
    case 'framed':
      break
  }
  response.begin(status, [...withoutLength(headers), 'Content-Length', String(bytes)], 'framed', target)
}

interface BegunBody {
  readonly chunks: readonly Buffer[]
  /** The rest of the body. */
  readonly iterator: AsyncIterator<Buffer>
  readonly firstByteAt: Milliseconds | undefined
}

/** Relays a response as it arrives, at the pace of the client, because there is no memory to hold it until it is complete. */
async function relayUnheld ({ codec, request, target }: RelayInputs, answer: ReceivedAnswer, { chunks, iterator, firstByteAt }: BegunBody): Promise<RelayOutcome> {
  const { response } = request
  try {
    if (request.clientDisconnected.aborted) return { kind: 'client-gone' }
    response.begin(answer.status, codec.answerHeaders(answer.rawHeaders), 'framed', target)
    await response.write(Buffer.concat(chunks))
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) await response.write(next.value)
  } catch (reason) {
    if (request.clientDisconnected.aborted) return { kind: 'client-gone' }
    return { kind: 'broken', reason: `answer-incomplete: ${errorCodeOf(reason)}`, lastEventId: undefined, canContinue: false }
  } finally {
    await iterator.return?.()
  }
  response.end()
  return { kind: 'complete', status: answer.status, firstByteAt }
}

function withoutLength (rawHeaders: readonly string[]): readonly string[] {
  const headers: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'content-length') headers.push(rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '')
  }
  return headers
}

async function relayStream (inputs: RelayInputs, answer: ReceivedAnswer, framing: ResponseFraming): Promise<RelayOutcome> {
  const { clock, codec, request, requestKind, target } = inputs
  const { response } = request
  const isResumable = requestKind.kind === 'stream' && requestKind.isResumable
  const splitter = createEventSplitter()
  let lastEventId = inputs.lastEventId
  let firstByteAt: Milliseconds | undefined

  // Another target may send the rest, so the length that this one states need not be that of the stream.
  const begin = (): void => response.begin(answer.status, withoutLength(codec.answerHeaders(answer.rawHeaders)), 'framed', target)

  const relayBytes = async (bytes: Buffer): Promise<void> => {
    if (!response.hasBegun()) {
      begin()
      inputs.onStreamBegun()
    }
    await response.write(bytes)
  }

  /** Relays only complete events of a resumable stream, so that it can continue at another target. */
  const relayChunk = async (chunk: Buffer): Promise<void> => {
    const events = splitter.push(chunk)
    if (!isResumable) return await relayBytes(chunk)
    for (const event of events) {
      if (isAlreadyRelayed(event.id, lastEventId)) continue
      lastEventId = event.id ?? lastEventId
      await relayBytes(event.bytes)
    }
  }

  const breakOff = (cause: string, failure: ResponseFailure = { kind: 'connection-lost', hasBegun: true }): RelayOutcome => {
    const reason = `stream-broken: ${cause}`
    return response.hasBegun() ? { kind: 'broken', reason, lastEventId, canContinue: true } : { kind: 'failed', reason, failure }
  }

  try {
    for await (const chunk of answer.body) {
      firstByteAt ??= clock.now()
      inputs.onPause(inputs.timing.recordBytes())
      if (request.clientDisconnected.aborted) return { kind: 'client-gone' }
      await relayChunk(chunk)
      if (splitter.remainder().length > MAXIMUM_EVENT_BYTES) return breakOff('event-too-large', { kind: 'invalid' })
    }
    // Without a length, a connection that the target closed in the middle of an event looks like the end of the response.
    if (framing === 'until-close' && (firstByteAt === undefined || splitter.isInsideEvent())) return breakOff('ended-inside-an-event')
    if (isResumable && splitter.remainder().length > 0) await relayBytes(splitter.remainder())
  } catch (reason) {
    if (request.clientDisconnected.aborted) return { kind: 'client-gone' }
    return breakOff(errorCodeOf(reason))
  }
  if (!response.hasBegun()) begin()
  response.end()
  return { kind: 'complete', status: answer.status, firstByteAt }
}

/** Event identifiers are increasing numbers, so an event with an identifier up to the last one was already relayed. */
function isAlreadyRelayed (id: string | undefined, last: string | undefined): boolean {
  if (id === undefined || last === undefined) return false
  return Number(id) <= Number(last)
}

function errorCodeOf (reason: unknown): string {
  return reason instanceof Error ? `${(reason as { code?: string }).code ?? reason.name}` : String(reason)
}
