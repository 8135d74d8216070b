import type { Clock } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Logger } from '@fuchsiastage/logger'
import { assertNever, type Milliseconds, type RequestOutcome } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import { claimPartition, makeClaimId } from './claim-identity.js'
import { createDeadline, createStopController, orAborted, type Deadline } from './deadline.js'
import {
  KEPT_ANSWER_LIMIT_BYTES,
  keptAnswerBytes,
  type ClaimAnswer,
  type ClaimMessage,
  type ClaimResult,
  type ClaimStateAnswer,
  type KeptAnswer,
  type SettleAnswer,
  type SettleMessage
} from './messages.js'

/** Calls to the daemon that may own a partition, which may be this one. */
export interface ClaimTransport {
  readonly claim: (daemon: string, partition: number, message: ClaimMessage, signal: AbortSignal) => Promise<Result<ClaimAnswer, FuchsiastageError>>
  readonly settle: (daemon: string, partition: number, message: SettleMessage, signal: AbortSignal) => Promise<Result<SettleAnswer, FuchsiastageError>>
}

export interface ClaimClientOptions {
  readonly daemon: string
  /** Unique for each start of the process. */
  readonly incarnation: string
  readonly clock: Clock
  readonly logger: Logger
  readonly partitions: number
  /** Daemons that may own the partition, most likely first. */
  readonly ownersOf: (partition: number) => readonly string[]
  readonly transport: ClaimTransport
  readonly retryMilliseconds: Milliseconds
  /** Time that an owner may work on one message before it is asked again. */
  readonly callMilliseconds: Milliseconds
  /** Time after which a claim that no owner takes up is refused although the deadline is later. */
  readonly patienceMilliseconds: Milliseconds
  /** How long claims that are over are remembered for `claimState`; the horizon of keys is enough. */
  readonly rememberMilliseconds: Milliseconds
}

export interface ClaimRequest {
  readonly caller: string
  /** As `parseIdempotencyKey` returns it. */
  readonly key: string
  readonly fingerprint: string
  /** Time left until the caller's deadline. */
  readonly waitMilliseconds: Milliseconds
}

export interface ClaimClient {
  readonly claim: (request: ClaimRequest, signal: AbortSignal) => Promise<ClaimResult>
  /** Reports how the call of a granted claim ended; resolves once that is confirmed in the stream. */
  readonly settle: (claimId: string, outcome: RequestOutcome, answer?: KeptAnswer) => Promise<void>
  /** Answers an owner; a claim that has not been granted yet is thereby given up for good. */
  readonly claimState: (claimId: string) => ClaimStateAnswer
  /** Claims granted or given up whose settlement is not confirmed yet. */
  readonly unsettledCount: () => number
  /** Ends the retries of settlements. */
  readonly stop: () => void
}

/** `pending`: no grant was used. `given-up`: no grant ever will be. */
type ClaimPhase =
  | { readonly kind: 'pending' }
  | { readonly kind: 'given-up' }
  | { readonly kind: 'granted' }
  | { readonly kind: 'settled', readonly outcome: RequestOutcome, readonly answer: KeptAnswer | undefined }

interface OwnClaim {
  readonly claimId: string
  readonly partition: number
  readonly request: ClaimRequest
  readonly givingUp: AbortController
  phase: ClaimPhase
  /** Calls after which the claim may be in the stream. */
  undecidedCalls: number
  /** Settlements that are being retried. */
  settlements: number
  settling: Promise<void>
  endedAt: Milliseconds | undefined
}

/** Added to the time that the owner may work, for the way there and back. */
const CALL_MARGIN_MILLISECONDS = 1_000

/** Part of a request's remaining time that is kept for the way back of the owner's answer. */
const ANSWER_RESERVE_MILLISECONDS = 50

const MAXIMUM_RETRY_MILLISECONDS = 8_000

/**
 * Longest pause for claims that were given up. In a log outage every refused call leaves one, and
 * none is urgent: an owner that meets such a claim asks this daemon.
 */
const MAXIMUM_GIVEN_UP_RETRY_MILLISECONDS = 60_000

/** Time after which a caller may expect the partition to have an owner again: a lapsed lease and its acquisition. */
const RETRY_AFTER_MILLISECONDS = 10_000

function claimError (claimId: string, code: string, message: string, status: number, outcome: RequestOutcome): FuchsiastageError {
  const retry = status === 503 || code === 'call-in-flight' ? { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS } : {}
  return createError({ code, message, step: 'claim', status, outcome, details: { claim: claimId }, ...retry })
}

function leavesNoClaim (answer: ClaimAnswer): boolean {
  return answer.kind !== 'granted' && answer.kind !== 'not-yet'
}

/**
 * Creates the side of the claims protocol that belongs to the daemon with the caller's request.
 *
 * @example
 * const claimed = await client.claim({ caller, key, fingerprint, waitMilliseconds: 5_000 }, signal)
 * if (claimed.kind === 'granted') await client.settle(claimed.claimId, 'done', answer)
 */
