import { createManualClock, type Clock, type Timer } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { createMemoryLogService, type LogService } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { err, ok, type Result } from 'true-myth/result'
import { claimStream, createClaimClient, createClaimOwner, requestFingerprint, type ClaimClient, type ClaimOwner, type ClaimResult, type StoredAnswer } from './index.js'

export const HORIZON_MILLISECONDS = 3_600_000

/** One-way latency in the absence of faults. */
const LATENCY_MILLISECONDS = 2

/** Controls when the callbacks of a simulated process run: immediately, when the process resumes, or never if it was killed. */
export interface ProcessGate {
  /** Runs a callback for a received message or reply. */
  readonly run: (callback: () => void) => void
  /** Runs a callback of a timer. */
  readonly runTimer: (callback: () => void) => void
  readonly pause: () => void
  readonly resume: () => void
  readonly kill: () => void
  readonly isKilled: () => boolean
}

function createGate (): ProcessGate {
  let status: 'running' | 'paused' | 'killed' = 'running'
  let queuedTimers: Array<() => void> = []
  let queuedMessages: Array<() => void> = []
  const runOrQueue = (queue: Array<() => void>, callback: () => void): void => {
    if (status === 'running') callback()
    else if (status === 'paused') queue.push(callback)
  }
  return {
    run: (callback) => runOrQueue(queuedMessages, callback),
    runTimer: (callback) => runOrQueue(queuedTimers, callback),
    pause: () => { if (status === 'running') status = 'paused' },
    resume: () => {
      if (status !== 'paused') return
      status = 'running'
      // After a pause, the event loop runs due timers before it reads from sockets.
      const due = [...queuedTimers, ...queuedMessages]
      queuedTimers = []
      queuedMessages = []
      for (const callback of due) callback()
    },
    kill: () => {
      status = 'killed'
      queuedTimers = []
      queuedMessages = []
    },
    isKilled: () => status === 'killed'
  }
}

