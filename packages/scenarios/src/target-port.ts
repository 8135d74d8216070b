import type { Clock } from '@fuchsiastage/clock'
import type { TargetServices } from '@fuchsiastage/daemon'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { CompletionOutcome, SourceChunk, StreamSource, Unknown } from '@fuchsiastage/target-client'
import type { LoadOrder, OrderOutcome, TargetState, UnloadOrder, VmListing } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import type { CompletionStart, FakeTarget, GeneratedStream } from './fake-target.js'
import type { Links } from './links.js'
import { never, orAborted, type ProcessGate } from './process-gate.js'

/** A request or order at the moment the daemon decided to send it. */
export interface SendRecord {
  readonly kind: 'completion' | 'call' | 'load' | 'unload'
  readonly daemon: string
  readonly target: string
  readonly dataCentre: string
  readonly at: number
  /** Request or order id. */
  readonly id: string
  readonly model: string | undefined
  readonly key: string | undefined
}

export type SendPoint = 'order' | 'order-answer' | 'request' | 'request-answer' | 'call' | 'call-answer'

export interface TargetPortOptions {
  readonly daemon: string
  readonly gate: ProcessGate
  readonly links: Links
  readonly find: (address: string) => FakeTarget | undefined
  readonly listing: () => VmListing
  /** Called in the same turn in which the daemon calls the port, before anything is sent. */
  readonly onSend: (record: SendRecord) => void
  readonly onPoint: (point: SendPoint, target: string, kind: string) => void
  readonly connectTimeoutMilliseconds: number
  readonly firstByteMilliseconds: number
}

/** Name of the VM list in `cut` and `heal`. */
export const LIST_LINK = 'list'

const CONTENT_JSON = { 'content-type': 'application/json' }
const CONTENT_EVENTS = { 'content-type': 'text/event-stream' }

/** One connection; when its pair is cut while it is open, it stays silent for good. */
interface Connection {
  readonly isSilent: () => boolean
  readonly close: () => void
}

/**
 * Creates the `TargetServices` of one daemon. The outcomes are those of the real clients: the match of
 * answers to request ids, for example, happens there, so a crossed answer arrives here as `unknown`.
 *
 * @example
 * const targets = createTargetPort({ daemon: 'entry-1', gate, links, find, listing, ...rest })
 */
