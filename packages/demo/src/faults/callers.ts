import type { Clock } from '@fuchsiastage/clock'
import { expectedTokens } from '@fuchsiastage/stand-ins'
import type { Milliseconds } from '@fuchsiastage/types'
import { Agent, request } from 'undici'
import { createIdempotencyKey, type Entries } from '../caller.js'
import type { Example } from '../example.js'
import type { RequestKind, RequestRecord, TextComparison, ReportedOutcome } from './records.js'

export interface Callers {
  readonly records: readonly RequestRecord[]
  /** Number of requests of a kind that a daemon has not responded to yet. */
  readonly inFlight: (daemon: string, kind: RequestKind) => number
  /** Sends one request to a daemon, in addition to the steady load. */
  readonly send: (kind: RequestKind, daemon: string, change?: Partial<RequestPlan>) => Promise<RequestRecord>
  /** Stops the steady load and waits for the open requests. */
  readonly stop: () => Promise<void>
}

export interface RequestPlan {
  readonly model: string
  readonly token: string
  readonly deadlineMilliseconds: Milliseconds
  readonly key: string
}

/** Time between two requests of the steady load. */
const SEND_INTERVAL_MILLISECONDS = 60
const REQUEST_KINDS: readonly RequestKind[] = ['stream', 'call', 'plain', 'call', 'stream']
const DEADLINE_MILLISECONDS: Readonly<Record<RequestKind, Milliseconds>> = { stream: 15_000, plain: 10_000, call: 4_000 }
const TOKENS: Readonly<Record<RequestKind, number>> = { stream: 80, plain: 20, call: 0 }

/** Number of caller groups. Each group caches its own entry list, as separate client programs do. */
const GROUP_COUNT = 5
/** One in this many calls is also sent to a second entry, without waiting for the response of the first one. */
const CALLS_PER_DUPLICATE = 5
const MAXIMUM_RETRIES = 3
const RETRY_DELAY_MILLISECONDS = 400
/** Interval of the timer that measures event loop lag, so that lag of this process is not counted as a late response. */
const LAG_INTERVAL_MILLISECONDS = 50
const MINIMUM_RECORDED_LAG_MILLISECONDS = 20
const ENTRIES_TIMEOUT_MILLISECONDS = 1_000
/** A request without a response this long after its deadline is abandoned, which fails the check `answered`. */
const ABANDON_MILLISECONDS = 30_000

/**
 * Starts callers that send streams, plain completions and calls at a steady rate, independently of the
 * responses to earlier requests. A call without a result is retried with its key through another entry.
 *
 * @example
 * const callers = startCallers(clock, example)
 */
