import { createSeededRandom } from '@fuchsiastage/membership'
import type { ManualClock } from '@fuchsiastage/clock'
import type { EntryList } from '@fuchsiastage/daemon'
import type { Answer, IncomingRequest } from '@fuchsiastage/filters'
import { createLogger } from '@fuchsiastage/logger'
import { ok } from 'true-myth/result'
import { tokenOf } from './deployment.js'
import { tokensOf } from './fake-target.js'
import { deriveSeed } from './random.js'
import type { Action, Deployment, RequestFields } from './scenario-schema.js'
import type { DaemonProcess } from './world.js'

/**
 * Final outcome of a request as its caller sees it. `broken`: the daemon was killed and the connection
 * closed. `refused`: the daemon did not accept the connection. `incomplete`: a stream ended without its
 * `[DONE]` event.
 */
export interface FinalOutcome {
  readonly kind: 'done' | 'not-run' | 'unknown' | 'broken' | 'refused' | 'incomplete'
  readonly code: string
  readonly endedAt: number
  readonly isReplay: boolean
}

export interface CallerRequest {
  readonly name: string
  readonly group: string
  readonly fields: RequestFields
  readonly daemon: string
  readonly sentAt: number
  outcome: FinalOutcome | undefined
}

interface OpenRequest extends CallerRequest {
  readonly process: DaemonProcess
  readonly pausedMillisecondsAtSend: number
  /** Time of the deadline, which is counted from the time at which the daemon read the request. */
  deadlineAt: number
  readonly disconnect: AbortController
  isOverdueReported: boolean
}

export interface CallersOptions {
  readonly clock: ManualClock
  readonly seed: number
  readonly deployment: Deployment
  readonly recordEvent: (text: string, name?: string) => void
  readonly recordViolation: (text: string) => void
  readonly keyOf: (name: string) => string
  readonly processes: () => readonly DaemonProcess[]
  readonly processAt: (address: string) => DaemonProcess | undefined
  readonly entriesOf: (process: DaemonProcess, callerAddress: string) => EntryList
  /** Number of times that targets ran the request. */
  readonly runCountOf: (request: string) => number
}

export interface Callers {
  readonly requests: ReadonlyMap<string, CallerRequest>
  readonly request: (request: RequestFields & { readonly name: string, readonly at: string }) => void
  readonly burst: (burst: NonNullable<Action['burst']>, daemons: readonly string[]) => void
  readonly clients: (clients: NonNullable<Action['clients']>) => void
  readonly breakConnections: (process: DaemonProcess) => void
  /** Resolves when the daemon has no open request. */
  readonly whenIdle: (process: DaemonProcess) => Promise<void>
  readonly checkRequests: () => void
}

/** Time after the deadline within which the caller must have the final response. */
const DEADLINE_MARGIN_MILLISECONDS = 1_000

/**
 * Creates the simulated callers, which send requests and check every response.
 *
 * @example
 * const callers = createCallers(options)
 * callers.request({ name: 'first', at: 'entry-1', caller: 'office', model: 'letter', ...defaults })
 */
