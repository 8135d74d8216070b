import type { Clock } from '@fuchsiastage/clock'
import { createError, toProblem, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { StringDecoder } from 'node:string_decoder'
import type { EngineClient } from './engine-client.js'
import type { StreamSource } from './outcomes.js'

/** The caller's side of a relayed stream. */
export interface StreamSink {
  /** Writes encoded events; false asks the relay to wait for `drained`. */
  readonly write: (text: string) => boolean
  readonly drained: () => Promise<void>
}

export interface RelaySettings {
  /** Longest time without a byte or comment line from the engine. */
  readonly silenceMilliseconds: Milliseconds
  readonly maximumResumes: number
  /** Wait before a further attempt to resume when the engine could not be reached. */
  readonly resumeDelayMilliseconds: Milliseconds
  readonly maximumEventCharacters: number
}

export interface RelayOptions {
  readonly clock: Clock
  readonly engine: Pick<EngineClient, 'resumeStream' | 'cancelStream'>
  readonly requestId: string
  readonly source: StreamSource
  readonly sink: StreamSink
  /** Aborts when the caller goes away or the deadline passes. */
  readonly signal: AbortSignal
  readonly settings: RelaySettings
  /**
   * Starts the request on another target; undefined when that is not possible. It is called
   * only while the caller has seen nothing.
   */
  readonly restart?: (reason: string) => Promise<StreamSource | undefined>
}

export interface RelayStatistics {
  /** Highest event id that was written to the caller. */
  readonly events: number
  readonly resumes: number
  readonly restarts: number
  readonly duplicates: number
  /** Address of the engine that served the stream last. */
  readonly address: string
}

/**
 * `failed` with `events` above zero: the error event has been written and the caller's
 * connection is to be closed without the end mark. With zero events nothing has been written.
 */
export type RelayOutcome =
  | { readonly kind: 'complete', readonly statistics: RelayStatistics }
  | { readonly kind: 'cancelled', readonly statistics: RelayStatistics }
  | { readonly kind: 'failed', readonly error: FuchsiastageError, readonly statistics: RelayStatistics }

/**
 * The end mark may have an id, which must then follow the last event's. Without one, the loss of
 * the last events before it cannot be seen from the ids.
 */
const END_MARK = '[DONE]'

/** Reads of the rest of an answer after its end mark, before the connection is closed. */
const REST_READS = 4
const REST_MILLISECONDS = 250

/**
 * Relays an engine's stream to the caller, so that the caller sees each event once and in order. A
 * broken, silent or gappy stream is resumed over a new connection, and started on another target
 * only while the caller has seen nothing.
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
  // State of the source that is being read.
  let complete = false
  let fault: string | undefined
  let heartbeat = false
  let output = ''

  const receive = (event: EventSourceMessage): void => {
    if (complete || fault !== undefined) return
    const { data } = event
    if (event.id === undefined) {
      if (data === END_MARK) {
        complete = true
        output += `data: ${END_MARK}\n\n`
      } else {
        fault = 'an event without an id'
      }
      return
    }
    const id = Number(event.id)
    if (id === lastEventId + 1) {
      lastEventId = id
      complete = data === END_MARK
      const name = event.event === undefined ? '' : `event: ${event.event}\n`
      output += `id: ${id}\n${name}data: ${data.includes('\n') ? data.replaceAll('\n', '\ndata: ') : data}\n\n`
    } else if (id >= 1 && id <= lastEventId) {
      if (data === END_MARK) fault = 'an end mark with the id of an earlier event'
      duplicates++
    } else {
      fault = `a gap between the events ${lastEventId} and ${event.id}`
    }
  }

  /** Writes what was collected; waits while the caller's connection is full. */
  const flush = async (): Promise<void> => {
    if (output === '' && heartbeat && lastEventId > 0) output = ':\n\n'
    heartbeat = false
    if (output === '' || signal.aborted) return
    const text = output
    output = ''
    if (!sink.write(text)) await untilAborted(sink.drained(), signal)
  }

  /** Relays one source up to its end; the answer says why it ended without the end mark. */
  const relaySource = async (): Promise<string | undefined> => {
    const parser = createParser({
      onEvent: receive,
      onComment: () => { heartbeat = true },
      onError: (error) => { if (error.type === 'max-buffer-size-exceeded') fault ??= 'an event that is too long' },
      maxBufferSize: settings.maximumEventCharacters
    })
    const decoder = new StringDecoder('utf8')
    for (;;) {
      const next = await source.read(settings.silenceMilliseconds)
      if (signal.aborted) return 'cancelled'
      switch (next.kind) {
        case 'bytes':
          for (const chunk of next.chunks) {
            if (fault === undefined && !complete) parser.feed(decoder.write(chunk))
          }
          await flush()
          if (complete) return signal.aborted ? 'cancelled' : undefined
          if (fault !== undefined) return fault
          break
        case 'end':
          return 'the stream ended without the end mark'
        case 'closed':
          return next.reason
        case 'silent':
          return `no byte for ${settings.silenceMilliseconds} ms`
      }
    }
  }

  /** Resumes the stream at its engine; false when that failed for good. */
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

  const cancelAtEngine = async (abandoned: StreamSource): Promise<void> => {
    if (abandoned.streamId !== undefined) await engine.cancelStream(abandoned.address, abandoned.streamId)
  }

  const statistics = (): RelayStatistics => ({ events: lastEventId, resumes, restarts, duplicates, address: source.address })

  const stop = (): void => source.abort('cancelled')
  signal.addEventListener('abort', stop)
  if (signal.aborted) stop()
  try {
    for (;;) {
      const reason = await relaySource()
      if (reason === undefined) {
        void discardRest(source)
        return { kind: 'complete', statistics: statistics() }
      }
      source.abort(reason)
      fault = undefined
      output = ''
      if (!signal.aborted && await resume()) continue
      const abandoned = source
      if (signal.aborted) {
        await cancelAtEngine(abandoned)
        return { kind: 'cancelled', statistics: statistics() }
      }
      // The engine may still be working for this stream; nobody will read it.
      void cancelAtEngine(abandoned)
      if (await restart(reason)) continue
      if (signal.aborted) return { kind: 'cancelled', statistics: statistics() }
      const error = createError({ code: 'stream-broken', message: reason, step: 'relay', peer: abandoned.address, outcome: 'unknown', status: 502 })
      if (lastEventId > 0) sink.write(`event: error\ndata: ${JSON.stringify(toProblem(error, requestId))}\n\n`)
      return { kind: 'failed', error, statistics: statistics() }
    }
  } finally {
    signal.removeEventListener('abort', stop)
  }
}

/** Lets the connection end in order after the end mark; a longer rest closes it. */
async function discardRest (source: StreamSource): Promise<void> {
  for (let reads = 0; reads < REST_READS; reads++) {
    const next = await source.read(REST_MILLISECONDS)
    if (next.kind !== 'bytes') break
  }
  source.abort('the stream is complete')
}

/** Waits for the promise or the abort, and leaves no listener behind. */
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
