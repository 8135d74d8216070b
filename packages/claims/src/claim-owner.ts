import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import { createLeasedStream, type LeasedStream, type LeaseTiming } from '@fuchsiastage/leased-stream'
import type { FollowerStatus, LogService } from '@fuchsiastage/log-client'
import type { Logger } from '@fuchsiastage/logger'
import { assertNever, type Milliseconds, type RequestOutcome } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import { createBatchWriter } from './batch-writer.js'
import { claimStream, daemonOfClaim } from './claim-identity.js'
import { findClaim, foldClaims, isKeyExpired, type BatchEntry, type ClaimsState, type HeldClaim } from './claims-fold.js'
import { createDeadline, createStopController, type Deadline } from './deadline.js'
import { parseIdempotencyKey } from './idempotency-key.js'
import type { ClaimAnswer, ClaimMessage, ClaimStateAnswer, StoredAnswer, SettleAnswer, SettleMessage } from './messages.js'

export interface ClaimOwnerOptions {
  readonly partition: number
  readonly daemon: string
  readonly logService: LogService
  readonly clock: Clock
  readonly logger: Logger
  readonly timing: LeaseTiming
  readonly pollMilliseconds: Milliseconds
  readonly retryMilliseconds: Milliseconds
  /** This daemon's rank among the daemons that watch the partition; undefined if it does not watch it. */
  readonly rank: () => number | undefined
  /** Version of the record format that the configuration permits for the claims streams. */
  readonly permittedFormat?: () => number
  /** Maximum age of an idempotency key. */
  readonly horizonMilliseconds: Milliseconds
  /** Delay before a batch of entries is closed, so that entries which arrive at about the same time share an append. */
  readonly lingerMilliseconds: Milliseconds
  readonly maximumAppendsPerSecond: number
  /** Requests the state of a claim from the daemon named in the claim's id, which can be the local daemon. */
  readonly claimState: (daemon: string, claimId: string, signal: AbortSignal) => Promise<Result<ClaimStateAnswer, FuchsiastageError>>
  /** Time after a grant during which the state of the claim is not requested, because the grant may still be in transit. */
  readonly grantGraceMilliseconds: Milliseconds
  /** Interval between state requests for a claim whose call is in flight. */
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

/** Maximum number of times that the entry of one claim message is written; it is written again when the key is free after the previous write was applied. */
const MAXIMUM_CLAIM_WRITES = 3

/** Time after which the owner responds `undecided` to a settlement that is not in the stream yet; the client repeats it. */
const SETTLE_TIMEOUT_MILLISECONDS = 10_000

/** Claims are retained for two horizons, so that the clocks of daemons may differ by up to one horizon. */
const RETENTION_IN_HORIZONS = 2

/** Result of one step of a claim: the final answer, or `check-again` to check the folded state once more. */
type ClaimStep =
  | { readonly kind: 'answer', readonly answer: ClaimAnswer }
  | { readonly kind: 'check-again' }

const CHECK_AGAIN: ClaimStep = { kind: 'check-again' }

function answerStep (answer: ClaimAnswer): ClaimStep {
  return { kind: 'answer', answer }
}

function settlementOf (message: { readonly caller: string, readonly key: string }, claimId: string, outcome: RequestOutcome, answer: StoredAnswer | undefined): BatchEntry {
  const { caller, key } = message
  return { kind: 'settlement', caller, key, claimId, outcome, ...(answer === undefined ? {} : { answer }) }
}

function doneAnswer (answer: StoredAnswer | undefined): ClaimAnswer {
  return answer === undefined ? { kind: 'already-done' } : { kind: 'replay', answer }
}

function expiredAnswer (wasHeld: boolean): ClaimAnswer {
  return wasHeld
    ? { kind: 'unknown', reason: 'the claim of the first call expired before the call was settled' }
    : { kind: 'refused', code: 'idempotency-key-expired', reason: 'claims with keys of this age have expired and are no longer stored' }
}

/**
 * Creates the watcher of one claims partition. While it holds the lease, it is the owner and decides claims.
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
    retentionMilliseconds: options.horizonMilliseconds * RETENTION_IN_HORIZONS
  })
  const stopping = createStopController()
  /** Times of this owner's recent grants, which may still be in transit, by claim id. */
  const grantTimes = new Map<string, Milliseconds>()