export function createCallers (options: CallersOptions): Callers {
  const { clock, deployment, recordEvent, recordViolation } = options
  const requests = new Map<string, CallerRequest>()
  const openRequests = new Map<string, OpenRequest>()
  const notRunRequests = new Set<string>()
  const idleListeners = new Map<DaemonProcess, (() => void)[]>()
  const discardingLogger = createLogger({ clock, process: 'caller', level: 'error', sink: () => undefined })

  const finish = (request: CallerRequest, final: Omit<FinalOutcome, 'endedAt'>): void => {
    if (request.outcome !== undefined) {
      if (request.outcome.kind !== 'broken') recordViolation(`${request.name} received a second final response`)
      return
    }
    request.outcome = { ...final, endedAt: clock.now() }
    if (final.kind === 'not-run') notRunRequests.add(request.name)
    const openRequest = openRequests.get(request.name)
    openRequests.delete(request.name)
    recordEvent(`${request.daemon} answers ${request.name}: ${final.kind}${final.code === 'ok' ? '' : ` (${final.code})`}${final.isReplay ? ' (replayed)' : ''}`, `answer-${final.kind}`)
    if (openRequest !== undefined && ![...openRequests.values()].some(({ process }) => process === openRequest.process)) {
      const listeners = idleListeners.get(openRequest.process) ?? []
      idleListeners.delete(openRequest.process)
      for (const notify of listeners) notify()
    }
  }

  const classifyAnswer = (request: CallerRequest, answer: Answer, streamed: string, headersSent: number): Omit<FinalOutcome, 'endedAt'> => {
    const tag = request.fields.body ?? request.name
    const expectedTokens = tokensOf(tag, request.fields.tokens)
    switch (answer.kind) {
      case 'plain': {
        if (answer.status !== 200) return { kind: 'done', code: `status-${answer.status}`, isReplay: false }
        const { text } = JSON.parse(answer.body.toString('utf8')) as { readonly text: string }
        const expected = request.fields.model === undefined ? tag : expectedTokens.join(' ')
        if (text !== expected) recordViolation(`${request.name} received a wrong response: "${text}"`)
        return { kind: 'done', code: 'ok', isReplay: answer.headers['idempotent-replayed'] === 'true' }
      }
      case 'streamed': {
        const receivedData = [...streamed.matchAll(/^data: (.*)$/gm)].map(([, data = '']) => data).filter((data) => !data.startsWith('{"type"'))
        const receivedTokens = receivedData.map((data) => data === '[DONE]' ? data : (JSON.parse(data) as { readonly token: string }).token)
        const expectedEvents = [...expectedTokens, '[DONE]']
        if (headersSent !== 1) recordViolation(`${request.name} received ${headersSent} status lines, expected 1`)
        if (receivedTokens.some((text, index) => text !== expectedEvents[index])) recordViolation(`${request.name} received duplicate, missing or foreign tokens: ${receivedTokens.join(' ')}`)
        if (answer.complete !== (receivedTokens.length === expectedEvents.length)) recordViolation(`${request.name} was reported as ${answer.complete ? 'complete' : 'incomplete'} with ${receivedTokens.length} of ${expectedEvents.length} events`)
        return { kind: answer.complete ? 'done' : 'incomplete', code: 'ok', isReplay: false }
      }
      case 'problem': {
        const { outcome, code, status, retryAfterMilliseconds } = answer.error
        if (outcome === 'not-run' && (status === 503 || status === 429) && retryAfterMilliseconds === undefined) {
          recordViolation(`${request.name} was refused with ${code} and without Retry-After`)
        }
        return { kind: outcome === 'done' ? 'done' : outcome, code, isReplay: false }
      }
    }
  }

  const send = (name: string, group: string, fields: RequestFields, process: DaemonProcess): CallerRequest => {
    const commonFields = { name, group, fields, daemon: process.name, sentAt: clock.now(), outcome: undefined }
    if (!process.acceptsConnections) {
      const refusedRequest: CallerRequest = commonFields
      requests.set(name, refusedRequest)
      finish(refusedRequest, { kind: 'refused', code: 'connection-refused', isReplay: false })
      return refusedRequest
    }
    const deadlineMilliseconds = Math.min(fields.deadline, deployment.callers[fields.caller]?.deadline ?? Infinity)
    const request: OpenRequest = {
      ...commonFields, process, pausedMillisecondsAtSend: process.gate.pausedMilliseconds(), deadlineAt: clock.now() + deadlineMilliseconds, disconnect: new AbortController(), isOverdueReported: false
    }
    if (requests.has(name)) recordViolation(`duplicate request name ${name}`)
    requests.set(name, request)
    openRequests.set(name, request)
    let streamed = ''
    let headersSent = 0
    const tag = fields.body ?? name
    const body = fields.model === undefined ? JSON.stringify({ tag }) : JSON.stringify({ model: fields.model, prompt: `${tag}|${fields.tokens}`, stream: fields.stream })
    const headers: Record<string, string> = {
      authorization: `Bearer ${tokenOf(fields.caller)}`, 'content-type': 'application/json', 'x-deadline-milliseconds': String(fields.deadline)
    }
    if (fields.key !== undefined) headers['idempotency-key'] = fields.keyAge === 0 ? options.keyOf(fields.key) : withKeyAge(options.keyOf(fields.key), fields.keyAge)
    const incoming: IncomingRequest = {
      method: fields.method,
      url: fields.model === undefined ? `/services/${fields.service ?? ''}` : '/v1/completions',
      headers,
      readBody: async () => ok(Buffer.from(body)),
      openStream: () => {
        headersSent++
        return {
          write: (text) => {
            streamed += text
            return true
          },
          drained: async () => undefined
        }
      },
      signal: request.disconnect.signal
    }
    const run = async (): Promise<void> => {
      await process.gate.pass('incoming')
      request.deadlineAt = clock.now() + deadlineMilliseconds
      const answer = await process.core.handle({ id: name, incoming, receivedAt: clock.now(), logger: discardingLogger, signal: incoming.signal })
      await process.gate.pass('outgoing')
      finish(request, classifyAnswer(request, answer, streamed, headersSent))
    }
    run().catch((reason: unknown) => {
      recordViolation(`the daemon threw while it handled ${name}: ${reason instanceof Error ? reason.stack ?? reason.message : String(reason)}`)
    })
    return request
  }

  const sendAt = (name: string, group: string, fields: RequestFields, daemon: string): void => {
    const process = options.processes().find((candidate) => candidate.name === daemon)
    if (process === undefined) throw new Error(`unknown daemon: ${daemon}`)
    send(name, group, fields, process)
  }

  const runClient = async (name: string, index: number, clients: NonNullable<Action['clients']>): Promise<void> => {
    const { every, for: durationMilliseconds, name: group, count: _count, ...fields } = clients
    const random = createSeededRandom(deriveSeed(options.seed, `${group}/${index}`))
    const address = `10.9.0.${index + 1}`
    const endsAt = clock.now() + durationMilliseconds
    let cachedEntries: { readonly answer: EntryList, readonly until: number } | undefined
    let sequence = 0
    await clock.sleep(every * random())
    while (clock.now() < endsAt) {
      if (cachedEntries === undefined || clock.now() >= cachedEntries.until) {
        const available = options.processes().filter((process) => process.acceptsConnections && process.gate.state() === 'running')
        const process = available[Math.floor(random() * available.length)]
        const answer = process === undefined ? undefined : options.entriesOf(process, address)
        cachedEntries = answer === undefined || answer.entries.length === 0 ? undefined : { answer, until: clock.now() + answer.keepMilliseconds }
      }
      const entry = cachedEntries?.answer.entries[Math.floor(random() * cachedEntries.answer.entries.length)]
      const process = entry === undefined ? undefined : options.processAt(entry.address)
      if (process !== undefined) {
        const id = `${group}#${index}.${++sequence}`
        const key = fields.key === undefined ? undefined : `${fields.key}-${id}`
        const request = send(id, group, { ...fields, key }, process)
        if (request.outcome?.kind === 'refused' && process.phase !== 'killed') {
          recordViolation(`${id} was refused by ${process.name}, which is in the caller's current entry list and was not killed`)
        }
      }
      await clock.sleep(every)
    }
  }

  const checkRequests = (): void => {
    for (const name of notRunRequests) {
      if (options.runCountOf(name) === 0) continue
      recordViolation(`${name} was reported as not-run, but a target ran it`)
      notRunRequests.delete(name)
    }
    for (const request of openRequests.values()) {
      const { gate } = request.process
      if (gate.state() !== 'running' || request.isOverdueReported) continue
      const pausedMilliseconds = gate.pausedMilliseconds() - request.pausedMillisecondsAtSend
      const dueAt = pausedMilliseconds === 0 ? request.deadlineAt : Math.max(request.deadlineAt, gate.resumedAt())
      if (clock.now() <= dueAt + DEADLINE_MARGIN_MILLISECONDS) continue
      request.isOverdueReported = true
      recordViolation(`${request.name} has no final response ${clock.now() - request.deadlineAt} ms after its deadline`)
    }
  }

  return {
    requests,
    request: ({ name, at, ...fields }) => sendAt(name, name, fields, at),
    burst: ({ name, at: _at, count, every, ...fields }, daemons) => {
      const sendOne = (index: number): void => {
        const key = fields.key === undefined ? undefined : `${fields.key}-${index}`
        sendAt(`${name}#${index}`, name, { ...fields, key }, daemons[index % daemons.length] ?? '')
      }
      for (let index = 0; index < count; index++) {
        if (every === 0) sendOne(index)
        else clock.setTimer(every * index, () => sendOne(index))
      }
    },
    clients: (settings) => {
      for (let index = 0; index < settings.count; index++) void runClient(settings.name, index, settings)
    },
    breakConnections: (process) => {
      for (const request of [...openRequests.values()]) {
        if (request.process === process) finish(request, { kind: 'broken', code: 'connection-broken', isReplay: false })
      }
    },
    whenIdle: (process) => [...openRequests.values()].some((request) => request.process === process)
      ? new Promise((resolve) => { idleListeners.set(process, [...idleListeners.get(process) ?? [], resolve]) })
      : Promise.resolve(),
    checkRequests
  }
}

/** Moves the timestamp of a UUID version 7 key into the past, so that the key appears older. */
function withKeyAge (key: string, ageMilliseconds: number): string {
  const time = Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16) - ageMilliseconds
  const hex = time.toString(16).padStart(12, '0')
  return `${hex.slice(0, 8)}-${hex.slice(8)}${key.slice(13)}`
}
