import type { Clock, Timer } from '@fuchsiastage/clock'
import { formatEndEvent, formatTokenEvent, type CompletionIdentity } from './completion.js'
import type { EngineTiming } from './engine-options.js'
import type { Generation } from './generation-batch.js'
import type { Reply } from './reply.js'

export interface StreamWriterOptions {
  readonly clock: Clock
  readonly timing: EngineTiming
  readonly generation: Generation
  readonly reply: Reply
  /** Events up to this id are not sent again. */
  readonly afterEventId: number
  /** Events after which this connection is cut, asked before each write; undefined when it is not. */
  readonly consumeCut: (eventsWritten: number) => boolean
  readonly waitWhileFrozen: () => Promise<void>
  /** Calls back when this connection ends before the end mark. */
  readonly onBroken: () => void
}

/**
 * Writes the events of a generation to one connection; returns the function that cuts the connection.
 *
 * @example
 * const cut = writeEventStream(options)
 */
export function writeEventStream (options: StreamWriterOptions): () => void {
  const { clock, timing, generation, reply } = options
  const identity = completionIdentity(generation)
  let written = options.afterEventId
  let isOver = false
  let comment: Timer | undefined

  const stop = (): void => {
    isOver = true
    comment?.cancel()
    unsubscribe()
  }
  const cut = (): void => {
    if (isOver) return
    stop()
    reply.destroyAfterFlush()
    options.onBroken()
  }
  const writeProgress = (): void => {
    while (!isOver && written < generation.emitted()) {
      if (options.consumeCut(written - options.afterEventId)) return cut()
      written++
      reply.write(formatTokenEvent(identity, written, generation.tokens[written - 1] ?? '', written === generation.tokens.length))
    }
    if (isOver || generation.status() === 'active') return
    if (generation.status() === 'cancelled' || options.consumeCut(written - options.afterEventId)) return cut()
    stop()
    reply.write(formatEndEvent(generation.tokens.length + 1))
    reply.end()
  }
  const scheduleComment = (): void => {
    comment = clock.setTimer(timing.commentMilliseconds, () => {
      void options.waitWhileFrozen().then(() => {
        if (isOver) return
        reply.write(': keep-alive\n\n')
        scheduleComment()
      })
    })
  }

  const unsubscribe = generation.onProgress(writeProgress)
  reply.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'x-request-id': generation.responseRequestId,
    'x-stream-id': generation.streamId
  })
  reply.onClientDisconnect(() => {
    if (isOver) return
    stop()
    options.onBroken()
  })
  scheduleComment()
  writeProgress()
  return cut
}

/**
 * The fields by which an answer's body names its generation.
 *
 * @example
 * plainAnswer(answerIdentity(generation), generation.tokens)
 */
export function completionIdentity ({ streamId, request }: Generation): CompletionIdentity {
  return { streamId, kind: request.kind, model: request.model, promptCharacters: request.prompt.length }
}
