import { createManualClock, type Clock, type Timer } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { createMemoryLogService, type LogService } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { err, ok, type Result } from 'true-myth/result'
import { claimStream, createClaimClient, createClaimOwner, requestFingerprint, type ClaimClient, type ClaimOwner, type ClaimResult, type KeptAnswer } from './index.js'

export const HORIZON_MILLISECONDS = 3_600_000

/** Latency of each way when nothing is slow. */
const LATENCY_MILLISECONDS = 2

/** Runs the callbacks of one process: at once, after its pause, or never when it was killed. */
export interface Gate {
  /** For messages and replies. */
  readonly run: (callback: () => void) => void
  readonly runTimer: (callback: () => void) => void
  readonly pause: () => void
  readonly resume: () => void
  readonly kill: () => void
  readonly isKilled: () => boolean
}

function createGate (): Gate {
  let status: 'running' | 'paused' | 'killed' = 'running'
  let timers: Array<() => void> = []
  let messages: Array<() => void> = []
  const runOrHold = (held: Array<() => void>, callback: () => void): void => {
    if (status === 'running') callback()
    else if (status === 'paused') held.push(callback)
  }
  return {
    run: (callback) => runOrHold(messages, callback),
    runTimer: (callback) => runOrHold(timers, callback),
    pause: () => { if (status === 'running') status = 'paused' },
    resume: () => {
      if (status !== 'paused') return
      status = 'running'
      // The event loop runs due timers before it reads from sockets.
      const due = [...timers, ...messages]
      timers = []
      messages = []
      for (const callback of due) callback()
    },
    kill: () => {
      status = 'killed'
      timers = []
      messages = []
    },
    isKilled: () => status === 'killed'
  }
}

