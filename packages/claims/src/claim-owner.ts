import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import { createLeasedStream, type LeasedStream, type LeaseTiming } from '@fuchsiastage/leased-stream'
import type { FollowerStatus, LogService } from '@fuchsiastage/log-client'
import type { Logger } from '@fuchsiastage/logger'
import { assertNever, type Milliseconds, type RequestOutcome } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import { createBatchWriter } from './batch-writer.js'
import { claimStream, daemonOfClaim } from './claim-identity.js'
import { findClaim, foldClaims, isForgotten, type BatchEntry, type ClaimsState, type HeldClaim } from './claims-fold.js'
import { createDeadline, createStopController, type Deadline } from './deadline.js'
import { parseIdempotencyKey } from './idempotency-key.js'
import type { ClaimAnswer, ClaimMessage, ClaimStateAnswer, KeptAnswer, SettleAnswer, SettleMessage } from './messages.js'

export interface ClaimOwnerOptions {
  readonly partition: number
  readonly daemon: string
  readonly logService: LogService
  readonly clock: Clock
  readonly logger: Logger
  readonly timing: LeaseTiming
  readonly pollMilliseconds: Milliseconds
  readonly retryMilliseconds: Milliseconds
  /** This daemon's rank among the partition's watchers, or undefined when it is none. */
  readonly rank: () => number | undefined
  /** Record format that the configuration permits for the claims streams. */
  readonly permittedFormat?: () => number
  readonly horizonMilliseconds: Milliseconds
  readonly lingerMilliseconds: Milliseconds
  readonly maximumAppendsPerSecond: number
  /** Asks the daemon named in a claim, which may be this one. */
  readonly claimState: (daemon: string, claimId: string, signal: AbortSignal) => Promise<Result<ClaimStateAnswer, FuchsiastageError>>
  /** Time that a fresh grant may take to its daemon before that daemon is asked about the claim. */
  readonly grantGraceMilliseconds: Milliseconds
  /** Pause before the daemon of a call in flight is asked again. */
  readonly claimStatePollMilliseconds: Milliseconds
}

export interface ClaimOwner {
  readonly partition: number
  readonly start: () => void
  readonly stop: () => Promise<void>
  readonly resign: (signal: AbortSignal) => Promise<void>
  readonly isOwner: () => boolean
  readonly holder: () => string | undefined
  readonly status: () => FollowerStatus
  readonly state: () => ClaimsState
  readonly claim: (message: ClaimMessage, signal?: AbortSignal) => Promise<ClaimAnswer>
  readonly settle: (message: SettleMessage, signal?: AbortSignal) => Promise<SettleAnswer>
}

/** A claim entry that the fold rejects although the key looked free is written again this often. */
const MAXIMUM_WRITES = 3

/** Time after which a settlement that is not in the stream yet is answered `undecided`; the daemon repeats it. */
const SETTLE_MILLISECONDS = 10_000

/** Claims are remembered for twice the horizon, so clocks of daemons may differ by one horizon. */
const RETENTION_HORIZONS = 2

type Step =
  | { readonly kind: 'answer', readonly answer: ClaimAnswer }
  | { readonly kind: 'look-again' }

const LOOK_AGAIN: Step = { kind: 'look-again' }

function answered (answer: ClaimAnswer): Step {
  return { kind: 'answer', answer }
}

function settlementOf (message: { readonly caller: string, readonly key: string }, claimId: string, outcome: RequestOutcome, answer: KeptAnswer | undefined): BatchEntry {
  const { caller, key } = message
  return { kind: 'settlement', caller, key, claimId, outcome, ...(answer === undefined ? {} : { answer }) }
}

function answerDone (answer: KeptAnswer | undefined): ClaimAnswer {
  return answer === undefined ? { kind: 'already-done' } : { kind: 'replay', answer }
}

function forgotten (wasHeld: boolean): ClaimAnswer {
  return wasHeld
    ? { kind: 'unknown', reason: 'the first call did not end before its claim was forgotten' }
    : { kind: 'refused', code: 'idempotency-key-expired', reason: 'claims of the time inside the key have been forgotten' }
}

