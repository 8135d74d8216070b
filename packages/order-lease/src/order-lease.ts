import { randomUUID } from 'node:crypto'
import type { Clock } from '@fuchsiastage/clock'
import type { PlatformLog } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import Emittery from 'emittery'
import { decodeLeaseRecord, encodeLeaseRecord, type LeaseRecord } from './lease-record.js'

export interface OrderLeaseSettings {
  /** How long a renewal holds; also how long the successor of a dead holder waits before its claim. */
  readonly validMilliseconds: Milliseconds
  readonly renewMilliseconds: Milliseconds
  readonly retryMilliseconds: Milliseconds
  /** How long a read of the lease topic may be held open. */
  readonly pollMilliseconds: Milliseconds
  /** Time that must lie between the last order of one machine and the first order of another. */
  readonly turnMilliseconds: Milliseconds
  /** Taken off the holder's validity and added to the waits of others, for delays of messages and timers. */
  readonly marginMilliseconds: Milliseconds
}

export interface OrderLeaseOptions {
  readonly log: PlatformLog
  readonly clock: Clock
  readonly logger: Logger
  readonly topic: string
  /** Name of the VM: a daemon that starts again on the same VM is the same holder. */
  readonly holder: string
  readonly settings: OrderLeaseSettings
  /** Whether a peer was heard lately that says it holds the lease; the topic is not read meanwhile. */
  readonly isHolderHeard: () => boolean
  /** Wait before a claim, by which daemons come one after the other. */
  readonly claimDelay: () => Milliseconds
}

export interface OrderLeaseEvents {
  readonly gained: { readonly term: number }
  readonly lost: { readonly term: number }
}

export type OrderLeaseView =
  | { readonly kind: 'watching', readonly holder: string | undefined }
  /** Claimed, but the orders of the holder before are too recent. */
  | { readonly kind: 'waiting', readonly term: number, readonly ordersAt: Milliseconds }
  | { readonly kind: 'holding', readonly term: number }

export interface OrderLease {
  readonly events: Emittery<OrderLeaseEvents>
  /** Takes part in the succession until the signal aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>
  readonly view: () => OrderLeaseView
  /**
   * The term under which an order may be sent at this moment, or undefined. To be asked right
   * before each send.
   */
  readonly termForOrder: () => number | undefined
  /** Least time until any daemon may give orders, if the present holder does not come back; undefined where nothing is known. */
  readonly ordersExpectedIn: () => Milliseconds | undefined
  /**
   * Gives the lease back, so that a successor waits only for the turn time. While the log does not
   * answer nobody could take it, so the holder keeps it until the signal aborts.
   */
  readonly release: (signal: AbortSignal) => Promise<void>
}

/** What the last record of the topic says. */
interface LastRecord {
  readonly record: LeaseRecord | undefined
  readonly readAt: Milliseconds
}

interface HeldLease {
  readonly term: number
  readonly ordersAt: Milliseconds
  /** Limits by the monotonic clock and by the time of day: a frozen process may see only one of them move. */
  validUntil: Milliseconds
  validUntilWall: Milliseconds
}

/** Claims are spread over this time, so that daemons that start together do not all collide. */
const CLAIM_SPREAD_MILLISECONDS = 80
/** A holder whose time of day moved back by more than this checks its lease with the log first. */
const WALL_STEP_TOLERANCE_MILLISECONDS = 500

/**
 * Creates this daemon's side of the order lease. The lease is a topic of the log: a record counts
 * only if it was appended at the end that its writer knew. The offset of a claim is its term, so terms only rise.
 *
 * @example
 * const lease = createOrderLease({ log, clock, logger, topic: 'orders', holder: 'entry-1', settings, isHolderHeard, claimDelay })
 * const term = lease.termForOrder()
 */
