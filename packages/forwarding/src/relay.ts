import type { Clock } from '@fuchsiastage/clock'
import type { RequestKind } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { HeaderCodec, TargetAnswer } from './ports.js'
import type { ForwardOutcome, InboundRequest, ResponseFraming } from './request.js'
import { createEventSplitter } from './stream-events.js'
import type { StreamPace } from './stream-pace.js'

/** How one send ended, and what of its answer the client has. */
export type RelayOutcome =
  | { readonly kind: 'complete', readonly status: number, readonly firstByteAt: Milliseconds | undefined }
  | { readonly kind: 'not-sent', readonly reason: string }
  | { readonly kind: 'not-executed', readonly status: number, readonly targetId: string | undefined }
  /** No usable answer; nothing of it was passed on. */
  | { readonly kind: 'failed', readonly reason: string }
  /** A failure that the target itself states; it can be passed on as it is. */
  | { readonly kind: 'server-error', readonly reason: string, readonly deliver: () => ForwardOutcome }
  /** The answer broke off after a part of it was passed on. */
  | { readonly kind: 'broken', readonly reason: string, readonly lastEventId: string | undefined }
  | { readonly kind: 'client-gone' }

export interface RelayInputs {
  readonly clock: Clock
  readonly answer: TargetAnswer
  readonly codec: HeaderCodec
  readonly request: InboundRequest
  readonly requestKind: RequestKind
  readonly lastEventId: string | undefined
  /** Notes when bytes of a stream arrive. */
  readonly pace: StreamPace
  /** Called with each time between bytes of a stream. */
  readonly onPause: (milliseconds: Milliseconds) => void
}

/** Largest answer, other than a stream, that is held until it is complete. */
const MAXIMUM_HELD_BYTES = 4 * 1024 * 1024
/** Statuses from here on are failures that the target states. */
const FIRST_SERVER_ERROR = 500

/**
 * Judges the answer of a target and passes it on: streams as they arrive, other answers when they are complete.
 *
 * @example
 * const outcome = await relayAnswer({ clock, answer, codec, request, requestKind, lastEventId })
 */
export async function relayAnswer (inputs: RelayInputs): Promise<RelayOutcome> {
  const { answer, codec, request } = inputs
  if (answer.kind !== 'answer') return answer
  const description = codec.describeAnswer(answer.status, answer.rawHeaders)
  if (description.isNotExecuted || answer.status === 421) {
    answer.close()
    return { kind: 'not-executed', status: answer.status, targetId: description.targetId }
  }
  if (description.requestId !== request.description.id || description.hasContentEncoding || !description.hasSeal) {
    answer.close()
    return { kind: 'failed', reason: description.requestId === request.description.id ? 'answer-not-of-the-target' : 'answer-of-another-request' }
  }
  const isStream = inputs.requestKind.kind === 'stream' && answer.status < 300
  const framing: ResponseFraming = description.isFramed ? 'framed' : 'until-close'
  return isStream ? await relayStream(inputs, answer, framing) : await relayWhole(inputs, answer, framing)
}

type Answered = Extract<TargetAnswer, { kind: 'answer' }>

async function relayWhole ({ clock, codec, request }: RelayInputs, answer: Answered, framing: ResponseFraming): Promise<RelayOutcome> {
  const chunks: Buffer[] = []
  let held = 0
  let firstByteAt: Milliseconds | undefined
  try {
    for await (const chunk of answer.body) {
      firstByteAt ??= clock.now()
      held += chunk.length
      if (held > MAXIMUM_HELD_BYTES) return { kind: 'failed', reason: 'answer-too-large' }
      chunks.push(chunk)
    }
  } catch (reason) {
    return { kind: 'failed', reason: `answer-incomplete: ${textOf(reason)}` }
  }
  const deliver = (): ForwardOutcome => {
    if (request.clientGone.aborted) return { kind: 'abandoned', reason: 'client-gone' }
    const headers = codec.answerHeaders(answer.rawHeaders)
    request.response.begin(answer.status, framing === 'framed' ? withLength(headers, held) : headers, framing)
    void request.response.write(Buffer.concat(chunks))
    request.response.end()
    return { kind: 'delivered', status: answer.status }
  }
  if (answer.status >= FIRST_SERVER_ERROR) return { kind: 'server-error', reason: `target-answered-${answer.status}`, deliver }
  return deliver().kind === 'delivered' ? { kind: 'complete', status: answer.status, firstByteAt } : { kind: 'client-gone' }
}

function withLength (rawHeaders: readonly string[], length: number): readonly string[] {
  const headers: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'content-length') headers.push(rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '')
  }
  return [...headers, 'Content-Length', String(length)]
}

async function relayStream (inputs: RelayInputs, answer: Answered, framing: ResponseFraming): Promise<RelayOutcome> {
  const { clock, codec, request, requestKind } = inputs
  const { response } = request
  const isResumable = requestKind.kind === 'stream' && requestKind.isResumable
  const splitter = createEventSplitter()
  let lastEventId = inputs.lastEventId
  let firstByteAt: Milliseconds | undefined

  const pass = async (bytes: Buffer): Promise<void> => {
    if (!response.hasBegun()) response.begin(answer.status, codec.answerHeaders(answer.rawHeaders), framing)
    await response.write(bytes)
  }

  /** A stream that may be continued elsewhere is passed on in whole events. */
  const passEvents = async (chunk: Buffer): Promise<void> => {
    for (const event of splitter.push(chunk)) {
      if (isRepeated(event.id, lastEventId)) continue
      lastEventId = event.id ?? lastEventId
      await pass(event.bytes)
    }
  }

  try {
    for await (const chunk of answer.body) {
      firstByteAt ??= clock.now()
      inputs.onPause(inputs.pace.noteBytes())
      if (request.clientGone.aborted) return { kind: 'client-gone' }
      await (isResumable ? passEvents(chunk) : pass(chunk))
    }
    if (isResumable && splitter.rest().length > 0) await pass(splitter.rest())
  } catch (reason) {
    if (request.clientGone.aborted) return { kind: 'client-gone' }
    const text = `stream-broken: ${textOf(reason)}`
    return response.hasBegun() ? { kind: 'broken', reason: text, lastEventId } : { kind: 'failed', reason: text }
  }
  if (!response.hasBegun()) response.begin(answer.status, codec.answerHeaders(answer.rawHeaders), framing)
  response.end()
  return { kind: 'complete', status: answer.status, firstByteAt }
}

/** Event identifiers are increasing numbers; an event at or before the last one was passed on already. */
function isRepeated (id: string | undefined, last: string | undefined): boolean {
  if (id === undefined || last === undefined) return false
  return Number(id) <= Number(last)
}

function textOf (reason: unknown): string {
  return reason instanceof Error ? `${(reason as { code?: string }).code ?? reason.name}` : String(reason)
}
