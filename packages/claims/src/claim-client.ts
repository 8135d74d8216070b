import type { Clock } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Logger } from '@fuchsiastage/logger'
import { assertNever, type Milliseconds, type RequestOutcome } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import { claimPartition, makeClaimId } from './claim-identity.js'
import { createDeadline, createStopController, raceAbort, type Deadline } from './deadline.js'
import {
  STORED_ANSWER_LIMIT_BYTES,
  storedAnswerBytes,
  type ClaimAnswer,
  type ClaimMessage,
  type ClaimResult,
  type ClaimStateAnswer,
  type StoredAnswer,
  type SettleAnswer,
  type SettleMessage
} from './messages.js'

/** Calls to the daemon that may own a partition, which can be the local daemon. */
export interface ClaimTransport {
  readonly claim: (daemon: string, partition: number, message: ClaimMessage, signal: AbortSignal) => Promise<Result<ClaimAnswer, FuchsiastageError>>
  readonly settle: (daemon: string, partition: number, message: SettleMessage, signal: AbortSignal) => Promise<Result<SettleAnswer, FuchsiastageError>>
}

export interface ClaimClientOptions {
  readonly daemon: string
  /** Unique per process start. */
  readonly incarnation: string
  readonly clock: Clock
  readonly logger: Logger
  readonly partitions: number
  /** Daemons that may own the partition, the most likely owner first. */
  readonly ownersOf: (partition: number) => readonly string[]
  readonly transport: ClaimTransport
  /** Interval between claim attempts, and first interval between settlement attempts. */
  readonly retryMilliseconds: Milliseconds
  /** Maximum time that an owner may spend on one message before the client repeats it. */
  readonly callMilliseconds: Milliseconds
  /** Time after which the client stops trying, even before the deadline. It restarts when an owner responds that another claim holds the key. */
  readonly ownerTimeoutMilliseconds: Milliseconds
  /** How long finished claims are stored for `claimState`. The maximum age of a key is sufficient. */
  readonly claimRetentionMilliseconds: Milliseconds
}

export interface ClaimRequest {
  readonly caller: string
  /** Normalised key, as returned by `parseIdempotencyKey`. */
  readonly key: string
  readonly fingerprint: string
  /** Time remaining until the caller's deadline. */
  readonly waitMilliseconds: Milliseconds
}

export interface ClaimClient {
  readonly claim: (request: ClaimRequest, signal: AbortSignal) => Promise<ClaimResult>
  /** Reports the outcome of the call of a granted claim; resolves when the settlement is confirmed in the stream. */
  readonly settle: (claimId: string, outcome: RequestOutcome, answer?: StoredAnswer) => Promise<void>
  /** Returns the state of a claim to an owner. A claim that has not been granted yet is given up permanently. */
  readonly claimState: (claimId: string) => ClaimStateAnswer
  /** Number of claims that are granted, or whose settlement has not been confirmed yet. */
  readonly unsettledCount: () => number
  /** Stops pending claims and the retries of settlements. */
  readonly stop: () => void
}

/** `pending`: no grant has been accepted yet. `given-up`: no grant will be accepted any more. */
type ClaimPhase =
  | { readonly kind: 'pending' }
  | { readonly kind: 'given-up' }
  | { readonly kind: 'granted' }
  | { readonly kind: 'settled', readonly outcome: RequestOutcome, readonly answer: StoredAnswer | undefined }

interface LocalClaim {
  readonly claimId: string
  readonly partition: number
  readonly request: ClaimRequest
  /** Aborts the pending claim when it is given up. */
  readonly abortController: AbortController
  phase: ClaimPhase
  /** Number of claim messages after which the claim may be in the stream, because the answer is missing or does not rule it out. */
  undecidedCalls: number
  /** Number of settlements that are not confirmed yet. */
  pendingSettlements: number
  /** Resolves when the newest settlement is confirmed or the client is stopped; the next settlement is sent afterwards. */
  lastSettlement: Promise<void>
  /** Time at which the claim was given up or its last settlement was confirmed. */
  endedAt: Milliseconds | undefined
}

