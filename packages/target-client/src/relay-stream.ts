import type { Clock } from '@fuchsiastage/clock'
import { createError, toProblem, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { StringDecoder } from 'node:string_decoder'
import type { EngineClient } from './engine-client.js'
import type { StreamSource } from './outcomes.js'

/** The response to the caller, to which a stream is relayed. */
export interface StreamSink {
  /** Writes encoded events; returns false if the relay must wait for `drained` before the next write. */
  readonly write: (text: string) => boolean
  readonly drained: () => Promise<void>
}

export interface RelaySettings {
  /** Time without any byte from the engine after which the connection counts as stalled. */
  readonly silenceMilliseconds: Milliseconds
  /** Maximum number of attempts to resume one stream, failed ones included. */
  readonly maximumResumes: number
  /** Delay between a failed attempt to resume and the next one. */
  readonly resumeDelayMilliseconds: Milliseconds
  readonly maximumEventCharacters: number
}

export interface RelayOptions {
  readonly clock: Clock
  readonly engine: Pick<EngineClient, 'resumeStream' | 'cancelStream'>
  readonly requestId: string
  readonly source: StreamSource
  readonly sink: StreamSink
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal
  readonly settings: RelaySettings
  /**
   * Restarts the request on another target; resolves to undefined if that is not possible. It is
   * called only before the first event has been written to the caller.
   */
  readonly restart?: (reason: string) => Promise<StreamSource | undefined>
}

export interface RelayStatistics {
  /** Id of the last event that was written to the caller. */
  readonly events: number
  /** Number of attempts to resume the stream, failed ones included. */
  readonly resumes: number
  readonly restarts: number
  /** Number of events that were received again and dropped. */
  readonly duplicates: number
  /** Address of the last engine that served the stream. */
  readonly address: string
}

/**
 * Outcome of relaying a stream. When a `failed` stream has `events` above zero, the error event has
 * been written and the caller's connection must be closed without the end mark. With zero events,
 * nothing has been written.
 */
export type RelayOutcome =
  | { readonly kind: 'complete', readonly statistics: RelayStatistics }
  | { readonly kind: 'cancelled', readonly statistics: RelayStatistics }
  | { readonly kind: 'failed', readonly error: FuchsiastageError, readonly statistics: RelayStatistics }

/**
 * Marks the end of a stream. If the end mark has an id, it must follow the id of the last event.
 * Without an id, the loss of the last events before the end mark cannot be detected.
 */
const END_MARK = '[DONE]'

/** Maximum number of reads after the end mark before the connection is aborted. */
const MAXIMUM_TRAILING_READS = 4
const TRAILING_READ_TIMEOUT_MILLISECONDS = 250

/**
 * Relays an engine's stream to the caller, so that the caller receives each event once and in order.
 * A stream that fails, stalls or lacks events is resumed over a new connection. If that fails, it is
 * restarted on another target, but only before the first event has been written to the caller.
 *
 * @example
 * const outcome = await relayStream({ clock, engine, requestId, source: completion.source, sink, signal, settings })
 */
export async function relayStream (options: RelayOptions): Promise<RelayOutcome> {
  const { clock, engine, requestId, sink, signal, settings } = options
  let source = options.source
  let lastEventId = 0
  let duplicates = 0
  let resumes = 0
  let restarts = 0
  // State of the current source.
  let isComplete = false
  let streamError: string | undefined
  let hasHeartbeat = false
  let pendingOutput = ''

  const receive = (event: EventSourceMessage): void => {
    if (isComplete || streamError !== undefined) return
    const { data } = event
    if (event.id === undefined) {
      if (data === END_MARK) {
        isComplete = true
        pendingOutput += `data: ${END_MARK}\n\n`
      } else {
        streamError = 'the engine sent an event without an id'
      }
      return
    }
    const id = Number(event.id)
    if (id === lastEventId + 1) {
      lastEventId = id
      isComplete = data === END_MARK
      const name = event.event === undefined ? '' : `event: ${event.event}\n`
      pendingOutput += `id: ${id}\n${name}data: ${data.includes('\n') ? data.replaceAll('\n', '\ndata: ') : data}\n\n`
    } else if (id >= 1 && id <= lastEventId) {
      if (data === END_MARK) streamError = 'the engine sent the end mark with the id of an earlier event'
      duplicates++
    } else {
      streamError = `the event after ${lastEventId} is missing; the engine sent event ${event.id}`
    }
  }

  /** Writes the pending output, or a comment if only a heartbeat was received; waits while the caller's write buffer is full. */
  const flush = async (): Promise<void> => {
    if (pendingOutput === '' && hasHeartbeat && lastEventId > 0) pendingOutput = ':\n\n'
    hasHeartbeat = false
    if (pendingOutput === '' || signal.aborted) return
    const text = pendingOutput
    pendingOutput = ''
    if (!sink.write(text)) await untilAborted(sink.drained(), signal)
  }

  /** Relays the current source until it ends; returns the reason if it ended without the end mark. */
  const relaySource = async (): Promise<string | undefined> => {
    const parser = createParser({
      onEvent: receive,
      onComment: () => { hasHeartbeat = true },
      onError: (error) => { if (error.type === 'max-buffer-size-exceeded') streamError ??= 'the engine sent an event above the size limit' },
      maxBufferSize: settings.maximumEventCharacters
    })
    const decoder = new StringDecoder('utf8')
    for (;;) {
      const next = await source.read(settings.silenceMilliseconds)
      if (signal.aborted) return 'cancelled'
      switch (next.kind) {
        case 'bytes':
          for (const chunk of next.chunks) {
            if (streamError === undefined && !isComplete) parser.feed(decoder.write(chunk))
          }
          await flush()
          if (isComplete) return signal.aborted ? 'cancelled' : undefined
          if (streamError !== undefined) return streamError
          break
        case 'end':
          return 'the stream ended without the end mark'
        case 'closed':
          return next.reason
        case 'silent':
          return `the engine sent no bytes for ${settings.silenceMilliseconds} ms`
      }
    }
  }

  /** Resumes the stream at its engine; resolves to false if no further attempt is possible. */
  const resume = async (): Promise<boolean> => {
    const { address, streamId } = source
    if (streamId === undefined) return false
    for (let failures = 0; resumes < settings.maximumResumes && !signal.aborted; failures++) {
      if (failures > 0) await clock.sleep(settings.resumeDelayMilliseconds, signal)
      resumes++
      const outcome = await engine.resumeStream(address, streamId, requestId, lastEventId, signal)
      if (outcome.kind === 'resumed') {
        source = outcome.source
        return true
      }
      if (outcome.kind === 'gone') return false
    }
    return false
  }

  const restart = async (reason: string): Promise<boolean> => {
    if (lastEventId > 0 || options.restart === undefined) return false
    const started = await options.restart(reason)
    if (started === undefined) return false
    source = started
    restarts++
    return true
  }

  const cancelAtEngine = async (abandonedSource: StreamSource): Promise<void> => {
    if (abandonedSource.streamId !== undefined) await engine.cancelStream(abandonedSource.address, abandonedSource.streamId)
  }

  const statistics = (): RelayStatistics => ({ events: lastEventId, resumes, restarts, duplicates, address: source.address })

  const abortSource = (): void => source.abort('cancelled')
  signal.addEventListener('abort', abortSource)
  if (signal.aborted) abortSource()
  try {
    for (;;) {
      const reason = await relaySource()
      if (reason === undefined) {
        void discardTrailingBytes(source)
        return { kind: 'complete', statistics: statistics() }
      }
      source.abort(reason)
      streamError = undefined
      pendingOutput = ''
      if (!signal.aborted && await resume()) continue
      const failedSource = source
      if (signal.aborted) {
        await cancelAtEngine(failedSource)
        return { kind: 'cancelled', statistics: statistics() }
      }
      // The engine may still be generating the stream, although nothing reads it any more.
      void cancelAtEngine(failedSource)
      if (await restart(reason)) continue
      if (signal.aborted) return { kind: 'cancelled', statistics: statistics() }
      const error = createError({ code: 'stream-broken', message: reason, step: 'relay', peer: failedSource.address, outcome: 'unknown', status: 502 })
      if (lastEventId > 0) sink.write(`event: error\ndata: ${JSON.stringify(toProblem(error, requestId))}\n\n`)
      return { kind: 'failed', error, statistics: statistics() }
    }
  } finally {
    signal.removeEventListener('abort', abortSource)
  }
}

/** Reads the rest of the response after the end mark, so that the connection can end normally; aborts it after a few reads. */
async function discardTrailingBytes (source: StreamSource): Promise<void> {
  for (let reads = 0; reads < MAXIMUM_TRAILING_READS; reads++) {
    const next = await source.read(TRAILING_READ_TIMEOUT_MILLISECONDS)
    if (next.kind !== 'bytes') break
  }
  source.abort('the stream is complete')
}

/** Waits until the promise settles or the signal aborts, and removes its listener. */
function untilAborted (promise: Promise<void>, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      signal.removeEventListener('abort', finish)
      resolve()
    }
    signal.addEventListener('abort', finish)
    void promise.then(finish, finish)
    if (signal.aborted) finish()
  })
}
