import type { Clock } from '@fuchsiastage/clock'
import type { TargetServices } from '@fuchsiastage/daemon'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { CompletionOutcome, SourceChunk, StreamSource, Unknown } from '@fuchsiastage/target-client'
import type { LoadOrder, OrderOutcome, TargetState, UnloadOrder, VmListing } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import type { CompletionStart, FakeTarget, GeneratedStream } from './fake-target.js'
import type { Links } from './links.js'
import { neverSettles, rejectOnAbort, type ProcessGate } from './process-gate.js'

/** A request or order, recorded at the time at which the daemon decides to send it. */
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

export type TargetTriggerPoint = 'order' | 'order-answer' | 'request' | 'request-answer' | 'call' | 'call-answer'

export interface TargetPortOptions {
  readonly daemon: string
  readonly gate: ProcessGate
  readonly links: Links
  readonly find: (address: string) => FakeTarget | undefined
  readonly listing: () => VmListing
  /** Called synchronously when the daemon calls the port, before anything is sent. */
  readonly onSend: (record: SendRecord) => void
  readonly onPoint: (point: TargetTriggerPoint, target: string, kind: string) => void
  readonly connectTimeoutMilliseconds: number
  readonly firstByteMilliseconds: number
}

/** Name of the VM list in the actions `cut` and `heal`. */
export const VM_LIST_LINK = 'list'

const JSON_HEADERS = { 'content-type': 'application/json' }
const EVENT_STREAM_HEADERS = { 'content-type': 'text/event-stream' }

/** Open connection to a target. It stalls permanently when the pair of daemon and target is cut while it is open. */
interface Connection {
  readonly isStalled: () => boolean
  readonly close: () => void
}

/**
 * Creates the `TargetServices` of one daemon. They return the outcomes that the real clients return. For
 * example, the real clients match each response to its request id, so a response to another request is
 * returned as `unknown`.
 *
 * @example
 * const targets = createTargetPort({ daemon: 'entry-1', gate, links, find, listing, ...rest })
 */
