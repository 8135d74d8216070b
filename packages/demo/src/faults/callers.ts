import type { Clock } from '@fuchsiastage/clock'
import { expectedTokens } from '@fuchsiastage/stand-ins'
import type { Milliseconds } from '@fuchsiastage/types'
import { Agent, request } from 'undici'
import { makeIdempotencyKey, type Entries } from '../caller.js'
import type { Example } from '../example.js'
import type { RequestKind, RequestRecord, TextComparison, ToldOutcome } from './records.js'

export interface Callers {
  readonly records: readonly RequestRecord[]
  /** Requests without an answer, by daemon and kind. */
  readonly inFlight: (daemon: string, kind: RequestKind) => number
  /** Sends one request to a given daemon, outside the steady load. */
  readonly send: (kind: RequestKind, daemon: string, change?: Partial<RequestPlan>) => Promise<RequestRecord>
  /** Ends the load and waits for the answers. */
  readonly stop: () => Promise<void>
}

export interface RequestPlan {
  readonly model: string
  readonly token: string
  readonly deadlineMilliseconds: Milliseconds
  readonly key: string
}

/** Time between two requests of the steady load. */
const INTERVAL_MILLISECONDS = 60
const KINDS: readonly RequestKind[] = ['stream', 'call', 'plain', 'call', 'stream']
const DEADLINES: Readonly<Record<RequestKind, Milliseconds>> = { stream: 15_000, plain: 10_000, call: 4_000 }
const TOKENS: Readonly<Record<RequestKind, number>> = { stream: 80, plain: 20, call: 0 }

/** Each group keeps an entry answer of its own, as separate programs do. */
const GROUPS = 5
/** One of so many calls is sent to a second entry while the first one is still waiting. */
const DOUBLED_CALLS = 5
const RETRIES = 3
const RETRY_MILLISECONDS = 400
/** How late the callers' own timers run is measured, so that it is not taken for lateness of an answer. */
const LAG_INTERVAL_MILLISECONDS = 50
const NOTED_LAG_MILLISECONDS = 20
const ENTRIES_TIMEOUT_MILLISECONDS = 1_000
/** A request that has no answer this long after its deadline is given up and fails the check of deadlines. */
const GIVE_UP_MILLISECONDS = 30_000

/**
 * Starts callers that send streams, plain completions and calls at a steady rate, whether or not
 * earlier requests have been answered. A call without a result is sent again with its key at another entry.
 *
 * @example
 * const callers = startCallers(clock, example)
 */
export function startCallers (clock: Clock, example: Example): Callers {
  const agent = new Agent({ connections: 512, headersTimeout: 0, bodyTimeout: 0 })
  const records: RequestRecord[] = []
  const waiting = new Map<string, number>()
  const pending = new Set<Promise<unknown>>()
  const ending = new AbortController()
  const daemons = [...example.settings.keys()]
  const daemonAt = new Map(daemons.map((daemon) => [example.settings.get(daemon)?.listen.callers ?? '', daemon]))
  let sequence = 0

  const changeWaiting = (name: string, change: number): void => { waiting.set(name, (waiting.get(name) ?? 0) + change) }
  const callsOf = (kind: RequestKind, plan: Partial<RequestPlan>): { path: string, token: string, body: object, expected: string } => {
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

  const exchange = async (kind: RequestKind, daemon: string, plan: Partial<RequestPlan>): Promise<RequestRecord> => {
    const { path, token, body, expected } = callsOf(kind, plan)
    const deadlineMilliseconds = plan.deadlineMilliseconds ?? DEADLINES[kind]
    const key = kind === 'call' ? plan.key ?? makeIdempotencyKey(clock.wallNow()) : undefined
    const sentAt = clock.now()
    const giveUp = new AbortController()
    const timer = clock.setTimer(deadlineMilliseconds + GIVE_UP_MILLISECONDS, () => giveUp.abort())
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
        signal: giveUp.signal
      })
      status = response.statusCode
      requestId = String(response.headers['x-request-id'])
      for await (const chunk of response.body) chunks.push(chunk as Buffer)
    } catch (error) {
      reason = String((error as { code?: unknown }).code ?? error)
    } finally {
      timer.cancel()
    }
    const told = readAnswer(kind, status, Buffer.concat(chunks).toString('utf8'), reason, expected)
    const endedAt = clock.now()
    return { kind, daemon, sentAt, deadlineMilliseconds, endedAt, status, requestId, key, callerLagMilliseconds: lagDuring(sentAt), ...told }
  }

  const send = async (kind: RequestKind, daemon: string, plan: Partial<RequestPlan> = {}): Promise<RequestRecord> => {
    const name = `${daemon} ${kind}`
    changeWaiting(name, 1)
    const record = await exchange(kind, daemon, plan)
    changeWaiting(name, -1)
    records.push(record)
    return record
  }

  const lags: { readonly at: Milliseconds, readonly lag: Milliseconds }[] = []
  const lagDuring = (from: Milliseconds): Milliseconds => Math.max(0, ...lags.filter(({ at }) => at >= from).map(({ lag }) => lag))
  const watchLag = async (): Promise<void> => {
    while (!ending.signal.aborted) {
      const startedAt = clock.now()
      await clock.sleep(LAG_INTERVAL_MILLISECONDS)
      const lag = clock.now() - startedAt - LAG_INTERVAL_MILLISECONDS
      if (lag >= NOTED_LAG_MILLISECONDS) lags.push({ at: clock.now(), lag })
    }
  }
  const groups = Array.from({ length: GROUPS }, (_, index) => createGroup(clock, example, daemonAt, index))
  const sendNext = async (turn: number): Promise<void> => {
    const kind = KINDS[turn % KINDS.length] ?? 'stream'
    const group = groups[turn % GROUPS]
    const daemon = await group?.nextDaemon()
    if (group === undefined || daemon === undefined) return
    if (kind !== 'call') {
      const record = await send(kind, daemon)
      if (record.outcome === 'unreachable') await group.nextDaemon(daemon)
      return
    }
    const key = makeIdempotencyKey(clock.wallNow())
    const isDoubled = Math.floor(turn / KINDS.length) % DOUBLED_CALLS === 0
    const second = isDoubled ? await group.nextDaemon(daemon) : undefined
    const [record] = await Promise.all([send(kind, daemon, { key }), ...(second === undefined ? [] : [send(kind, second, { key })])])
    let last = record
    for (let retry = 0; last.outcome !== 'done' && retry < RETRIES; retry++) {
      await clock.sleep(RETRY_MILLISECONDS)
      const other = await group.nextDaemon(last.daemon)
      if (other === undefined) break
      last = await send(kind, other, { key })
    }
  }
  const track = (work: Promise<unknown>): void => {
    pending.add(work)
    void work.finally(() => pending.delete(work))
  }
  const run = async (): Promise<void> => {
    for (let turn = 0; !ending.signal.aborted; turn++) {
      track(sendNext(turn))
      await clock.sleep(INTERVAL_MILLISECONDS, ending.signal)
    }
  }
  const running = Promise.all([run(), watchLag()])
  return {
    records,
    inFlight: (daemon, kind) => waiting.get(`${daemon} ${kind}`) ?? 0,
    send,
    stop: async () => {
      ending.abort()
      await running
      await Promise.all(pending)
      await agent.close()
    }
  }
}

