import type { HeaderCodec } from '@fuchsiastage/forwarding'

/** Header names of the stand-in targets; the adapter to the real platform defines its own names. */
export const STAND_IN_HEADER = {
  request: 'request',
  model: 'model',
  remaining: 'remaining-milliseconds',
  target: 'target',
  seal: 'seal',
  notExecuted: 'not-executed',
  requestsPerSecond: 'requests-per-second',
  pauseMilliseconds: 'pause-milliseconds',
  leaving: 'leaving'
} as const

function valueOf (rawHeaders: readonly string[], name: string): string | undefined {
  const index = rawHeaders.findIndex((text, position) => position % 2 === 0 && text.toLowerCase() === name)
  return index < 0 ? undefined : rawHeaders[index + 1]
}

/** Removes the headers that are set separately for each connection: connection, length and routing headers. */
function endToEnd (rawHeaders: readonly string[]): readonly string[] {
  const dropped: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', STAND_IN_HEADER.remaining, STAND_IN_HEADER.target])
  return rawHeaders.filter((_text, position) => !dropped.has((rawHeaders[position - position % 2] ?? '').toLowerCase()))
}

function decodeNumber (text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text)
}

/** Codec for the headers of the stand-in targets. */
export const standInCodec: HeaderCodec = {
  describeRequest: (rawHeaders) => {
    const [model, adapter] = valueOf(rawHeaders, STAND_IN_HEADER.model)?.split('/') ?? []
    const remaining = Number(valueOf(rawHeaders, STAND_IN_HEADER.remaining))
    return {
      id: valueOf(rawHeaders, STAND_IN_HEADER.request) ?? '',
      deadlineMilliseconds: Number.isFinite(remaining) ? remaining : undefined,
      demand: model === undefined ? undefined : { model, adapter, promptTokens: 0, maximumOutputTokens: 0, promptParts: [] },
      lastEventId: undefined,
      resumes: undefined,
      credentials: undefined
    }
  },
  forwardedHeaders: (rawHeaders, system) => [
    ...endToEnd(rawHeaders),
    STAND_IN_HEADER.remaining, String(Math.round(system.remainingMilliseconds)),
    STAND_IN_HEADER.target, system.targetId
  ],
  describeAnswer: (_status, rawHeaders) => ({
    requestId: valueOf(rawHeaders, STAND_IN_HEADER.request),
    hasSeal: valueOf(rawHeaders, STAND_IN_HEADER.seal) !== undefined,
    isNotExecuted: valueOf(rawHeaders, STAND_IN_HEADER.notExecuted) !== undefined,
    targetId: valueOf(rawHeaders, STAND_IN_HEADER.target),
    hasContentEncoding: false,
    isFramed: valueOf(rawHeaders, 'content-length') !== undefined || valueOf(rawHeaders, 'transfer-encoding') !== undefined,
    load: undefined,
    requestsPerSecond: decodeNumber(valueOf(rawHeaders, STAND_IN_HEADER.requestsPerSecond)),
    pauseMilliseconds: decodeNumber(valueOf(rawHeaders, STAND_IN_HEADER.pauseMilliseconds)),
    isLeaving: valueOf(rawHeaders, STAND_IN_HEADER.leaving) !== undefined
  }),
  answerHeaders: endToEnd
}