export function startCallers (clock: Clock, example: Example): Callers {
  const agent = new Agent({ connections: 512, headersTimeout: 0, bodyTimeout: 0 })
  const records: RequestRecord[] = []
  const inFlightCounts = new Map<string, number>()
  const openWork = new Set<Promise<unknown>>()
  const stopping = new AbortController()
  const daemons = [...example.settings.keys()]
  const daemonAt = new Map(daemons.map((daemon) => [example.settings.get(daemon)?.listen.callers ?? '', daemon]))
  let sequence = 0

  const changeInFlight = (name: string, change: number): void => { inFlightCounts.set(name, (inFlightCounts.get(name) ?? 0) + change) }
  const buildRequest = (kind: RequestKind, plan: Partial<RequestPlan>): { path: string, token: string, body: object, expected: string } => {
    const number = sequence++
    if (kind === 'call') return { path: example.servicePath, token: plan.token ?? example.serviceToken, body: example.serviceBody as object, expected: '' }
    const model = plan.model ?? example.model
    const prompt = `${number}: ${example.prompt}`
    const maximumTokens = TOKENS[kind]
    return {
      path: '/v1/completions',
      token: plan.token ?? example.modelToken,
      body: { model, prompt, stream: kind === 'stream', max_tokens: maximumTokens },
      expected: expectedTokens({ model, prompt, maximumTokens }).join('')
    }
  }

  const sendAndReceive = async (kind: RequestKind, daemon: string, plan: Partial<RequestPlan>): Promise<RequestRecord> => {
    const { path, token, body, expected } = buildRequest(kind, plan)
    const deadlineMilliseconds = plan.deadlineMilliseconds ?? DEADLINE_MILLISECONDS[kind]
    const key = kind === 'call' ? plan.key ?? createIdempotencyKey(clock.wallNow()) : undefined
    const sentAt = clock.now()
    const abandon = new AbortController()
    const timer = clock.setTimer(deadlineMilliseconds + ABANDON_MILLISECONDS, () => abandon.abort())
    const chunks: Buffer[] = []
    let status: number | undefined
    let requestId: string | undefined
    let reason: string | undefined
    try {
      const response = await request(`http://${example.settings.get(daemon)?.listen.callers ?? ''}${path}`, {
        dispatcher: agent,
        method: 'POST',
        headers: {
          authorization: `Bearer ${token}`,
          'content-type': 'application/json',
          'x-deadline-milliseconds': String(deadlineMilliseconds),
          ...(key === undefined ? {} : { 'idempotency-key': key })
        },
        body: JSON.stringify(body),
        signal: abandon.signal
      })
      status = response.statusCode
      requestId = String(response.headers['x-request-id'])
      for await (const chunk of response.body) chunks.push(chunk as Buffer)
    } catch (error) {
      reason = String((error as { code?: unknown }).code ?? error)
    } finally {
      timer.cancel()
    }
    const parsedResponse = readResponse(kind, status, Buffer.concat(chunks).toString('utf8'), reason, expected)
    const endedAt = clock.now()
    return { kind, daemon, sentAt, deadlineMilliseconds, endedAt, status, requestId, key, callerLagMilliseconds: lagDuring(sentAt), ...parsedResponse }
  }

  const send = async (kind: RequestKind, daemon: string, plan: Partial<RequestPlan> = {}): Promise<RequestRecord> => {
    const name = `${daemon} ${kind}`
    changeInFlight(name, 1)
    const record = await sendAndReceive(kind, daemon, plan)
    changeInFlight(name, -1)
    records.push(record)
    return record
  }

  const lags: { readonly at: Milliseconds, readonly lag: Milliseconds }[] = []
  const lagDuring = (from: Milliseconds): Milliseconds => Math.max(0, ...lags.filter(({ at }) => at >= from).map(({ lag }) => lag))
  const measureLag = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const startedAt = clock.now()
      await clock.sleep(LAG_INTERVAL_MILLISECONDS)
      const lag = clock.now() - startedAt - LAG_INTERVAL_MILLISECONDS
      if (lag >= MINIMUM_RECORDED_LAG_MILLISECONDS) lags.push({ at: clock.now(), lag })
    }
  }
  const groups = Array.from({ length: GROUP_COUNT }, (_, index) => createEntryGroup(clock, example, daemonAt, index))
  const sendNext = async (iteration: number): Promise<void> => {
    const kind = REQUEST_KINDS[iteration % REQUEST_KINDS.length] ?? 'stream'
    const group = groups[iteration % GROUP_COUNT]
    const daemon = await group?.nextDaemon()
    if (group === undefined || daemon === undefined) return
    if (kind !== 'call') {
      const record = await send(kind, daemon)
      if (record.outcome === 'unreachable') await group.nextDaemon(daemon)
      return
    }
    const key = createIdempotencyKey(clock.wallNow())
    const isDuplicated = Math.floor(iteration / REQUEST_KINDS.length) % CALLS_PER_DUPLICATE === 0
    const second = isDuplicated ? await group.nextDaemon(daemon) : undefined
    const [record] = await Promise.all([send(kind, daemon, { key }), ...(second === undefined ? [] : [send(kind, second, { key })])])
    let last = record
    for (let retry = 0; last.outcome !== 'done' && retry < MAXIMUM_RETRIES; retry++) {
      await clock.sleep(RETRY_DELAY_MILLISECONDS)
      const other = await group.nextDaemon(last.daemon)
      if (other === undefined) break
      last = await send(kind, other, { key })
    }
  }
  const trackWork = (work: Promise<unknown>): void => {
    openWork.add(work)
    void work.finally(() => openWork.delete(work))
  }
  const run = async (): Promise<void> => {
    for (let iteration = 0; !stopping.signal.aborted; iteration++) {
      trackWork(sendNext(iteration))
      await clock.sleep(SEND_INTERVAL_MILLISECONDS, stopping.signal)
    }
  }
  const running = Promise.all([run(), measureLag()])
  return {
    records,
    inFlight: (daemon, kind) => inFlightCounts.get(`${daemon} ${kind}`) ?? 0,
    send,
    stop: async () => {
      stopping.abort()
      await running
      await Promise.all(openWork)
      await agent.close()
    }
  }
}