/** Added to the owner's processing time to allow for the network round trip. */
const CALL_MARGIN_MILLISECONDS = 1_000

/** Maximum part of the remaining time that is reserved for the transmission of the owner's response. */
const RESPONSE_RESERVE_MILLISECONDS = 50

const MAXIMUM_SETTLE_RETRY_MILLISECONDS = 8_000

/**
 * Maximum retry interval for the settlements of claims that were given up. During an outage of the
 * log service, every refused call leaves such a settlement. They are not urgent, because an owner
 * that finds an unsettled claim requests its state from this daemon.
 */
const MAXIMUM_GIVEN_UP_RETRY_MILLISECONDS = 60_000

/** Retry delay for the caller: the expected time until a lapsed lease of the partition has been acquired by another daemon. */
const RETRY_AFTER_MILLISECONDS = 10_000

function claimError (claimId: string, code: string, message: string, status: number, outcome: RequestOutcome): FuchsiastageError {
  const retry = status === 503 || code === 'call-in-flight' ? { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS } : {}
  return createError({ code, message, step: 'claim', status, outcome, details: { claim: claimId }, ...retry })
}

/** Returns whether the answer guarantees that the message has left no claim in the stream. */
function excludesClaimRecord (answer: ClaimAnswer): boolean {
  return answer.kind !== 'granted' && answer.kind !== 'not-yet'
}

/**
 * Creates the client side of the claims protocol, which runs in the daemon that received the caller's request.
 *
 * @example
 * const claimed = await client.claim({ caller, key, fingerprint, waitMilliseconds: 5_000 }, signal)
 * if (claimed.kind === 'granted') await client.settle(claimed.claimId, 'done', answer)
 */
