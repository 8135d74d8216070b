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
  /** Last event id that the client has received; events up to it are not sent again. */
  readonly afterEventId: number
  /** Called before each write with the number of events written to this connection; returns true if the connection is to be cut now. */
  readonly consumeCut: (writtenEvents: number) => boolean
  readonly waitWhileFrozen: () => Promise<void>
  /** Called when this connection closes before the end event is written. */
  readonly onInterrupted: () => void
}

/**
 * Writes the events of a generation to one connection. Returns a function that cuts the connection.
 *
 * @example
 * const cut = writeEventStream(options)
 */
export function writeEventStream (options: StreamWriterOptions): () => void {
  const { clock, timing, generation, reply } = options
  const identity = completionIdentity(generation)
  let lastWrittenEventId = options.afterEventId
  let hasEnded = false
  let commentTimer: Timer | undefined

  const stop = (): void => {
    hasEnded = true
    commentTimer?.cancel()
    unsubscribe()
  }
  const cutConnection = (): void => {
    if (hasEnded) return
    stop()
    reply.destroyAfterFlush()
    options.onInterrupted()
  }
  const writeProgress = (): void => {
    while (!hasEnded && lastWrittenEventId < generation.emitted()) {
      if (options.consumeCut(lastWrittenEventId - options.afterEventId)) return cutConnection()
      lastWrittenEventId++
      reply.write(formatTokenEvent(identity, lastWrittenEventId, generation.tokens[lastWrittenEventId - 1] ?? '', lastWrittenEventId === generation.tokens.length))
    }
    if (hasEnded || generation.status() === 'active') return
    if (generation.status() === 'cancelled' || options.consumeCut(lastWrittenEventId - options.afterEventId)) return cutConnection()
    stop()
    reply.write(formatEndEvent(generation.tokens.length + 1))
    reply.end()
  }
  const scheduleComment = (): void => {
    commentTimer = clock.setTimer(timing.commentMilliseconds, () => {
      void options.waitWhileFrozen().then(() => {
        if (hasEnded) return
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
    if (hasEnded) return
    stop()
    options.onInterrupted()
  })
  scheduleComment()
  writeProgress()
  return cutConnection
}

/**
 * Returns the fields of a response body that identify its generation.
 *
 * @example
 * createCompletionBody(completionIdentity(generation), generation.tokens)
 */
export function completionIdentity ({ streamId, request }: Generation): CompletionIdentity {
  return { streamId, kind: request.kind, model: request.model, promptCharacters: request.prompt.length }
}