interface EntryGroup {
  /** Returns the next daemon to use; it differs from `other` if the entry list has an alternative. */
  readonly nextDaemon: (other?: string) => Promise<string | undefined>
}

function createEntryGroup (clock: Clock, example: Example, daemonAt: ReadonlyMap<string, string>, index: number): EntryGroup {
  const addresses = [...daemonAt.keys()]
  let entryList: Entries = { entries: [], keepMilliseconds: 0 }
  let requestedAt = -Infinity
  let pendingRequest: Promise<void> | undefined
  let nextIndex = index
  const refreshEntries = async (): Promise<void> => {
    for (let attempt = 0; attempt < addresses.length; attempt++) {
      const address = addresses[(nextIndex + attempt) % addresses.length] ?? ''
      const timeout = new AbortController()
      const timer = clock.setTimer(ENTRIES_TIMEOUT_MILLISECONDS, () => timeout.abort())
      const startedAt = clock.now()
      try {
        const response = await request(`http://${address}/v1/entries`, { signal: timeout.signal })
        entryList = await response.body.json() as Entries
        requestedAt = startedAt
        if (entryList.entries.length > 0) return
      } catch {
        // The daemon is down or paused; as callers do, try the next one.
      } finally {
        timer.cancel()
      }
    }
  }
  return {
    nextDaemon: async (other) => {
      if (clock.now() - requestedAt >= entryList.keepMilliseconds) {
        pendingRequest ??= refreshEntries().finally(() => { pendingRequest = undefined })
        await pendingRequest
      }
      const daemons = entryList.entries.flatMap(({ address }) => daemonAt.get(address) ?? [])
      const choices = daemons.filter((daemon) => daemon !== other)
      const usable = choices.length > 0 ? choices : daemons
      return usable[nextIndex++ % Math.max(1, usable.length)]
    }
  }
}

interface ParsedResponse {
  readonly outcome: ReportedOutcome
  readonly code: string
  readonly text: TextComparison | undefined
}

/** Derives the outcome that a response reports to its caller. */
export function readResponse (kind: RequestKind, status: number | undefined, body: string, reason: string | undefined, expected: string): ParsedResponse {
  if (status === undefined) return { outcome: reason === 'ECONNREFUSED' ? 'unreachable' : 'broken', code: reason ?? 'broken', text: undefined }
  if (status !== 200) return readProblem(status, body, reason)
  if (kind === 'stream') return readStream(body, reason, expected)
  if (reason !== undefined) return { outcome: 'broken', code: reason, text: undefined }
  if (kind === 'call') return { outcome: 'done', code: 'ok', text: undefined }
  const { choices } = JSON.parse(body) as { readonly choices: readonly { readonly text: string }[] }
  return { outcome: 'done', code: 'ok', text: { expected, received: choices.map(({ text }) => text).join(''), hasEnded: true } }
}

function readProblem (status: number, body: string, reason: string | undefined): ParsedResponse {
  try {
    const { outcome, code } = JSON.parse(body) as { readonly outcome: ReportedOutcome, readonly code: string }
    return { outcome, code, text: undefined }
  } catch {
    return { outcome: 'broken', code: reason ?? `status-${status}`, text: undefined }
  }
}

function readStream (body: string, reason: string | undefined, expected: string): ParsedResponse {
  let received = ''
  let hasEnded = false
  let problem: { readonly outcome: ReportedOutcome, readonly code: string } | undefined
  for (const event of body.split('\n\n').slice(0, -1)) {
    const data = /^data: (.*)$/m.exec(event)?.[1]
    if (data === undefined) continue
    if (data === '[DONE]') hasEnded = true
    else if (event.startsWith('event: error')) problem = JSON.parse(data) as typeof problem
    else received += (JSON.parse(data) as { readonly choices: readonly { readonly text: string }[] }).choices.map(({ text }) => text).join('')
  }
  const text = { expected, received, hasEnded }
  if (hasEnded) return { outcome: 'done', code: 'ok', text }
  if (problem !== undefined) return { outcome: problem.outcome, code: problem.code, text }
  return reason === undefined ? { outcome: 'done', code: 'no-end-mark', text } : { outcome: 'broken', code: reason, text }
}