function createGatedClock (clock: Clock, gate: ProcessGate): Clock {
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

/** A request that was sent to the target. */
export interface Send {
  readonly key: string
  readonly claimId: string
  readonly daemon: string
}

export interface CallResult {
  readonly daemon: string
  readonly key: string
  /** `sent`: the call of this request was sent and completed. */
  readonly kind: ClaimResult['kind'] | 'sent' | 'refused-after-grant'
  readonly claimId: string | undefined
}

export interface CallOptions {
  readonly key: string
  readonly body?: string
  readonly waitMilliseconds?: number
  /** The dispatch filter refuses the request after the grant and before the first byte is sent. */
  readonly isRefusedAfterGrant?: boolean
}

export interface SimulatedDaemon {
  readonly name: string
  readonly gate: ProcessGate
  readonly owner: ClaimOwner
  readonly client: ClaimClient
  readonly log: { readonly setCut: (cut: boolean) => void }
  /** Handles a caller's request like the filter chain; does not resolve if the daemon is killed. */
  readonly call: (options: CallOptions) => Promise<CallResult>
}

/** Time between the grant of a claim and the sending of its request. */
export const BEFORE_SEND_MILLISECONDS = 20
/** Service time of the target. */
export const CALL_MILLISECONDS = 300

/** Returns a UUID of version 7 with the given timestamp. */
export function makeKey (wallTime: number, suffix: number): string {
  const time = wallTime.toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${suffix.toString(16).padStart(12, '0')}`
}

/** Simulates several daemons that share one claims partition, with a manual clock and an in-memory log service. */
export function createSimulation (names: readonly string[] = ['entry-1', 'entry-2', 'entry-3']) {
  const clock = createManualClock()
  const service = createMemoryLogService(clock)
  const daemons = new Map<string, SimulatedDaemon>()
  const allProcesses: SimulatedDaemon[] = []
  const sends: Send[] = []
  const callResults: CallResult[] = []
  /** Claims that a daemon has reported as `not-sent` to an owner. */
  const notSentReports: Array<{ readonly claimId: string, readonly sendsBefore: number }> = []
  /** One-way delays of appends, of their replies, and of messages between daemons. */
  const delays = { request: LATENCY_MILLISECONDS, reply: LATENCY_MILLISECONDS, peer: LATENCY_MILLISECONDS }
  let startedProcesses = 0

  const unreachable = (peer: string): FuchsiastageError =>
    createError({ code: 'peer-unreachable', message: 'the peer is unreachable', step: 'peer', peer, outcome: 'unknown', status: 503 })

  const connectLog = (gate: ProcessGate): LogService & { readonly setCut: (cut: boolean) => void } => {
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

  /** Sends a message to a peer and returns its response. The peer processes the message under its own gate. */
  const callPeer = <Value>(from: ProcessGate, peer: string, signal: AbortSignal, work: (daemon: SimulatedDaemon, signal: AbortSignal) => Promise<Value> | Value): Promise<Result<Value, FuchsiastageError>> =>
    new Promise((resolve) => {
      const remote = new AbortController()
      const respond = (result: Result<Value, FuchsiastageError>): void => {
        clock.setTimer(delays.peer, () => from.run(() => resolve(result)))
      }
      const daemon = daemons.get(peer)
      if (daemon === undefined || daemon.gate.isKilled()) {
        respond(err(unreachable(peer)))
        return
      }
      signal.addEventListener('abort', () => {
        resolve(err(unreachable(peer)))
        clock.setTimer(delays.peer, () => daemon.gate.run(() => remote.abort()))
      })
      clock.setTimer(delays.peer, () => daemon.gate.run(() => {
        void (async () => respond(ok(await work(daemon, remote.signal))))()
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
          if (state.kind === 'not-sent') notSentReports.push({ claimId, sendsBefore: sends.filter((send) => send.claimId === claimId).length })
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
      incarnation: `run${startedProcesses++}`,
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
      ownerTimeoutMilliseconds: 20_000,
      claimRetentionMilliseconds: HORIZON_MILLISECONDS
    })

    const dispatch = async (claimId: string, options: CallOptions): Promise<CallResult['kind']> => {
      await gatedClock.sleep(BEFORE_SEND_MILLISECONDS)
      if (options.isRefusedAfterGrant === true) {
        void client.settle(claimId, 'not-run')
        return 'refused-after-grant'
      }
      sends.push({ key: options.key, claimId, daemon: name })
      await gatedClock.sleep(CALL_MILLISECONDS)
      const answer: StoredAnswer = { status: 200, headers: { 'content-type': 'application/json' }, body: `{"run":"${claimId}"}` }
      void client.settle(claimId, 'done', answer)
      return 'sent'
    }

    const call = async (options: CallOptions): Promise<CallResult> => {
      const { key, body = 'body', waitMilliseconds = 30_000 } = options
      const result = await client.claim({ caller: 'desk', key, fingerprint: requestFingerprint('POST', '/rollovers', body), waitMilliseconds }, new AbortController().signal)
      const kind = result.kind === 'granted' ? await dispatch(result.claimId, options) : result.kind
      const claimId = result.kind === 'granted' ? result.claimId : 'error' in result ? String(result.error.details?.claim) : undefined
      const callResult: CallResult = { daemon: name, key, kind, claimId }
      callResults.push(callResult)
      return callResult
    }

    const daemon: SimulatedDaemon = { name, gate, owner, client, log, call }
    daemons.set(name, daemon)
    allProcesses.push(daemon)
    owner.start()
    return daemon
  }
  for (const name of names) start(name)

  const daemon = (name: string): SimulatedDaemon => {
    const found = daemons.get(name)
    if (found === undefined) throw new Error(`unknown daemon ${name}`)
    return found
  }

  return {
    clock,
    service,
    sends,
    callResults,
    notSentReports,
    delays,
    daemon,
    stream: claimStream(0),
    key: (suffix: number, age = 0) => makeKey(clock.wallNow() - age, suffix),
    ownerName: () => [...daemons.values()].find((candidate) => !candidate.gate.isKilled() && candidate.owner.isOwner())?.name,
    /** Kills the daemon's process and starts a new one with the same name and no state. */
    restart: (name: string) => {
      daemon(name).gate.kill()
      return start(name)
    },
    /** Expires all records that the newest snapshot covers. */
    expireToSnapshot: () => {
      const snapshots = service.contents(claimStream(0)).flatMap(({ value }) => {
        const record = value as { readonly kind: string, readonly throughOffset?: number }
        return record.kind === 'snapshot' && record.throughOffset !== undefined ? [record.throughOffset] : []
      })
      const throughOffset = snapshots.at(-1)
      if (throughOffset !== undefined) service.expire(claimStream(0), throughOffset + 1)
      return throughOffset !== undefined
    },
    /** Ends all faults and waits until the daemons have recovered. */
    heal: async () => {
      service.setDown(false)
      service.loseReplies(0)
      service.loseRequests(0)
      delays.request = LATENCY_MILLISECONDS
      delays.reply = LATENCY_MILLISECONDS
      delays.peer = LATENCY_MILLISECONDS
      for (const simulated of daemons.values()) {
        simulated.log.setCut(false)
        simulated.gate.resume()
      }
      await clock.advance(60_000)
    },
    /** Describes all violations of the guarantees; empty if there are none. */
    violations: (): readonly string[] => {
      const violations: string[] = []
      const sendCounts = new Map<string, number>()
      for (const { key } of sends) sendCounts.set(key, (sendCounts.get(key) ?? 0) + 1)
      for (const [key, count] of sendCounts) if (count > 1) violations.push(`key ${key} was sent ${count} times`)
      const sentClaims = new Set(sends.map(({ claimId }) => claimId))
      for (const { claimId, daemon: name, kind } of callResults) {
        const reportsNotRun = kind === 'refused' || kind === 'refused-after-grant'
        if (reportsNotRun && claimId !== undefined && sentClaims.has(claimId)) violations.push(`${name} reported not-run for claim ${claimId}, which was sent`)
      }
      for (const { claimId } of notSentReports) if (sentClaims.has(claimId)) violations.push(`claim ${claimId} was sent although its daemon had reported not-sent`)
      return violations
    },
    close: () => {
      for (const simulated of allProcesses) {
        simulated.client.stop()
        simulated.gate.kill()
      }
    }
  }
}

export type Simulation = ReturnType<typeof createSimulation>