function createGatedClock (clock: Clock, gate: Gate): Clock {
  const setTimer = (delay: number, callback: () => void): Timer => {
    let isCancelled = false
    const timer = clock.setTimer(delay, () => gate.runTimer(() => { if (!isCancelled) callback() }))
    return {
      cancel: () => {
        isCancelled = true
        timer.cancel()
      }
    }
  }
  const sleep = (delay: number, signal?: AbortSignal): Promise<void> => new Promise((resolve) => {
    const finish = (): void => {
      timer.cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimer(delay, finish)
    signal?.addEventListener('abort', finish)
    if (signal?.aborted === true) finish()
  })
  return { now: clock.now, wallNow: clock.wallNow, setTimer, sleep }
}

export interface Send {
  readonly key: string
  readonly claimId: string
  readonly daemon: string
}

export interface Answer {
  readonly daemon: string
  readonly key: string
  /** `sent` when this request's own call ran to its end. */
  readonly kind: ClaimResult['kind'] | 'sent' | 'given-up-after-grant'
  readonly claimId: string | undefined
}

export interface CallOptions {
  readonly key: string
  readonly body?: string
  readonly waitMilliseconds?: number
  /** The dispatch filter refuses the request after its grant and before its first byte. */
  readonly isRefusedAfterGrant?: boolean
}

export interface SimulatedDaemon {
  readonly name: string
  readonly gate: Gate
  readonly owner: ClaimOwner
  readonly client: ClaimClient
  readonly log: { readonly setCut: (cut: boolean) => void }
  /** Handles a caller's request as the filters do; a killed daemon never answers. */
  readonly call: (options: CallOptions) => Promise<Answer>
}

/** Time between grant and send, and time that the target takes. */
export const BEFORE_SEND_MILLISECONDS = 20
export const CALL_MILLISECONDS = 300

/** A key of version 7 for a wall time. */
export function makeKey (wallTime: number, suffix: number): string {
  const time = wallTime.toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${suffix.toString(16).padStart(12, '0')}`
}

/** Several daemons with one claims partition over the manual clock and the in-memory log service. */
export function createSimulation (names: readonly string[] = ['entry-1', 'entry-2', 'entry-3']) {
  const clock = createManualClock()
  const service = createMemoryLogService(clock)
  const daemons = new Map<string, SimulatedDaemon>()
  const all: SimulatedDaemon[] = []
  const sends: Send[] = []
  const answers: Answer[] = []
  const notSent: Array<{ readonly claimId: string, readonly sendsBefore: number }> = []
  /** Delays of appends, of their replies and of each way of a message between daemons. */
  const delays = { request: LATENCY_MILLISECONDS, reply: LATENCY_MILLISECONDS, peer: LATENCY_MILLISECONDS }
  let starts = 0

  const unreachable = (peer: string): FuchsiastageError =>
    createError({ code: 'peer-unreachable', message: 'the peer did not answer', step: 'peer', peer, outcome: 'unknown', status: 503 })

  const connectLog = (gate: Gate): LogService & { readonly setCut: (cut: boolean) => void } => {
    const connection = service.connect()
    const deliver = <Value>(work: () => Promise<Value>, requestDelay: number, replyDelay: number): Promise<Value> => new Promise((resolve) => {
      clock.setTimer(requestDelay, () => {
        void work().then((value) => clock.setTimer(replyDelay, () => gate.run(() => resolve(value))))
      })
    })
    return {
      append: (stream, values) => deliver(() => connection.append(stream, values), delays.request, delays.reply),
      read: (stream, from, options, signal) => deliver(() => connection.read(stream, from, options, signal), LATENCY_MILLISECONDS, LATENCY_MILLISECONDS),
      setCut: connection.setCut
    }
  }

  /** One message and its answer; the receiver's work runs under its own gate. */
  const callPeer = <Value>(from: Gate, peer: string, signal: AbortSignal, work: (daemon: SimulatedDaemon, signal: AbortSignal) => Promise<Value> | Value): Promise<Result<Value, FuchsiastageError>> =>
    new Promise((resolve) => {
      const remote = new AbortController()
      const answer = (result: Result<Value, FuchsiastageError>): void => {
        clock.setTimer(delays.peer, () => from.run(() => resolve(result)))
      }
      const daemon = daemons.get(peer)
      if (daemon === undefined || daemon.gate.isKilled()) {
        answer(err(unreachable(peer)))
        return
      }
      signal.addEventListener('abort', () => {
        resolve(err(unreachable(peer)))
        clock.setTimer(delays.peer, () => daemon.gate.run(() => remote.abort()))
      })
      clock.setTimer(delays.peer, () => daemon.gate.run(() => {
        void (async () => answer(ok(await work(daemon, remote.signal))))()
      }))
    })

  const start = (name: string): SimulatedDaemon => {
    const gate = createGate()
    const gatedClock = createGatedClock(clock, gate)
    const log = connectLog(gate)
    const { logger } = createMemoryLogger(clock, name)
    const owner = createClaimOwner({
      partition: 0,
      daemon: name,
      logService: log,
      clock: gatedClock,
      logger,
      timing: { renewMilliseconds: 3_000, lapseMilliseconds: 9_000, rankDelayMilliseconds: 1_500, doubtMilliseconds: 6_000, snapshotEveryRecords: 15, snapshotEveryMilliseconds: 60_000 },
      pollMilliseconds: 2_000,
      retryMilliseconds: 200,
      rank: () => names.indexOf(name),
      horizonMilliseconds: HORIZON_MILLISECONDS,
      lingerMilliseconds: 10,
      maximumAppendsPerSecond: 3,
      claimState: async (daemon, claimId, signal) => {
        const limit = new AbortController()
        const timer = gatedClock.setTimer(1_000, () => limit.abort())
        const result = await callPeer(gate, daemon, AbortSignal.any([signal, limit.signal]), (other) => {
          const state = other.client.claimState(claimId)
          if (state.kind === 'not-sent') notSent.push({ claimId, sendsBefore: sends.filter((send) => send.claimId === claimId).length })
          return state
        })
        timer.cancel()
        return result
      },
      grantGraceMilliseconds: 100,
      claimStatePollMilliseconds: 500
    })
    const client = createClaimClient({
      daemon: name,
      incarnation: `run${starts++}`,
      clock: gatedClock,
      logger,
      partitions: 1,
      ownersOf: () => names,
      transport: {
        claim: (peer, partition, message, signal) => callPeer(gate, peer, signal, (daemon, remote) => daemon.owner.claim(message, remote)),
        settle: (peer, partition, message, signal) => callPeer(gate, peer, signal, (daemon, remote) => daemon.owner.settle(message, remote))
      },
      retryMilliseconds: 200,
      callMilliseconds: 2_000,
      patienceMilliseconds: 20_000,
      rememberMilliseconds: HORIZON_MILLISECONDS
    })

    const dispatch = async (claimId: string, options: CallOptions): Promise<Answer['kind']> => {
      await gatedClock.sleep(BEFORE_SEND_MILLISECONDS)
      if (options.isRefusedAfterGrant === true) {
        void client.settle(claimId, 'not-run')
        return 'given-up-after-grant'
      }
      sends.push({ key: options.key, claimId, daemon: name })
      await gatedClock.sleep(CALL_MILLISECONDS)
      const answer: KeptAnswer = { status: 200, headers: { 'content-type': 'application/json' }, body: `{"run":"${claimId}"}` }
      void client.settle(claimId, 'done', answer)
      return 'sent'
    }

    const call = async (options: CallOptions): Promise<Answer> => {
      const { key, body = 'body', waitMilliseconds = 30_000 } = options
      const result = await client.claim({ caller: 'desk', key, fingerprint: requestFingerprint('POST', '/rollovers', body), waitMilliseconds }, new AbortController().signal)
      const kind = result.kind === 'granted' ? await dispatch(result.claimId, options) : result.kind
      const claimId = result.kind === 'granted' ? result.claimId : 'error' in result ? String(result.error.details?.claim) : undefined
      const answer: Answer = { daemon: name, key, kind, claimId }
      answers.push(answer)
      return answer
    }

    const daemon: SimulatedDaemon = { name, gate, owner, client, log, call }
    daemons.set(name, daemon)
    all.push(daemon)
    owner.start()
    return daemon
  }
  for (const name of names) start(name)

  const daemon = (name: string): SimulatedDaemon => {
    const found = daemons.get(name)
    if (found === undefined) throw new Error(`no daemon ${name}`)
    return found
  }

  return {
    clock,
    service,
    sends,
    answers,
    notSent,
    delays,
    daemon,
    stream: claimStream(0),
    key: (suffix: number, age = 0) => makeKey(clock.wallNow() - age, suffix),
    ownerName: () => [...daemons.values()].find((candidate) => !candidate.gate.isKilled() && candidate.owner.isOwner())?.name,
    /** Kills the process and starts a new one with the same name that knows nothing of it. */
    restart: (name: string) => {
      daemon(name).gate.kill()
      return start(name)
    },
    /** Drops all records that the newest snapshot covers. */
    expireToSnapshot: () => {
      const snapshots = service.contents(claimStream(0)).flatMap(({ value }) => {
        const record = value as { readonly kind: string, readonly throughOffset?: number }
        return record.kind === 'snapshot' && record.throughOffset !== undefined ? [record.throughOffset] : []
      })
      const through = snapshots.at(-1)
      if (through !== undefined) service.expire(claimStream(0), through + 1)
      return through !== undefined
    },
    heal: async () => {
      service.setDown(false)
      service.loseReplies(0)
      service.loseRequests(0)
      delays.request = LATENCY_MILLISECONDS
      delays.reply = LATENCY_MILLISECONDS
      delays.peer = LATENCY_MILLISECONDS
      for (const one of daemons.values()) {
        one.log.setCut(false)
        one.gate.resume()
      }
      await clock.advance(60_000)
    },
    /** Faults against the guarantees, as text; empty when all hold. */
    violations: (): readonly string[] => {
      const faults: string[] = []
      const runs = new Map<string, number>()
      for (const { key } of sends) runs.set(key, (runs.get(key) ?? 0) + 1)
      for (const [key, count] of runs) if (count > 1) faults.push(`key ${key} was sent ${count} times`)
      const sentClaims = new Set(sends.map(({ claimId }) => claimId))
      for (const { claimId, daemon: name, kind } of answers) {
        const saysNotRun = kind === 'refused' || kind === 'given-up-after-grant'
        if (saysNotRun && claimId !== undefined && sentClaims.has(claimId)) faults.push(`${name} answered not-run for the sent claim ${claimId}`)
      }
      for (const { claimId } of notSent) if (sentClaims.has(claimId)) faults.push(`claim ${claimId} was sent although its daemon answered not-sent`)
      return faults
    },
    close: () => {
      for (const one of all) {
        one.client.stop()
        one.gate.kill()
      }
    }
  }
}

export type Simulation = ReturnType<typeof createSimulation>