/**
 * Creates the watcher of one claims partition, which answers claims while it holds the lease.
 *
 * @example
 * const owner = createClaimOwner({ partition: 7, daemon: 'entry-1', rank: () => 0, claimState: peers.claimState, ...rest })
 * owner.start()
 */
export function createClaimOwner (options: ClaimOwnerOptions): ClaimOwner {
  const { partition, clock, logger } = options
  const stream: LeasedStream<ClaimsState> = createLeasedStream({ ...options, stream: claimStream(partition), fold: foldClaims })
  const writer = createBatchWriter({
    stream,
    clock,
    lingerMilliseconds: options.lingerMilliseconds,
    maximumAppendsPerSecond: options.maximumAppendsPerSecond,
    retentionMilliseconds: options.horizonMilliseconds * RETENTION_HORIZONS
  })
  const stopping = createStopController()
  /** Times of the own grants that may still be on their way. */
  const grantedAt = new Map<string, Milliseconds>()

  const state = (): ClaimsState => stream.follower.view().state.payload
  const isOwner = (): boolean => stream.currentEpoch() !== undefined && stream.follower.view().status === 'current'
  const notOwner = (): { readonly kind: 'not-owner', readonly holder?: string } => {
    const holder = stream.holder()
    return holder === undefined || holder === options.daemon ? { kind: 'not-owner' } : { kind: 'not-owner', holder }
  }

  const grant = (message: ClaimMessage): Step => {
    for (const [claimId, time] of grantedAt) {
      if (clock.now() - time < options.grantGraceMilliseconds) break
      grantedAt.delete(claimId)
    }
    grantedAt.set(message.claimId, clock.now())
    logger.info('claim granted', { event: 'claim-grant-sent', claimId: message.claimId, caller: message.caller, key: message.key, partition })
    return answered({ kind: 'granted', claimId: message.claimId })
  }

  const write = async (message: ClaimMessage, deadline: Deadline, before: readonly BatchEntry[]): Promise<Step> => {
    const { caller, key, claimId, fingerprint } = message
    const result = await writer.submit([...before, { kind: 'claim', caller, key, claimId, fingerprint }], deadline.signal)
    switch (result) {
      case 'applied': return LOOK_AGAIN
      case 'not-holder': return answered(notOwner())
      case 'undecided': return answered({ kind: 'not-yet', isHeld: false })
      default: return assertNever(result)
    }
  }

  /** Waits until the fold shows another claim on the key than the given one, or until it is time to ask again. */
  const waitForChange = async (message: ClaimMessage, held: HeldClaim, signal: AbortSignal): Promise<void> => {
    const wait = createDeadline(clock, options.claimStatePollMilliseconds, signal)
    const unsubscribe = stream.follower.events.on('applied', () => {
      const now = findClaim(state(), message.caller, message.key)
      if (now?.claimId !== held.claimId || now.status !== held.status) wait.abort()
    })
    await clock.sleep(options.claimStatePollMilliseconds, wait.signal)
    wait.release()
    unsubscribe()
  }

  const settleForDaemon = async (message: ClaimMessage, held: HeldClaim, deadline: Deadline, outcome: RequestOutcome, answer: KeptAnswer | undefined): Promise<Step> => {
    const settlement = settlementOf(message, held.claimId, outcome, answer)
    if (outcome === 'not-run') return await write(message, deadline, [settlement])
    const result = await writer.submit([settlement], deadline.signal)
    if (result === 'applied') return LOOK_AGAIN
    // The daemon that ran the call has stated the outcome, which is final with or without the record.
    return answered(outcome === 'done' ? answerDone(answer) : { kind: 'unknown', reason: 'the outcome of the first call is unknown' })
  }

  /** Asks the daemon of an unsettled claim. */
  const resolveUnsettled = async (message: ClaimMessage, held: HeldClaim, deadline: Deadline): Promise<Step> => {
    const granted = grantedAt.get(held.claimId)
    const grace = granted === undefined ? 0 : granted + options.grantGraceMilliseconds - clock.now()
    if (grace > 0) {
      // The settlement usually arrives within the grace; a repeated call need not wait for its end.
      await waitForChange(message, held, deadline.signal)
      return LOOK_AGAIN
    }
    const daemon = daemonOfClaim(held.claimId)
    const asked = await options.claimState(daemon, held.claimId, deadline.signal)
    if (asked.isErr) {
      logger.warn('daemon of an unsettled claim did not answer', { event: 'claim-state-unreachable', claimId: held.claimId, peer: daemon, partition })
      return answered({ kind: 'unknown', reason: `daemon ${daemon}, which made the first call, does not answer` })
    }
    const answer = asked.value
    switch (answer.kind) {
      case 'not-sent': return await settleForDaemon(message, held, deadline, 'not-run', undefined)
      case 'settled': return await settleForDaemon(message, held, deadline, answer.outcome, answer.answer)
      case 'unknown': return answered({ kind: 'unknown', reason: `daemon ${daemon} has no record of the first call` })
      case 'in-flight':
        await waitForChange(message, held, deadline.signal)
        return LOOK_AGAIN
      default: return assertNever(answer)
    }
  }

  const answerHeld = async (message: ClaimMessage, held: HeldClaim, deadline: Deadline): Promise<Step> => {
    if (held.fingerprint !== message.fingerprint) return answered({ kind: 'mismatch' })
    switch (held.status) {
      case 'done': return answered(answerDone(held.answer))
      case 'unknown': return answered({ kind: 'unknown', reason: 'the outcome of the first call is unknown' })
      case 'unsettled':
        // Only a claim that the own fold holds is granted: the record was valid at its place in the stream.
        return held.claimId === message.claimId ? grant(message) : await resolveUnsettled(message, held, deadline)
      default: return assertNever(held.status)
    }
  }

  const decide = async (message: ClaimMessage, deadline: Deadline): Promise<ClaimAnswer> => {
    let writes = 0
    let isHeld = false
    while (!deadline.signal.aborted) {
      // After a write the claim may be in the stream, which `not-owner` would deny.
      if (!isOwner()) return isHeld || writes > 0 ? { kind: 'not-yet', isHeld } : notOwner()
      if (isForgotten(state(), message.key)) return forgotten(isHeld)
      const held = findClaim(state(), message.caller, message.key)
      if (held === undefined && ++writes > MAXIMUM_WRITES) break
      isHeld = held !== undefined && held.claimId !== message.claimId
      const step = held === undefined ? await write(message, deadline, []) : await answerHeld(message, held, deadline)
      if (step.kind === 'answer') return step.answer
    }
    return { kind: 'not-yet', isHeld }
  }

  const outerSignals = (signal: AbortSignal | undefined): readonly AbortSignal[] =>
    signal === undefined ? [stopping.signal] : [signal, stopping.signal]

  const claim = async (message: ClaimMessage, signal?: AbortSignal): Promise<ClaimAnswer> => {
    if (!isOwner()) return notOwner()
    const key = parseIdempotencyKey(message.key, { wallNow: clock.wallNow(), horizonMilliseconds: options.horizonMilliseconds })
    if (key.isErr) return { kind: 'refused', code: key.error.code, reason: key.error.message }
    const deadline = createDeadline(clock, message.waitMilliseconds, ...outerSignals(signal))
    const answer = await decide({ ...message, key: key.value.key }, deadline)
    deadline.release()
    return answer
  }

  const settle = async (message: SettleMessage, signal?: AbortSignal): Promise<SettleAnswer> => {
    if (!isOwner()) return notOwner()
    const deadline = createDeadline(clock, SETTLE_MILLISECONDS, ...outerSignals(signal))
    const result = await writer.submit([settlementOf(message, message.claimId, message.outcome, message.answer)], deadline.signal)
    deadline.release()
    if (result === 'not-holder') return notOwner()
    const held = findClaim(state(), message.caller, message.key)
    const isOpen = held?.claimId === message.claimId && held.status === 'unsettled'
    return result === 'applied' && !isOpen ? { kind: 'confirmed' } : { kind: 'undecided' }
  }

  return {
    partition,
    start: () => {
      stream.events.on('lost', () => writer.abandon())
      stream.start()
    },
    stop: async () => {
      stopping.abort()
      writer.abandon()
      await stream.stop()
    },
    resign: (signal) => stream.resign(signal),
    isOwner,
    holder: () => stream.holder(),
    status: () => stream.follower.view().status,
    state,
    claim,
    settle
  }
}