export function createClaimClient (options: ClaimClientOptions): ClaimClient {
  const { daemon, incarnation, clock, logger, transport } = options
  const claims = new Map<string, OwnClaim>()
  const stopping = createStopController()
  let counter = 0

  /** Forgets claims in the order in which they were made, up to the first that must be kept. */
  const forgetOld = (): void => {
    for (const [claimId, own] of claims) {
      if (own.endedAt === undefined || own.settlements > 0 || clock.now() - own.endedAt < options.rememberMilliseconds) return
      claims.delete(claimId)
    }
  }

  const createClaim = (request: ClaimRequest): OwnClaim => {
    forgetOld()
    const own: OwnClaim = {
      claimId: makeClaimId(daemon, incarnation, counter++),
      partition: claimPartition(request.caller, request.key, options.partitions),
      request,
      givingUp: new AbortController(),
      phase: { kind: 'pending' },
      undecidedCalls: 0,
      settlements: 0,
      settling: Promise.resolve(),
      endedAt: undefined
    }
    claims.set(own.claimId, own)
    return own
  }

  /** Asks the candidates in order, and the holder that one of them names; undefined when none is the owner. */
  const askOwners = async <Answer extends { readonly kind: string }> (
    partition: number,
    ask: (owner: string) => Promise<Result<Answer, FuchsiastageError> | undefined>,
    signal: AbortSignal
  ): Promise<Exclude<Answer, { readonly kind: 'not-owner' }> | undefined> => {
    const asked = new Set<string>()
    const candidates = [...options.ownersOf(partition)]
    for (let owner = candidates.shift(); owner !== undefined && !signal.aborted; owner = candidates.shift()) {
      if (asked.has(owner)) continue
      asked.add(owner)
      const result = await ask(owner)
      if (result === undefined || result.isErr) continue
      if (result.value.kind !== 'not-owner') return result.value as Exclude<Answer, { readonly kind: 'not-owner' }>
      const { holder } = result.value as { readonly holder?: string }
      if (holder !== undefined) candidates.unshift(holder)
    }
    return undefined
  }

  const deliverSettlement = async (own: OwnClaim, outcome: RequestOutcome, answer: KeptAnswer | undefined): Promise<void> => {
    const { claimId, partition, request: { caller, key } } = own
    const message: SettleMessage = { caller, key, claimId, outcome, ...(answer === undefined ? {} : { answer }) }
    let pause = options.retryMilliseconds
    while (!stopping.signal.aborted) {
      const settled = await askOwners(partition, async (owner) => {
        const limit = createDeadline(clock, options.callMilliseconds + CALL_MARGIN_MILLISECONDS, stopping.signal)
        const result = await orAborted(transport.settle(owner, partition, message, limit.signal), limit.signal)
        limit.release()
        return result
      }, stopping.signal)
      if (settled?.kind === 'confirmed') return
      await clock.sleep(pause, stopping.signal)
      pause = Math.min(pause * 2, own.phase.kind === 'given-up' ? MAXIMUM_GIVEN_UP_RETRY_MILLISECONDS : MAXIMUM_RETRY_MILLISECONDS)
    }
  }

  /** Settlements of one claim are delivered one after the other. */
  const startSettlement = (own: OwnClaim, outcome: RequestOutcome, answer: KeptAnswer | undefined): Promise<void> => {
    own.settlements++
    own.settling = own.settling.then(async () => {
      await deliverSettlement(own, outcome, answer)
      own.settlements--
      own.endedAt = clock.now()
      // The stream holds the answer from now on.
      if (own.phase.kind === 'settled') own.phase = { kind: 'settled', outcome, answer: undefined }
    })
    return own.settling
  }

  const giveUp = (own: OwnClaim): void => {
    if (own.phase.kind !== 'pending') return
    own.phase = { kind: 'given-up' }
    own.endedAt = clock.now()
    own.givingUp.abort()
    if (own.undecidedCalls > 0) void startSettlement(own, 'not-run', undefined)
  }

  const askForClaim = async (own: OwnClaim, deadline: Deadline): Promise<ClaimAnswer | undefined> => {
    const { claimId, partition, request: { caller, key, fingerprint } } = own
    return await askOwners<ClaimAnswer>(partition, async (owner) => {
      const remaining = deadline.remaining()
      // The owner must answer early enough to be heard, because only it knows whether another claim holds the key.
      const waitMilliseconds = Math.min(options.callMilliseconds, remaining - Math.min(ANSWER_RESERVE_MILLISECONDS, remaining / 4))
      const limit = createDeadline(clock, waitMilliseconds + CALL_MARGIN_MILLISECONDS, deadline.signal)
      const calling = transport.claim(owner, partition, { caller, key, fingerprint, claimId, waitMilliseconds }, limit.signal)
      // Set before the answer is known: the call may take effect although no answer arrives.
      own.undecidedCalls++
      void calling.then((result) => {
        if (result.isOk && leavesNoClaim(result.value)) own.undecidedCalls--
        if (result.isErr || result.value.kind !== 'granted' || own.phase.kind !== 'given-up') return
        logger.info('late grant is not used', { event: 'claim-late-grant', claimId, peer: owner })
        void startSettlement(own, 'not-run', undefined)
      })
      const result = await orAborted(calling, limit.signal)
      limit.release()
      return result
    }, deadline.signal)
  }

  /** Turns an answer into the result for the caller; undefined when the owner must be asked again. */
  const conclude = (own: OwnClaim, answer: ClaimAnswer): ClaimResult | undefined => {
    switch (answer.kind) {
      case 'granted':
        if (own.phase.kind !== 'pending' || answer.claimId !== own.claimId) return undefined
        own.phase = { kind: 'granted' }
        return { kind: 'granted', claimId: own.claimId }
      case 'replay':
        return { kind: 'replay', answer: answer.answer }
      case 'already-done':
        return { kind: 'already-done', error: claimError(own.claimId, 'already-done', 'the call with this key has been done; its answer was not kept', 409, 'done') }
      case 'mismatch':
        return { kind: 'mismatch', error: claimError(own.claimId, 'idempotency-key-reused', 'the key was used for a different request', 422, 'not-run') }
      case 'unknown':
        return { kind: 'unknown', error: claimError(own.claimId, 'outcome-unknown', answer.reason, 409, 'unknown') }
      case 'refused':
        return { kind: 'refused', error: claimError(own.claimId, answer.code, answer.reason, answer.code === 'idempotency-key-expired' ? 400 : 503, 'not-run') }
      case 'not-yet':
      case 'not-owner':
        return undefined
      default:
        return assertNever(answer)
    }
  }

  const askUntilDecided = async (own: OwnClaim, deadline: Deadline): Promise<ClaimResult> => {
    let isHeld = false
    let patienceEndsAt = clock.now() + options.patienceMilliseconds
    while (!deadline.signal.aborted && clock.now() < patienceEndsAt) {
      const answer = await askForClaim(own, deadline)
      const result = answer === undefined ? undefined : conclude(own, answer)
      if (result !== undefined) return result
      if (answer?.kind === 'not-yet' && answer.isHeld) {
        isHeld = true
        patienceEndsAt = clock.now() + options.patienceMilliseconds
      }
      await clock.sleep(options.retryMilliseconds, deadline.signal)
    }
    if (isHeld) return { kind: 'unknown', error: claimError(own.claimId, 'call-in-flight', 'the first call with this key is still in flight', 409, 'unknown') }
    return { kind: 'refused', error: claimError(own.claimId, 'claim-not-confirmed', 'the claim on the key was not confirmed in time; this request was not run, and an earlier one with the same key is not known here', 503, 'not-run') }
  }

  const claim = async (request: ClaimRequest, signal: AbortSignal): Promise<ClaimResult> => {
    const own = createClaim(request)
    const deadline = createDeadline(clock, request.waitMilliseconds, signal, own.givingUp.signal, stopping.signal)
    const result = await askUntilDecided(own, deadline)
    deadline.release()
    if (result.kind !== 'granted') giveUp(own)
    return result
  }

  const settle = async (claimId: string, outcome: RequestOutcome, answer?: KeptAnswer): Promise<void> => {
    const own = claims.get(claimId)
    if (own === undefined || own.phase.kind !== 'granted') return
    const kept = answer !== undefined && outcome === 'done' && keptAnswerBytes(answer) <= KEPT_ANSWER_LIMIT_BYTES ? answer : undefined
    own.phase = { kind: 'settled', outcome, answer: kept }
    await startSettlement(own, outcome, kept)
  }

  const claimState = (claimId: string): ClaimStateAnswer => {
    const own = claims.get(claimId)
    if (own === undefined) return { kind: 'unknown' }
    switch (own.phase.kind) {
      case 'pending':
        giveUp(own)
        logger.info('claim given up because its key was called elsewhere', { event: 'claim-given-up', claimId })
        return { kind: 'not-sent' }
      case 'given-up': return { kind: 'not-sent' }
      case 'granted': return { kind: 'in-flight' }
      case 'settled': {
        const { outcome, answer } = own.phase
        return { kind: 'settled', outcome, ...(answer === undefined ? {} : { answer }) }
      }
      default: return assertNever(own.phase)
    }
  }

  return {
    claim,
    settle,
    claimState,
    unsettledCount: () => [...claims.values()].filter((own) => own.settlements > 0 || own.phase.kind === 'granted').length,
    stop: () => stopping.abort()
  }
}