  const state = (): ClaimsState => stream.follower.view().state.payload
  const isOwner = (): boolean => stream.currentEpoch() !== undefined && stream.follower.view().status === 'current'
  const notOwner = (): { readonly kind: 'not-owner', readonly holder?: string } => {
    const holder = stream.holder()
    return holder === undefined || holder === options.daemon ? { kind: 'not-owner' } : { kind: 'not-owner', holder }
  }

  const grant = (message: ClaimMessage): ClaimStep => {
    for (const [claimId, time] of grantTimes) {
      if (clock.now() - time < options.grantGraceMilliseconds) break
      grantTimes.delete(claimId)
    }
    grantTimes.set(message.claimId, clock.now())
    logger.info('claim granted', { event: 'claim-grant-sent', claimId: message.claimId, caller: message.caller, key: message.key, partition })
    return answerStep({ kind: 'granted', claimId: message.claimId })
  }

  const writeClaim = async (message: ClaimMessage, deadline: Deadline, before: readonly BatchEntry[]): Promise<ClaimStep> => {
    const { caller, key, claimId, fingerprint } = message
    const result = await writer.submit([...before, { kind: 'claim', caller, key, claimId, fingerprint }], deadline.signal)
    switch (result) {
      case 'applied': return CHECK_AGAIN
      case 'not-holder': return answerStep(notOwner())
      case 'undecided': return answerStep({ kind: 'not-yet', isHeld: false })
      default: return assertNever(result)
    }
  }

  /** Waits until the claim on the key or its status changes, at most for the interval between state requests. */
  const waitForChange = async (message: ClaimMessage, held: HeldClaim, signal: AbortSignal): Promise<void> => {
    const wait = createDeadline(clock, options.claimStatePollMilliseconds, signal)
    const unsubscribe = stream.follower.events.on('applied', () => {
      const current = findClaim(state(), message.caller, message.key)
      if (current?.claimId !== held.claimId || current.status !== held.status) wait.abort()
    })
    await clock.sleep(options.claimStatePollMilliseconds, wait.signal)
    wait.release()
    unsubscribe()
  }

  /** Writes a settlement on behalf of the daemon that reported the outcome. For `not-run`, the same batch claims the freed key for the message. */
  const settleHeldClaim = async (message: ClaimMessage, held: HeldClaim, deadline: Deadline, outcome: RequestOutcome, answer: StoredAnswer | undefined): Promise<ClaimStep> => {
    const settlement = settlementOf(message, held.claimId, outcome, answer)
    if (outcome === 'not-run') return await writeClaim(message, deadline, [settlement])
    const result = await writer.submit([settlement], deadline.signal)
    if (result === 'applied') return CHECK_AGAIN
    // The outcome comes from the daemon that made the call, so it is final even if the record is not written.
    return answerStep(outcome === 'done' ? doneAnswer(answer) : { kind: 'unknown', reason: 'the outcome of the first call is unknown' })
  }