export function createClaimClient (options: ClaimClientOptions): ClaimClient {
  const { daemon, incarnation, clock, logger, transport } = options
  const claims = new Map<string, LocalClaim>()
  const stopping = createStopController()
  let claimCount = 0

  /** Deletes expired claims in order of creation, up to the first that must still be stored. */
  const removeExpiredClaims = (): void => {
    for (const [claimId, localClaim] of claims) {
      if (localClaim.endedAt === undefined || localClaim.pendingSettlements > 0 || clock.now() - localClaim.endedAt < options.claimRetentionMilliseconds) return
      claims.delete(claimId)
    }
  }

  const createClaim = (request: ClaimRequest): LocalClaim => {
    removeExpiredClaims()
    const localClaim: LocalClaim = {
      claimId: makeClaimId(daemon, incarnation, claimCount++),
      partition: claimPartition(request.caller, request.key, options.partitions),
      request,
      abortController: new AbortController(),
      phase: { kind: 'pending' },
      undecidedCalls: 0,
      pendingSettlements: 0,
      lastSettlement: Promise.resolve(),
      endedAt: undefined
    }
    claims.set(localClaim.claimId, localClaim)
    return localClaim
  }

  /** Sends a request to the candidate owners in order, and to the lease holder that a candidate names. Returns undefined if none of them responds as the owner. */
  const requestFromOwners = async <Answer extends { readonly kind: string }> (
    partition: number,
    sendTo: (owner: string) => Promise<Result<Answer, FuchsiastageError> | undefined>,
    signal: AbortSignal
  ): Promise<Exclude<Answer, { readonly kind: 'not-owner' }> | undefined> => {
    const tried = new Set<string>()
    const candidates = [...options.ownersOf(partition)]
    for (let owner = candidates.shift(); owner !== undefined && !signal.aborted; owner = candidates.shift()) {
      if (tried.has(owner)) continue
      tried.add(owner)
      const result = await sendTo(owner)
      if (result === undefined || result.isErr) continue
      if (result.value.kind !== 'not-owner') return result.value as Exclude<Answer, { readonly kind: 'not-owner' }>
      const { holder } = result.value as { readonly holder?: string }
      if (holder !== undefined) candidates.unshift(holder)
    }
    return undefined
  }

  const deliverSettlement = async (localClaim: LocalClaim, outcome: RequestOutcome, answer: StoredAnswer | undefined): Promise<void> => {
    const { claimId, partition, request: { caller, key } } = localClaim
    const message: SettleMessage = { caller, key, claimId, outcome, ...(answer === undefined ? {} : { answer }) }
    let retryDelayMilliseconds = options.retryMilliseconds
    while (!stopping.signal.aborted) {
      const settled = await requestFromOwners(partition, async (owner) => {
        const limit = createDeadline(clock, options.callMilliseconds + CALL_MARGIN_MILLISECONDS, stopping.signal)
        const result = await raceAbort(transport.settle(owner, partition, message, limit.signal), limit.signal)
        limit.release()
        return result
      }, stopping.signal)
      if (settled?.kind === 'confirmed') return
      await clock.sleep(retryDelayMilliseconds, stopping.signal)
      retryDelayMilliseconds = Math.min(retryDelayMilliseconds * 2, localClaim.phase.kind === 'given-up' ? MAXIMUM_GIVEN_UP_RETRY_MILLISECONDS : MAXIMUM_SETTLE_RETRY_MILLISECONDS)
    }
  }

  /** Starts the delivery of a settlement. Settlements of the same claim are delivered one at a time. */
  const startSettlement = (localClaim: LocalClaim, outcome: RequestOutcome, answer: StoredAnswer | undefined): Promise<void> => {
    localClaim.pendingSettlements++
    localClaim.lastSettlement = localClaim.lastSettlement.then(async () => {
      await deliverSettlement(localClaim, outcome, answer)
      localClaim.pendingSettlements--
      localClaim.endedAt = clock.now()
      // The stream now contains the response, so the local copy is no longer needed.
      if (localClaim.phase.kind === 'settled') localClaim.phase = { kind: 'settled', outcome, answer: undefined }
    })
    return localClaim.lastSettlement
  }

  const giveUp = (localClaim: LocalClaim): void => {
    if (localClaim.phase.kind !== 'pending') return
    localClaim.phase = { kind: 'given-up' }
    localClaim.endedAt = clock.now()
    localClaim.abortController.abort()
    if (localClaim.undecidedCalls > 0) void startSettlement(localClaim, 'not-run', undefined)
  }

  const requestClaim = async (localClaim: LocalClaim, deadline: Deadline): Promise<ClaimAnswer | undefined> => {
    const { claimId, partition, request: { caller, key, fingerprint } } = localClaim
    return await requestFromOwners<ClaimAnswer>(partition, async (owner) => {
      const remaining = deadline.remaining()
      // The owner's response must arrive before the deadline, because only the owner knows whether another claim holds the key.
      const waitMilliseconds = Math.min(options.callMilliseconds, remaining - Math.min(RESPONSE_RESERVE_MILLISECONDS, remaining / 4))
      const limit = createDeadline(clock, waitMilliseconds + CALL_MARGIN_MILLISECONDS, deadline.signal)
      const response = transport.claim(owner, partition, { caller, key, fingerprint, claimId, waitMilliseconds }, limit.signal)
      // Counted before the response arrives, because the message may take effect even when its response is lost.
      localClaim.undecidedCalls++
      void response.then((result) => {
        if (result.isOk && excludesClaimRecord(result.value)) localClaim.undecidedCalls--
        if (result.isErr || result.value.kind !== 'granted' || localClaim.phase.kind !== 'given-up') return
        logger.info('claim was granted after it had been given up; settling it as not run', { event: 'claim-late-grant', claimId, peer: owner })
        void startSettlement(localClaim, 'not-run', undefined)
      })
      const result = await raceAbort(response, limit.signal)
      limit.release()
      return result
    }, deadline.signal)
  }

  /** Converts the owner's answer into the result of the claim; returns undefined if the request must be repeated. */
  const applyAnswer = (localClaim: LocalClaim, answer: ClaimAnswer): ClaimResult | undefined => {
    switch (answer.kind) {
      case 'granted':
        if (localClaim.phase.kind !== 'pending' || answer.claimId !== localClaim.claimId) return undefined
        localClaim.phase = { kind: 'granted' }
        return { kind: 'granted', claimId: localClaim.claimId }
      case 'replay':
        return { kind: 'replay', answer: answer.answer }
      case 'already-done':
        return { kind: 'already-done', error: claimError(localClaim.claimId, 'already-done', 'the call with this key has already run; its response is not stored', 409, 'done') }
      case 'mismatch':
        return { kind: 'mismatch', error: claimError(localClaim.claimId, 'idempotency-key-reused', 'the idempotency key was already used for a different request', 422, 'not-run') }
      case 'unknown':
        return { kind: 'unknown', error: claimError(localClaim.claimId, 'outcome-unknown', answer.reason, 409, 'unknown') }
      case 'refused':
        return { kind: 'refused', error: claimError(localClaim.claimId, answer.code, answer.reason, answer.code === 'idempotency-key-expired' ? 400 : 503, 'not-run') }
      case 'not-yet':
      case 'not-owner':
        return undefined
      default:
        return assertNever(answer)
    }
  }

  const requestUntilDecided = async (localClaim: LocalClaim, deadline: Deadline): Promise<ClaimResult> => {
    let isHeld = false
    let ownerTimeoutAt = clock.now() + options.ownerTimeoutMilliseconds
    while (!deadline.signal.aborted && clock.now() < ownerTimeoutAt) {
      const answer = await requestClaim(localClaim, deadline)
      const result = answer === undefined ? undefined : applyAnswer(localClaim, answer)
      if (result !== undefined) return result
      if (answer?.kind === 'not-yet' && answer.isHeld) {
        isHeld = true
        ownerTimeoutAt = clock.now() + options.ownerTimeoutMilliseconds
      }
      await clock.sleep(options.retryMilliseconds, deadline.signal)
    }
    if (isHeld) return { kind: 'unknown', error: claimError(localClaim.claimId, 'call-in-flight', 'the first call with this key is still in flight', 409, 'unknown') }
    return { kind: 'refused', error: claimError(localClaim.claimId, 'claim-not-confirmed', 'the claim on the idempotency key was not confirmed in time; this request was not run, and the outcome of any earlier request with the same key is not known', 503, 'not-run') }
  }

  const claim = async (request: ClaimRequest, signal: AbortSignal): Promise<ClaimResult> => {
    const localClaim = createClaim(request)
    const deadline = createDeadline(clock, request.waitMilliseconds, signal, localClaim.abortController.signal, stopping.signal)
    const result = await requestUntilDecided(localClaim, deadline)
    deadline.release()
    if (result.kind !== 'granted') giveUp(localClaim)
    return result
  }

  const settle = async (claimId: string, outcome: RequestOutcome, answer?: StoredAnswer): Promise<void> => {
    const localClaim = claims.get(claimId)
    if (localClaim === undefined || localClaim.phase.kind !== 'granted') return
    const storedAnswer = answer !== undefined && outcome === 'done' && storedAnswerBytes(answer) <= STORED_ANSWER_LIMIT_BYTES ? answer : undefined
    localClaim.phase = { kind: 'settled', outcome, answer: storedAnswer }
    await startSettlement(localClaim, outcome, storedAnswer)
  }

  const claimState = (claimId: string): ClaimStateAnswer => {
    const localClaim = claims.get(claimId)
    if (localClaim === undefined) return { kind: 'unknown' }
    switch (localClaim.phase.kind) {
      case 'pending':
        giveUp(localClaim)
        logger.info('claim given up because an owner requested its state before it was granted', { event: 'claim-given-up', claimId })
        return { kind: 'not-sent' }
      case 'given-up': return { kind: 'not-sent' }
      case 'granted': return { kind: 'in-flight' }
      case 'settled': {
        const { outcome, answer } = localClaim.phase
        return { kind: 'settled', outcome, ...(answer === undefined ? {} : { answer }) }
      }
      default: return assertNever(localClaim.phase)
    }
  }

  return {
    claim,
    settle,
    claimState,
    unsettledCount: () => [...claims.values()].filter((localClaim) => localClaim.pendingSettlements > 0 || localClaim.phase.kind === 'granted').length,
    stop: () => stopping.abort()
  }
}