export function createTargetPort (options: TargetPortOptions): TargetServices {
  const { gate, links, daemon } = options
  const { clock } = gate

  const open = (target: string): Connection => {
    let isSilent = false
    const forget = links.onCut(daemon, target, () => { isSilent = true })
    return { isSilent: () => isSilent, close: forget }
  }

  /** Connects; the answer is undefined when nothing can be sent. */
  const connect = async (address: string): Promise<FakeTarget | undefined> => {
    const target = options.find(address)
    if (target === undefined || !target.isUp()) return undefined
    if (!links.isCut(daemon, target.name)) return target
    await clock.sleep(options.connectTimeoutMilliseconds)
    return undefined
  }

  const readState = async (address: string, signal?: AbortSignal): Promise<Result<TargetState, FuchsiastageError>> => {
    const unreachable = (): Result<TargetState, FuchsiastageError> => err(createError({ code: 'target-unreachable', message: 'no state', step: 'read-state', peer: address, status: 503 }))
    const run = async (): Promise<Result<TargetState, FuchsiastageError>> => {
      await gate.pass('outgoing')
      const target = await connect(address)
      if (target === undefined) return unreachable()
      await target.thawed()
      const state = target.state()
      if (links.isCut(daemon, target.name)) return await never()
      await gate.pass('incoming')
      return ok(state)
    }
    return await orAborted(run(), signal).catch(unreachable)
  }

  const sendOrder = async (address: string, incarnation: string, order: LoadOrder | UnloadOrder, signal: AbortSignal): Promise<OrderOutcome> => {
    const found = options.find(address)
    options.onSend({ kind: order.kind, daemon, target: found?.name ?? address, dataCentre: found?.dataCentre ?? '', at: clock.now(), id: order.orderId, model: order.model, key: undefined })
    const run = async (): Promise<OrderOutcome> => {
      await gate.pass('outgoing')
      options.onPoint('order', found?.name ?? address, order.kind)
      await gate.pass('outgoing')
      const target = await connect(address)
      if (target === undefined) return { kind: 'not-sent', reason: 'connection refused' }
      if (target.incarnation() !== incarnation) return { kind: 'not-sent', reason: `the engine is now ${target.incarnation()}` }
      const connection = open(target.name)
      const outcome = await Promise.race([
        target.thawed().then(() => target.incarnation() === incarnation ? target.order(order) : never()),
        target.death().then((): OrderOutcome => ({ kind: 'unknown', reason: 'the connection was closed' }))
      ])
      connection.close()
      if (connection.isSilent()) return await never()
      options.onPoint('order-answer', target.name, order.kind)
      await gate.pass('incoming')
      return outcome
    }
    return await orAborted(run(), signal).catch(() => ({ kind: 'unknown', reason: 'no answer in time' }))
  }

  const encodeEvents = (stream: GeneratedStream, from: number): string =>
    stream.events.slice(from).map((event, index) => `id: ${from + index + 1}\ndata: ${event === '[DONE]' ? event : JSON.stringify({ token: event })}\n\n`).join('')

  const openSource = (address: string, target: FakeTarget, stream: GeneratedStream, fromEvent: number): StreamSource => {
    const connection = open(target.name)
    let position = fromEvent
    let closedReason: string | undefined
    let wakeReader: (() => void) | undefined
    const { cutStreamsAt } = target.faults
    if (cutStreamsAt !== undefined && fromEvent === 0) target.faults.cutStreamsAt = undefined
    const cutAt = fromEvent === 0 ? cutStreamsAt : undefined
    const lostEvent = fromEvent === 0 ? target.faults.lostEvent : undefined
    if (lostEvent !== undefined) target.faults.lostEvent = undefined

    const take = (): SourceChunk | undefined => {
      if (closedReason !== undefined) return { kind: 'closed', reason: closedReason }
      if (connection.isSilent()) return undefined
      const isDead = target.streamOf(stream.streamId) !== stream
      const limit = Math.min(stream.events.length, cutAt ?? Infinity)
      if (position < limit) {
        const from = position
        position = limit
        const text = encodeEvents({ ...stream, events: stream.events.slice(0, limit) }, from)
        const sent = lostEvent !== undefined && from < lostEvent && lostEvent <= limit ? text.replace(new RegExp(`id: ${lostEvent}\\n.*\\n\\n`), '') : text
        return { kind: 'bytes', chunks: [Buffer.from(sent)] }
      }
      if (cutAt !== undefined && position >= cutAt) return { kind: 'closed', reason: 'the connection was reset' }
      if (isDead) return { kind: 'closed', reason: 'the engine closed the connection' }
      return stream.isFinished ? { kind: 'end' } : undefined
    }

    const waitForNews = (silenceMilliseconds: number): Promise<'news' | 'silent'> => new Promise((resolve) => {
      const finish = (result: 'news' | 'silent') => (): void => {
        timer.cancel()
        stream.readers.delete(news)
        resolve(result)
      }
      const news = finish('news')
      wakeReader = news
      // A thawed engine sends comments, so only a frozen engine or a silent connection lets this pass.
      const timer = clock.setTimer(silenceMilliseconds, () => {
        if (connection.isSilent() || target.faults.isFrozen) finish('silent')()
        else finish('news')()
      })
      stream.readers.add(news)
    })

    const read = async (silenceMilliseconds: number): Promise<SourceChunk> => {
      for (;;) {
        await gate.pass('incoming')
        const chunk = take()
        if (chunk !== undefined) return chunk
        if (await waitForNews(silenceMilliseconds) === 'silent') return { kind: 'silent' }
      }
    }
    return {
      address,
      streamId: stream.streamId,
      read,
      abort: (reason) => {
        closedReason ??= reason
        connection.close()
        wakeReader?.()
      }
    }
  }

  const answered = (start: Extract<CompletionStart, { readonly kind: 'text' }>): Extract<CompletionOutcome, { readonly kind: 'answered' }> => ({
    kind: 'answered', status: 200, headers: CONTENT_JSON, body: Buffer.from(JSON.stringify({ text: start.text }))
  })

  const exchange = async (
    address: string,
    points: readonly ['request', 'request-answer'] | readonly ['call', 'call-answer'],
    run: (target: FakeTarget) => Promise<CompletionStart>,
    tag: string
  ): Promise<CompletionOutcome> => {
    await gate.pass('outgoing')
    const found = options.find(address)
    options.onPoint(points[0], found?.name ?? address, points[0])
    await gate.pass('outgoing')
    const target = await connect(address)
    if (target === undefined) return { kind: 'not-sent', reason: 'connection refused' }
    const connection = open(target.name)
    const start = await Promise.race([
      run(target),
      target.death().then((): CompletionStart => ({ kind: 'broken', reason: 'the connection was closed' }))
    ])
    connection.close()
    if (connection.isSilent()) return await never()
    options.onPoint(points[1], target.name, points[1])
    await gate.pass('incoming')
    switch (start.kind) {
      case 'refused':
        return { kind: 'refused', code: start.code, retryAfterMilliseconds: 1_000 }
      case 'broken':
        return { kind: 'unknown', reason: start.reason }
      case 'text':
        return start.tag === tag ? answered(start) : { kind: 'unknown', reason: 'the answer carries another request id' }
      case 'stream':
        return { kind: 'streaming', status: 200, headers: CONTENT_EVENTS, source: openSource(address, target, start.stream, 0) }
    }
  }

  /** Bounds a call by the signal and a time; what was sent stays sent. */
  const bounded = async <Outcome> (outcome: Promise<Outcome>, milliseconds: number, signal: AbortSignal): Promise<Outcome | Unknown> => {
    const limit = new AbortController()
    const timer = clock.setTimer(milliseconds, () => limit.abort())
    try {
      return await orAborted(outcome, AbortSignal.any([signal, limit.signal]))
    } catch {
      return { kind: 'unknown', reason: signal.aborted ? 'cancelled' : 'no answer in time' }
    } finally {
      timer.cancel()
    }
  }

  const text = (body: string | Uint8Array | undefined): string => body === undefined ? '' : typeof body === 'string' ? body : Buffer.from(body).toString('utf8')
  const noteSend = (clockSource: Clock, kind: 'completion' | 'call', address: string, id: string, model: string | undefined, key: string | undefined): void => {
    const target = options.find(address)
    options.onSend({ kind, daemon, target: target?.name ?? address, dataCentre: target?.dataCentre ?? '', at: clockSource.now(), id, model, key })
  }

  return {
    engine: {
      readState,
      complete: async (address, request, signal) => {
        const body = text(request.body)
        const { model, prompt = '' } = JSON.parse(body) as { readonly model: string, readonly prompt?: string }
        noteSend(clock, 'completion', address, request.requestId, model, undefined)
        const milliseconds = request.stream ? Math.min(options.firstByteMilliseconds, request.deadlineMilliseconds) : request.deadlineMilliseconds
        const outcome = exchange(address, ['request', 'request-answer'], (target) => target.complete({ requestId: request.requestId, body, stream: request.stream }), prompt.split('|')[0] ?? '')
        return await bounded(outcome, milliseconds, signal)
      },
      resumeStream: async (address, streamId, requestId, lastEventId, signal) => {
        const run = async (): Promise<Awaited<ReturnType<TargetServices['engine']['resumeStream']>>> => {
          await gate.pass('outgoing')
          const target = await connect(address)
          if (target === undefined) return { kind: 'failed', reason: 'connection refused' }
          await target.thawed()
          await gate.pass('incoming')
          const stream = target.streamOf(streamId)
          if (stream === undefined || target.faults.refusesResume) return { kind: 'gone', reason: 'the engine answered 410' }
          if (stream.requestId !== requestId) return { kind: 'failed', reason: 'the answer carries another request id' }
          return { kind: 'resumed', source: openSource(address, target, stream, Math.max(0, lastEventId - target.faults.repeatedEvents)) }
        }
        const outcome = await bounded(run(), options.firstByteMilliseconds, signal)
        return outcome.kind === 'unknown' ? { kind: 'failed', reason: outcome.reason } : outcome
      },
      cancelStream: async (address, streamId) => {
        await gate.pass('outgoing')
        return (await connect(address))?.cancel(streamId) ?? false
      },
      readCacheEvents: async () => ok({ events: [], nextSequence: 0 }),
      close: async () => undefined
    },
    services: {
      call: async (address, request, signal) => {
        const body = text(request.body)
        noteSend(clock, 'call', address, request.requestId, undefined, request.idempotencyKey)
        const tag = (JSON.parse(body === '' ? '{}' : body) as { readonly tag?: string }).tag ?? ''
        const outcome = exchange(address, ['call', 'call-answer'], (target) => target.call({ requestId: request.requestId, key: request.idempotencyKey, body }), tag)
        const ended = await bounded(outcome, request.timeoutMilliseconds, signal)
        return ended.kind === 'streaming' ? { kind: 'unknown', reason: 'a stream from a plain service' } : ended
      },
      close: async () => undefined
    },
    vmList: {
      read: async (signal) => {
        const unavailable = (): Result<VmListing, FuchsiastageError> => err(createError({ code: 'vm-list-unavailable', message: 'no answer', step: 'read-vm-list', status: 503 }))
        const run = async (): Promise<Result<VmListing, FuchsiastageError>> => {
          await gate.pass('outgoing')
          const listing = options.listing()
          if (links.isCut(daemon, LIST_LINK)) return unavailable()
          await gate.pass('incoming')
          return ok(listing)
        }
        return await orAborted(run(), signal).catch(unavailable)
      },
      close: async () => undefined
    },
    placementEngine: {
      sendOrder: (target, order, signal) => sendOrder(target.address, target.incarnation, order, signal),
      readState: async (target, signal) => {
        const state = await readState(target.address, signal)
        if (state.isErr) return err(state.error)
        if (state.value.kind === 'engine') return ok(state.value)
        return err(createError({ code: 'target-not-engine', message: 'the target is a plain service', step: 'read-state', peer: target.name }))
      }
    },
    close: async () => undefined
  }
}