export function createOrderLease (options: OrderLeaseOptions): OrderLease {
  const { log, clock, logger, topic, holder, settings } = options
  const events = new Emittery<OrderLeaseEvents>()
  const ownRecords = new Map<string, { readonly sentAt: Milliseconds, readonly sentAtWall: Milliseconds }>()
  let endOffset: number | undefined
  let lastRecord: LastRecord = { record: undefined, readAt: clock.now() }
  let heldLease: HeldLease | undefined
  let isReleasing = false
  let isReleased = false

  const loseLease = (reason: string): void => {
    if (heldLease === undefined) return
    const { term } = heldLease
    heldLease = undefined
    logger.warn('lost the order lease', { event: 'lease-lost', epoch: term, reason })
    void events.emit('lost', { term })
  }

  const extendValidity = (recordId: string): void => {
    const sent = ownRecords.get(recordId)
    if (heldLease === undefined || sent === undefined) return
    const validity = settings.validMilliseconds - settings.marginMilliseconds
    heldLease.validUntil = Math.max(heldLease.validUntil, sent.sentAt + validity)
    heldLease.validUntilWall = sent.sentAtWall + validity
  }

  /** Takes in a record that another append put there, or an own one whose answer was lost. */
  const applyRecord = (record: LeaseRecord | undefined, offset: number): void => {
    if (record === undefined) {
      logger.warn('ignored an unreadable record of the lease topic', { event: 'lease-record-unreadable', offset })
      return
    }
    const preceding = lastRecord
    lastRecord = { record, readAt: clock.now() }
    if (record.kind === 'hold' && ownRecords.has(record.recordId)) {
      if (isReleased) return
      if (heldLease === undefined) becomeHolder(offset, preceding, record.recordId)
      else extendValidity(record.recordId)
      return
    }
    loseLease(record.kind === 'release' && record.holder === holder ? 'released' : `record of ${record.holder}`)
  }

  const becomeHolder = (term: number, preceding: LastRecord, recordId: string): void => {
    const previous = preceding.record
    const ordersAt = clock.now() + quiescenceAfter(previous)
    heldLease = { term, ordersAt, validUntil: -Infinity, validUntilWall: -Infinity }
    extendValidity(recordId)
    logger.info('took the order lease', { event: 'lease-taken', epoch: term, before: previous?.holder ?? null, waitMilliseconds: Math.round(ordersAt - clock.now()) })
    void events.emit('gained', { term })
  }

  const quiescenceAfter = (previous: LeaseRecord | undefined): Milliseconds => {
    if (previous === undefined) return 0
    const quiescence = previous.holder === holder ? 0 : settings.turnMilliseconds + settings.marginMilliseconds
    return Math.max(quiescence, previous.kind === 'hold' ? previous.quietForMilliseconds : 0)
  }

  const readNewRecords = async (waitMilliseconds: Milliseconds, signal: AbortSignal | undefined): Promise<boolean> => {
    const answer = await log.read(topic, endOffset ?? 0, waitMilliseconds, signal)
    if (answer.isErr) return false
    const outcome = answer.value
    if (outcome.kind === 'expired') {
      // Whoever wrote the records that are gone may still hold the lease.
      endOffset = outcome.firstOffset
      assumeUnknownHolder()
      return true
    }
    const firstOffset = outcome.nextOffset - outcome.entries.length
    outcome.entries.forEach((bytes, index) => applyRecord(decodeLeaseRecord(bytes), firstOffset + index))
    if (endOffset === undefined && outcome.entries.length === 0 && outcome.nextOffset > 0) assumeUnknownHolder()
    endOffset = outcome.nextOffset
    return true
  }

  const assumeUnknownHolder = (): void => {
    loseLease('history of the lease is gone')
    lastRecord = { record: { kind: 'hold', recordId: '', holder: '', validForMilliseconds: settings.validMilliseconds, quietForMilliseconds: 0 }, readAt: clock.now() }
  }

  const append = async (kind: LeaseRecord['kind'], signal?: AbortSignal): Promise<'appended' | 'conflict' | 'failed'> => {
    if (endOffset === undefined) return 'failed'
    const recordId = randomUUID()
    const quietForMilliseconds = heldLease === undefined ? quiescenceAfter(lastRecord.record) : Math.max(0, heldLease.ordersAt - clock.now())
    const record: LeaseRecord = kind === 'hold'
      ? { kind, recordId, holder, validForMilliseconds: settings.validMilliseconds, quietForMilliseconds }
      : { kind, recordId, holder }
    if (kind === 'hold') ownRecords.set(recordId, { sentAt: clock.now(), sentAtWall: clock.wallNow() })
    pruneOwnRecords()
    const answer = await log.append(topic, encodeLeaseRecord(record), endOffset, signal)
    if (answer.isErr) {
      logger.info('append to the lease topic failed', { event: 'lease-append-failed', step: answer.error.step, reason: answer.error.message })
      return 'failed'
    }
    if (answer.value.kind === 'conflict') return 'conflict'
    applyRecord(record, answer.value.offset)
    endOffset = answer.value.offset + 1
    return 'appended'
  }

  const pruneOwnRecords = (): void => {
    // An append without an answer may take effect seconds later; the newest few are enough to recognise it.
    const keptRecords = 32
    for (const recordId of [...ownRecords.keys()].slice(0, -keptRecords)) ownRecords.delete(recordId)
  }

  const claimableAt = (): Milliseconds => {
    const { record, readAt } = lastRecord
    if (record === undefined || record.kind === 'release' || record.holder === holder) return readAt
    return readAt + record.validForMilliseconds + settings.marginMilliseconds
  }

  const renew = async (signal: AbortSignal): Promise<void> => {
    const outcome = await append('hold', signal)
    if (outcome === 'conflict') await readNewRecords(0, signal)
    await clock.sleep(outcome === 'appended' ? settings.renewMilliseconds : settings.retryMilliseconds, signal)
  }

  const watch = async (signal: AbortSignal): Promise<void> => {
    if (options.isHolderHeard()) {
      await clock.sleep(settings.retryMilliseconds, signal)
      return
    }
    const timeUntilClaim = claimableAt() - clock.now()
    const wait = endOffset === undefined || timeUntilClaim <= 0 ? 0 : Math.min(settings.pollMilliseconds, timeUntilClaim)
    if (!await readNewRecords(wait, signal)) {
      await clock.sleep(settings.retryMilliseconds, signal)
      return
    }
    if (heldLease !== undefined || clock.now() < claimableAt() || options.isHolderHeard()) return
    await clock.sleep(options.claimDelay() + Math.random() * CLAIM_SPREAD_MILLISECONDS, signal)
    if (signal.aborted || isReleasing) return
    const outcome = await append('hold', signal)
    if (outcome === 'failed') await clock.sleep(settings.retryMilliseconds, signal)
  }

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted && !isReleasing) await (heldLease === undefined ? watch(signal) : renew(signal))
  }

  const isValid = (current: HeldLease): boolean => {
    const wall = clock.wallNow()
    const wallSpan = settings.validMilliseconds + WALL_STEP_TOLERANCE_MILLISECONDS
    return clock.now() < current.validUntil && wall < current.validUntilWall && wall > current.validUntilWall - wallSpan
  }

  return {
    events,
    run,
    view: () => {
      if (heldLease === undefined) return { kind: 'watching', holder: lastRecord.record?.kind === 'hold' ? lastRecord.record.holder : undefined }
      return clock.now() < heldLease.ordersAt ? { kind: 'waiting', term: heldLease.term, ordersAt: heldLease.ordersAt } : { kind: 'holding', term: heldLease.term }
    },
    termForOrder: () => {
      if (heldLease === undefined || isReleased || clock.now() < heldLease.ordersAt || !isValid(heldLease)) return undefined
      return heldLease.term
    },
    ordersExpectedIn: () => {
      const now = clock.now()
      if (heldLease !== undefined) return Math.max(0, heldLease.ordersAt - now)
      const { record } = lastRecord
      if (record === undefined) return undefined
      return Math.max(0, claimableAt() - now) + quiescenceAfter(record)
    },
    release: async (signal) => {
      isReleasing = true
      // A release without an answer may count, so it is sent only when the log has just answered.
      while (heldLease !== undefined && !signal.aborted) {
        const outcome = await append('hold', signal)
        if (outcome === 'appended') break
        if (outcome === 'conflict') await readNewRecords(0, signal)
        else await clock.sleep(settings.retryMilliseconds, signal)
      }
      isReleased = true
      if (heldLease === undefined) return
      await append('release', signal)
      loseLease('released')
    }
  }
}