interface Group {
  /** The next entry to use, other than the given one when there is a choice. */
  readonly nextDaemon: (other?: string) => Promise<string | undefined>
}

function createGroup (clock: Clock, example: Example, daemonAt: ReadonlyMap<string, string>, index: number): Group {
  const addresses = [...daemonAt.keys()]
  let known: Entries = { entries: [], keepMilliseconds: 0 }
  let askedAt = -Infinity
  let asking: Promise<void> | undefined
  let turn = index
  const ask = async (): Promise<void> => {
    for (let attempt = 0; attempt < addresses.length; attempt++) {
      const address = addresses[(turn + attempt) % addresses.length] ?? ''
      const timeout = new AbortController()
      const timer = clock.setTimer(ENTRIES_TIMEOUT_MILLISECONDS, () => timeout.abort())
      const startedAt = clock.now()
      try {
        const response = await request(`http://${address}/v1/entries`, { signal: timeout.signal })
        known = await response.body.json() as Entries
        askedAt = startedAt
        if (known.entries.length > 0) return
      } catch {
        // A daemon that is down or paused is passed over, as a caller does.
      } finally {
        timer.cancel()
      }
    }
  }
  return {
    nextDaemon: async (other) => {
      if (clock.now() - askedAt >= known.keepMilliseconds) {
        asking ??= ask().finally(() => { asking = undefined })
        await asking
      }
      const daemons = known.entries.flatMap(({ address }) => daemonAt.get(address) ?? [])
      const choices = daemons.filter((daemon) => daemon !== other)
      const usable = choices.length > 0 ? choices : daemons
      return usable[turn++ % Math.max(1, usable.length)]
    }
  }
}

interface Told {
  readonly outcome: ToldOutcome
  readonly code: string
  readonly text: TextComparison | undefined
}

/** Reads what an answer tells its caller. */
export function readAnswer (kind: RequestKind, status: number | undefined, body: string, reason: string | undefined, expected: string): Told {
  if (status === undefined) return { outcome: reason === 'ECONNREFUSED' ? 'unreachable' : 'broken', code: reason ?? 'broken', text: undefined }
  if (status !== 200) return readProblem(status, body, reason)
  if (kind === 'stream') return readStream(body, reason, expected)
  if (reason !== undefined) return { outcome: 'broken', code: reason, text: undefined }
  if (kind === 'call') return { outcome: 'done', code: 'ok', text: undefined }
  const { choices } = JSON.parse(body) as { readonly choices: readonly { readonly text: string }[] }
  return { outcome: 'done', code: 'ok', text: { expected, received: choices.map(({ text }) => text).join(''), hasEnded: true } }
}

function readProblem (status: number, body: string, reason: string | undefined): Told {
  try {
    const { outcome, code } = JSON.parse(body) as { readonly outcome: ToldOutcome, readonly code: string }
    return { outcome, code, text: undefined }
  } catch {
    return { outcome: 'broken', code: reason ?? `status-${status}`, text: undefined }
  }
}

function readStream (body: string, reason: string | undefined, expected: string): Told {
  let received = ''
  let hasEnded = false
  let problem: { readonly outcome: ToldOutcome, readonly code: string } | undefined
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