  /** Resolves an unsettled claim by requesting its state from the daemon that made it. */
  const resolveUnsettled = async (message: ClaimMessage, held: HeldClaim, deadline: Deadline): Promise<ClaimStep> => {
    const grantTime = grantTimes.get(held.claimId)
    const remainingGrace = grantTime === undefined ? 0 : grantTime + options.grantGraceMilliseconds - clock.now()
    if (remainingGrace > 0) {
      // The settlement usually arrives within the grace period; it ends the wait early.
      await waitForChange(message, held, deadline.signal)
      return CHECK_AGAIN
    }
    const daemon = daemonOfClaim(held.claimId)
    const response = await options.claimState(daemon, held.claimId, deadline.signal)
    if (response.isErr) {
      logger.warn('daemon of an unsettled claim is unreachable; reporting the outcome of its call as unknown', { event: 'claim-state-unreachable', claimId: held.claimId, peer: daemon, partition })
      return answerStep({ kind: 'unknown', reason: `daemon ${daemon}, which made the first call, is unreachable` })
    }
    const answer = response.value
    switch (answer.kind) {
      case 'not-sent': return await settleHeldClaim(message, held, deadline, 'not-run', undefined)
      case 'settled': return await settleHeldClaim(message, held, deadline, answer.outcome, answer.answer)
      case 'unknown': return answerStep({ kind: 'unknown', reason: `daemon ${daemon} has no record of the first call` })
      case 'in-flight':
        await waitForChange(message, held, deadline.signal)
        return CHECK_AGAIN
      default: return assertNever(answer)
    }
  }

  const handleHeldKey = async (message: ClaimMessage, held: HeldClaim, deadline: Deadline): Promise<ClaimStep> => {
    if (held.fingerprint !== message.fingerprint) return answerStep({ kind: 'mismatch' })
    switch (held.status) {
      case 'done': return answerStep(doneAnswer(held.answer))
      case 'unknown': return answerStep({ kind: 'unknown', reason: 'the outcome of the first call is unknown' })
      case 'unsettled':
        // A claim is granted only if the local fold contains it, which proves that its record was valid at its offset.
        return held.claimId === message.claimId ? grant(message) : await resolveUnsettled(message, held, deadline)
      default: return assertNever(held.status)
    }
  }

  const decide = async (message: ClaimMessage, deadline: Deadline): Promise<ClaimAnswer> => {
    let writes = 0
    let isHeld = false
    while (!deadline.signal.aborted) {
      // After a write the claim may be in the stream, and `not-owner` would state that it is not.
      if (!isOwner()) return isHeld || writes > 0 ? { kind: 'not-yet', isHeld } : notOwner()
      if (isKeyExpired(state(), message.key)) return expiredAnswer(isHeld)
      const held = findClaim(state(), message.caller, message.key)
      if (held === undefined && ++writes > MAXIMUM_CLAIM_WRITES) break
      isHeld = held !== undefined && held.claimId !== message.claimId
      const step = held === undefined ? await writeClaim(message, deadline, []) : await handleHeldKey(message, held, deadline)
      if (step.kind === 'answer') return step.answer
    }
    return { kind: 'not-yet', isHeld }
  }

  const parentSignals = (signal: AbortSignal | undefined): readonly AbortSignal[] =>
    signal === undefined ? [stopping.signal] : [signal, stopping.signal]

  const claim = async (message: ClaimMessage, signal?: AbortSignal): Promise<ClaimAnswer> => {
    if (!isOwner()) return notOwner()
    const key = parseIdempotencyKey(message.key, { wallNow: clock.wallNow(), horizonMilliseconds: options.horizonMilliseconds })
    if (key.isErr) return { kind: 'refused', code: key.error.code, reason: key.error.message }
    const deadline = createDeadline(clock, message.waitMilliseconds, ...parentSignals(signal))
    const answer = await decide({ ...message, key: key.value.key }, deadline)
    deadline.release()
    return answer
  }

  const settle = async (message: SettleMessage, signal?: AbortSignal): Promise<SettleAnswer> => {
    if (!isOwner()) return notOwner()
    const deadline = createDeadline(clock, SETTLE_TIMEOUT_MILLISECONDS, ...parentSignals(signal))
    const result = await writer.submit([settlementOf(message, message.claimId, message.outcome, message.answer)], deadline.signal)
    deadline.release()
    if (result === 'not-holder') return notOwner()
    const held = findClaim(state(), message.caller, message.key)
    const isUnsettled = held?.claimId === message.claimId && held.status === 'unsettled'
    return result === 'applied' && !isUnsettled ? { kind: 'confirmed' } : { kind: 'undecided' }
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