export function createTargetPort (options: TargetPortOptions): TargetServices {
  const { gate, links, daemon } = options
  const { clock } = gate

  const openConnection = (target: string): Connection => {
    let isStalled = false
    const unsubscribe = links.onCut(daemon, target, () => { isStalled = true })
    return { isStalled: () => isStalled, close: unsubscribe }
  }

  /** Returns the target at an address; undefined when no connection can be established, so that nothing is sent. */
  const connect = async (address: string): Promise<FakeTarget | undefined> => {
    const target = options.find(address)
    if (target === undefined || !target.isUp()) return undefined
    if (!links.isCut(daemon, target.name)) return target
    await clock.sleep(options.connectTimeoutMilliseconds)
    return undefined
  }

  const readState = async (address: string, signal?: AbortSignal): Promise<Result<TargetState, FuchsiastageError>> => {
    const unreachable = (): Result<TargetState, FuchsiastageError> => err(createError({ code: 'target-unreachable', message: 'no response from the target', step: 'read-state', peer: address, status: 503 }))
    const run = async (): Promise<Result<TargetState, FuchsiastageError>> => {
      await gate.pass('outgoing')
      const target = await connect(address)
      if (target === undefined) return unreachable()
      await target.whenUnfrozen()
      const state = target.state()
      if (links.isCut(daemon, target.name)) return await neverSettles()
      await gate.pass('incoming')
      return ok(state)
    }
    return await rejectOnAbort(run(), signal).catch(unreachable)
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
      if (target.incarnation() !== incarnation) return { kind: 'not-sent', reason: `the address now belongs to incarnation ${target.incarnation()}` }
      const connection = openConnection(target.name)
      const outcome = await Promise.race([
        target.whenUnfrozen().then(() => target.incarnation() === incarnation ? target.order(order) : neverSettles()),
        target.whenKilled().then((): OrderOutcome => ({ kind: 'unknown', reason: 'the connection was closed' }))
      ])
      connection.close()
      if (connection.isStalled()) return await neverSettles()
      options.onPoint('order-answer', target.name, order.kind)
      await gate.pass('incoming')
      return outcome
    }
    return await rejectOnAbort(run(), signal).catch(() => ({ kind: 'unknown', reason: 'no response before the timeout' }))
  }

  const encodeEvents = (stream: GeneratedStream, from: number): string =>
    stream.events.slice(from).map((event, index) => `id: ${from + index + 1}\ndata: ${event === '[DONE]' ? event : JSON.stringify({ token: event })}\n\n`).join('')

  const openSource = (address: string, target: FakeTarget, stream: GeneratedStream, fromEvent: number): StreamSource => {
    const connection = openConnection(target.name)
    let position = fromEvent
    let closedReason: string | undefined
    let notifyReader: (() => void) | undefined
    const { cutStreamsAt } = target.faults
    if (cutStreamsAt !== undefined && fromEvent === 0) target.faults.cutStreamsAt = undefined
    const cutAt = fromEvent === 0 ? cutStreamsAt : undefined
    const lostEvent = fromEvent === 0 ? target.faults.lostEvent : undefined
    if (lostEvent !== undefined) target.faults.lostEvent = undefined

    const nextChunk = (): SourceChunk | undefined => {
      if (closedReason !== undefined) return { kind: 'closed', reason: closedReason }
      if (connection.isStalled()) return undefined
      const isRemoved = target.streamOf(stream.streamId) !== stream
      const limit = Math.min(stream.events.length, cutAt ?? Infinity)
      if (position < limit) {
        const from = position
        position = limit
        const text = encodeEvents({ ...stream, events: stream.events.slice(0, limit) }, from)
        const sent = lostEvent !== undefined && from < lostEvent && lostEvent <= limit ? text.replace(new RegExp(`id: ${lostEvent}\\n.*\\n\\n`), '') : text
        return { kind: 'bytes', chunks: [Buffer.from(sent)] }
      }
      if (cutAt !== undefined && position >= cutAt) return { kind: 'closed', reason: 'the connection was reset' }
      if (isRemoved) return { kind: 'closed', reason: 'the engine closed the connection' }
      return stream.isFinished ? { kind: 'end' } : undefined
    }

    const waitForChange = (silenceMilliseconds: number): Promise<'changed' | 'silent'> => new Promise((resolve) => {
      const finish = (result: 'changed' | 'silent') => (): void => {
        timer.cancel()
        stream.changeListeners.delete(onChange)
        resolve(result)
      }
      const onChange = finish('changed')
      notifyReader = onChange
      // A running engine sends keep-alive comments, so only a suspended engine or a stalled connection sends no bytes for this long.
      const timer = clock.setTimer(silenceMilliseconds, () => {
        if (connection.isStalled() || target.faults.isFrozen) finish('silent')()
        else finish('changed')()
      })
      stream.changeListeners.add(onChange)
    })

    const read = async (silenceMilliseconds: number): Promise<SourceChunk> => {
      for (;;) {
        await gate.pass('incoming')
        const chunk = nextChunk()
        if (chunk !== undefined) return chunk
        if (await waitForChange(silenceMilliseconds) === 'silent') return { kind: 'silent' }
      }
    }
    return {
      address,
      streamId: stream.streamId,
      read,
      abort: (reason) => {
        closedReason ??= reason
        connection.close()
        notifyReader?.()
      }
    }
  }

  const toAnsweredOutcome = (result: Extract<CompletionStart, { readonly kind: 'text' }>): Extract<CompletionOutcome, { readonly kind: 'answered' }> => ({
    kind: 'answered', status: 200, headers: JSON_HEADERS, body: Buffer.from(JSON.stringify({ text: result.text }))
  })

  const sendRequest = async (
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
    const connection = openConnection(target.name)
    const result = await Promise.race([
      run(target),
      target.whenKilled().then((): CompletionStart => ({ kind: 'broken', reason: 'the connection was closed' }))
    ])
    connection.close()
    if (connection.isStalled()) return await neverSettles()
    options.onPoint(points[1], target.name, points[1])
    await gate.pass('incoming')
    switch (result.kind) {
      case 'refused':
        return { kind: 'refused', code: result.code, retryAfterMilliseconds: 1_000 }
      case 'broken':
        return { kind: 'unknown', reason: result.reason }
      case 'text':
        return result.tag === tag ? toAnsweredOutcome(result) : { kind: 'unknown', reason: 'the request id of the response does not match' }
      case 'stream':
        return { kind: 'streaming', status: 200, headers: EVENT_STREAM_HEADERS, source: openSource(address, target, result.stream, 0) }
    }
  }

  /** Returns `unknown` if the signal aborts or the timeout elapses before the outcome is known. A request that was already sent may still take effect at the target. */
  const withTimeout = async <Outcome> (outcome: Promise<Outcome>, milliseconds: number, signal: AbortSignal): Promise<Outcome | Unknown> => {
    const timeoutController = new AbortController()
    const timer = clock.setTimer(milliseconds, () => timeoutController.abort())
    try {
      return await rejectOnAbort(outcome, AbortSignal.any([signal, timeoutController.signal]))
    } catch {
      return { kind: 'unknown', reason: signal.aborted ? 'cancelled' : 'no response before the timeout' }
    } finally {
      timer.cancel()
    }
  }

  const decodeBody = (body: string | Uint8Array | undefined): string => body === undefined ? '' : typeof body === 'string' ? body : Buffer.from(body).toString('utf8')
  const recordSend = (clockSource: Clock, kind: 'completion' | 'call', address: string, id: string, model: string | undefined, key: string | undefined): void => {
    const target = options.find(address)
    options.onSend({ kind, daemon, target: target?.name ?? address, dataCentre: target?.dataCentre ?? '', at: clockSource.now(), id, model, key })
  }

  return {
    engine: {
      readState,
      complete: async (address, request, signal) => {
        const body = decodeBody(request.body)
        const { model, prompt = '' } = JSON.parse(body) as { readonly model: string, readonly prompt?: string }
        recordSend(clock, 'completion', address, request.requestId, model, undefined)
        const milliseconds = request.stream ? Math.min(options.firstByteMilliseconds, request.deadlineMilliseconds) : request.deadlineMilliseconds
        const outcome = sendRequest(address, ['request', 'request-answer'], (target) => target.complete({ requestId: request.requestId, body, stream: request.stream }), prompt.split('|')[0] ?? '')
        return await withTimeout(outcome, milliseconds, signal)
      },
      resumeStream: async (address, streamId, requestId, lastEventId, signal) => {
        const run = async (): Promise<Awaited<ReturnType<TargetServices['engine']['resumeStream']>>> => {
          await gate.pass('outgoing')
          const target = await connect(address)
          if (target === undefined) return { kind: 'failed', reason: 'connection refused' }
          await target.whenUnfrozen()
          await gate.pass('incoming')
          const stream = target.streamOf(streamId)
          if (stream === undefined || target.faults.refusesResume) return { kind: 'gone', reason: 'the engine responded with status 410' }
          if (stream.requestId !== requestId) return { kind: 'failed', reason: 'the request id or stream id of the response does not match' }
          return { kind: 'resumed', source: openSource(address, target, stream, Math.max(0, lastEventId - target.faults.repeatedEvents)) }
        }
        const outcome = await withTimeout(run(), options.firstByteMilliseconds, signal)
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
        const body = decodeBody(request.body)
        recordSend(clock, 'call', address, request.requestId, undefined, request.idempotencyKey)
        const tag = (JSON.parse(body === '' ? '{}' : body) as { readonly tag?: string }).tag ?? ''
        const outcome = sendRequest(address, ['call', 'call-answer'], (target) => target.call({ requestId: request.requestId, key: request.idempotencyKey, body }), tag)
        const ended = await withTimeout(outcome, request.timeoutMilliseconds, signal)
        return ended.kind === 'streaming' ? { kind: 'unknown', reason: 'a plain service responded with a stream' } : ended
      },
      close: async () => undefined
    },
    vmList: {
      read: async (signal) => {
        const unavailable = (): Result<VmListing, FuchsiastageError> => err(createError({ code: 'vm-list-unavailable', message: 'no response from the VM list', step: 'read-vm-list', status: 503 }))
        const run = async (): Promise<Result<VmListing, FuchsiastageError>> => {
          await gate.pass('outgoing')
          const listing = options.listing()
          if (links.isCut(daemon, VM_LIST_LINK)) return unavailable()
          await gate.pass('incoming')
          return ok(listing)
        }
        return await rejectOnAbort(run(), signal).catch(unavailable)
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
