import { randomUUID } from 'node:crypto'
import type { Clock } from '@fuchsiastage/clock'
import { relateEra, type LogState, type PlatformLog } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import Emittery from 'emittery'
import { decodeLeaseRecord, encodeLeaseRecord, type LeaseRecord } from './lease-record.js'
import { chooseTermBase } from './term-base.js'

export interface OrderLeaseSettings {
  /** Validity of a renewal. After the last record of a failed holder, its successor waits this long, plus the margin, before it claims the lease. */
  readonly validMilliseconds: Milliseconds
  readonly renewMilliseconds: Milliseconds
  readonly retryMilliseconds: Milliseconds
  /** Longest time that a read of the lease topic waits for new records. */
  readonly pollMilliseconds: Milliseconds
  /** Quiescence period: minimum time between the last order of one holder and the first order of the next. */
  readonly quiescenceMilliseconds: Milliseconds
  /** Subtracted from the holder's validity and added to the waits of other daemons, to allow for message delays and timer drift. */
  readonly marginMilliseconds: Milliseconds
}

export interface OrderLeaseOptions {
  readonly log: PlatformLog
  readonly clock: Clock
  readonly logger: Logger
  readonly topic: string
  /** Name of the VM. A daemon that restarts on the same VM counts as the same holder. */
  readonly holder: string
  /** What the records of this daemon tell about it and the fleet. */
  readonly description: () => HolderDescription
  readonly settings: OrderLeaseSettings
  /** Whether there was recent contact with a peer that reports holding the lease. While it returns true, this daemon does not watch or claim the lease. */
  readonly hasHolderContact: () => boolean
  /**
   * Whether this daemon can make use of the lease. While it returns false, this daemon releases the lease
   * and claims none, so that another one can send orders.
   */
  readonly canHold: () => boolean
  /** Delay before a claim. It differs between daemons, so that they do not all claim together. */
  readonly claimDelay: () => Milliseconds
}

/** What a holder states about itself and the fleet, for daemons that cannot read the records of the members. */
export interface HolderDescription {
  readonly peerAddress: string
  /** Undefined while the holder cannot tell how many daemons there are. */
  readonly daemonCount: number | undefined
}

/** What the records of the lease topic have told about the fleet. */
export interface FleetStatement {
  /** The last holder that has stated its address; it may have ended. */
  readonly holder: { readonly name: string, readonly peerAddress: string } | undefined
  readonly daemonCount: number | undefined
}

export interface OrderLeaseEvents {
  readonly gained: { readonly term: number }
  readonly lost: { readonly term: number }
}

export type OrderLeaseView =
  | { readonly kind: 'watching', readonly holder: string | undefined }
  /** The lease is claimed, but orders of the previous holder may be too recent. */
  | { readonly kind: 'waiting', readonly term: number, readonly ordersAllowedAt: Milliseconds }
  | { readonly kind: 'holding', readonly term: number }

export interface OrderLease {
  readonly events: Emittery<OrderLeaseEvents>
  /** Watches the lease, claims it when it is free and renews it while held, until the signal aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>
  readonly view: () => OrderLeaseView
  /** The last statement about the fleet that this daemon has read, of any holder. */
  readonly fleetStatement: () => FleetStatement
  /**
   * Term under which an order may be sent now, or undefined. Must be called immediately before each
   * send.
   */
  readonly termForOrder: () => number | undefined
  /** Minimum time until a daemon may send orders if the current holder does not return; undefined while the state of the lease is unknown. */
  readonly ordersExpectedIn: () => Milliseconds | undefined
  /**
   * Releases the lease, so that a successor waits only for the quiescence period. While the log is
   * unreachable no other daemon could claim the lease, so this one keeps it until the signal aborts.
   */
  readonly release: (signal: AbortSignal) => Promise<void>
}

/** Last record of the lease topic and the monotonic time at which it was read. */
interface LastRecord {
  readonly record: LeaseRecord | undefined
  readonly readAt: Milliseconds
  /** Whether the record stands for lost or expired ones, which were not read. */
  readonly isAssumed: boolean
}

interface HeldLease {
  readonly term: number
  readonly termBase: number
  readonly ordersAllowedAt: Milliseconds
  /** Expiry by the monotonic clock and by the wall clock: while a process is suspended, one of the two clocks may stand still. */
  validUntil: Milliseconds
  validUntilWall: Milliseconds
}

/** Maximum random delay of a claim, so that the claims of daemons that start together do not all collide. */
const CLAIM_SPREAD_MILLISECONDS = 80
/**
 * Tolerated backward step of the wall clock. If the wall clock is further than this, plus the margin,
 * before the time of the last renewal, the holder sends no orders until it has renewed the lease.
 */
const WALL_STEP_TOLERANCE_MILLISECONDS = 500

/**
 * Creates this daemon's side of the order lease, which is stored in a topic of the log. Each append
 * is conditional on the end offset that its writer has read, so only one of several concurrent
 * claims succeeds. The term of a claim is its offset, plus a base that rises when the log service returns to
 * an older copy, so terms increase monotonically.
 *
 * @example
 * const lease = createOrderLease({ log, clock, logger, topic: 'orders', holder: 'entry-1', settings, hasHolderContact, canHold, claimDelay })
 * const term = lease.termForOrder()
 */
export function createOrderLease (options: OrderLeaseOptions): OrderLease {
  const { log, clock, logger, topic, holder, settings } = options
  const events = new Emittery<OrderLeaseEvents>()
  const ownRecords = new Map<string, { readonly sentAt: Milliseconds, readonly sentAtWall: Milliseconds }>()
  let endOffset: number | undefined
  /** Era of `endOffset`. */
  let era: number | undefined
  let hasSeenRestore = false
  let highestBase = 0
  let lastRecord: LastRecord = { record: undefined, readAt: clock.now(), isAssumed: false }
  let heldLease: HeldLease | undefined
  /** The lease that this daemon held when the log service returned to an older copy, until a record of the new era is read. */
  let leaseBeforeRestore: HeldLease | undefined
  let fleetStatement: FleetStatement = { holder: undefined, daemonCount: undefined }
  let isReleasing = false
  let isReleased = false

  const loseLease = (reason: string): void => {
    if (heldLease === undefined) return
    const { term } = heldLease
    heldLease = undefined
    logger.warn('lost the order lease; this daemon sends no further orders', { event: 'lease-lost', epoch: term, reason })
    void events.emit('lost', { term })
  }

  const isValid = (current: HeldLease): boolean => {
    const wall = clock.wallNow()
    const wallSpan = settings.validMilliseconds + WALL_STEP_TOLERANCE_MILLISECONDS
    return clock.now() < current.validUntil && wall < current.validUntilWall && wall > current.validUntilWall - wallSpan
  }

  const extendValidity = (recordId: string): void => {
    const sent = ownRecords.get(recordId)
    if (heldLease === undefined || sent === undefined) return
    const validity = settings.validMilliseconds - settings.marginMilliseconds
    heldLease.validUntil = Math.max(heldLease.validUntil, sent.sentAt + validity)
    heldLease.validUntilWall = sent.sentAtWall + validity
  }

  /** Applies a record of the topic, of this daemon or of another one. A record of this daemon counts even if the response to its append was lost. */
  const applyRecord = (record: LeaseRecord | undefined, offset: number): void => {
    if (record === undefined) {
      logger.warn('ignored a lease record that cannot be decoded', { event: 'lease-record-unreadable', offset })
      return
    }
    highestBase = Math.max(highestBase, record.termBase ?? 0)
    fleetStatement = {
      holder: record.peerAddress === undefined ? fleetStatement.holder : { name: record.holder, peerAddress: record.peerAddress },
      daemonCount: record.daemonCount ?? fleetStatement.daemonCount
    }
    if (isFromEarlierEra(record)) {
      assumeUnknownHolder('the last record is from an earlier era of the log service')
      return
    }
    const preceding = lastRecord
    lastRecord = { record, readAt: clock.now(), isAssumed: false }
    leaseBeforeRestore = undefined
    if (record.kind === 'hold' && ownRecords.has(record.recordId)) {
      if (isReleased) return
      if (heldLease === undefined) becomeHolder(offset, preceding, record)
      else extendValidity(record.recordId)
      return
    }
    loseLease(record.kind === 'release' && record.holder === holder ? 'released' : `${record.holder} appended a record`)
  }

  /** Whether the records after this one may be lost, among them the claim of a holder that still sends orders. */
  const isFromEarlierEra = (record: LeaseRecord): boolean =>
    era !== undefined && (record.era === undefined ? hasSeenRestore : record.era !== era)

  const becomeHolder = (offset: number, preceding: LastRecord, claim: LeaseRecord): void => {
    const previous = preceding.record
    const termBase = claim.termBase ?? 0
    const term = termBase + offset
    const ordersAllowedAt = clock.now() + quiescenceAfter(previous)
    heldLease = { term, termBase, ordersAllowedAt, validUntil: -Infinity, validUntilWall: -Infinity }
    extendValidity(claim.recordId)
    logger.info('acquired the order lease; orders may be sent after the waiting period', { event: 'lease-taken', epoch: term, before: previous?.holder ?? null, waitMilliseconds: Math.round(ordersAllowedAt - clock.now()) })
    void events.emit('gained', { term })
  }

  const quiescenceAfter = (previous: LeaseRecord | undefined): Milliseconds => {
    if (previous === undefined) return 0
    const quiescence = previous.holder === holder ? 0 : settings.quiescenceMilliseconds + settings.marginMilliseconds
    return Math.max(quiescence, previous.quietForMilliseconds)
  }

  const readNewRecords = async (waitMilliseconds: Milliseconds, signal: AbortSignal | undefined): Promise<boolean> => {
    const answer = await log.read(topic, endOffset ?? 0, waitMilliseconds, signal)
    if (answer.isErr) return false
    const outcome = answer.value
    if (!holdsOffset(outcome)) return true
    if (outcome.kind === 'expired') {
      // The writer of the expired records may still hold the lease.
      endOffset = outcome.firstOffset
      assumeUnknownHolder('records of the lease topic have expired')
      return true
    }
    const firstOffset = outcome.nextOffset - outcome.entries.length
    outcome.entries.forEach((bytes, index) => applyRecord(decodeLeaseRecord(bytes), firstOffset + index))
    if (endOffset === undefined && outcome.entries.length === 0 && outcome.nextOffset > 0) assumeUnknownHolder('records of the lease topic have expired')
    endOffset = outcome.nextOffset
    return true
  }

  const assumeHold = (assumedHolder: string, quietForMilliseconds: Milliseconds): void => {
    lastRecord = { record: { kind: 'hold', recordId: '', holder: assumedHolder, validForMilliseconds: settings.validMilliseconds, quietForMilliseconds }, readAt: clock.now(), isAssumed: true }
  }

  const assumeUnknownHolder = (reason: string): void => {
    // While the lease of this daemon was valid, no other daemon could claim it without a record of the new era.
    if (leaseBeforeRestore !== undefined && isValid(leaseBeforeRestore)) return
    loseLease(reason)
    assumeHold('', 0)
  }

  /** Returns whether the end offset still holds after a response. If not, the response says nothing about the lease. */
  const holdsOffset = ({ era: stated }: LogState): boolean => {
    switch (relateEra(era, stated)) {
      case 'same':
        era ??= stated
        return true
      case 'earlier':
        return false
      case 'later':
        readRestoredTopic(stated)
        return false
    }
  }

  /** Starts to read the topic again after the log service has returned to an older copy, which may lack the newest claims. */
  const readRestoredTopic = (newEra: number | undefined): void => {
    logger.warn('the log service returned to an older copy of its records; reading the lease topic again', { event: 'log-restored', topic, before: era, era: newEra, offset: endOffset })
    era = newEra
    hasSeenRestore = true
    endOffset = undefined
    const previous = heldLease ?? leaseBeforeRestore
    leaseBeforeRestore = previous !== undefined && isValid(previous) && !isReleasing ? previous : undefined
    loseLease('the log service returned to an older copy of its records')
    if (leaseBeforeRestore === undefined) assumeHold('', 0)
    else assumeHold(holder, Math.max(0, leaseBeforeRestore.ordersAllowedAt - clock.now()))
  }

  const append = async (kind: LeaseRecord['kind'], signal?: AbortSignal): Promise<'appended' | 'conflict' | 'failed'> => {
    if (endOffset === undefined) return 'failed'
    const recordId = randomUUID()
    const quietForMilliseconds = heldLease === undefined ? quiescenceAfter(lastRecord.record) : Math.max(0, heldLease.ordersAllowedAt - clock.now())
    const termBase = heldLease?.termBase ?? chooseTermBase({ era, preceding: lastRecord.isAssumed ? undefined : lastRecord.record, hasSeenRestore, highestBase })
    const { peerAddress, daemonCount } = options.description()
    const written = { recordId, holder, termBase, peerAddress, ...(era === undefined ? {} : { era }), ...(daemonCount === undefined ? {} : { daemonCount }) }
    const record: LeaseRecord = kind === 'hold'
      ? { kind, ...written, validForMilliseconds: settings.validMilliseconds, quietForMilliseconds }
      : { kind, ...written, quietForMilliseconds }
    if (kind === 'hold') ownRecords.set(recordId, { sentAt: clock.now(), sentAtWall: clock.wallNow() })
    pruneOwnRecords()
    const answer = await log.append(topic, encodeLeaseRecord(record), endOffset, signal)
    if (answer.isErr) {
      logger.info('append to the lease topic failed', { event: 'lease-append-failed', step: answer.error.step, reason: answer.error.message })
      return 'failed'
    }
    if (!holdsOffset(answer.value) || answer.value.kind === 'conflict') return 'conflict'
    applyRecord(record, answer.value.offset)
    endOffset = answer.value.offset + 1
    return 'appended'
  }

  const pruneOwnRecords = (): void => {
    // An append without a response may take effect seconds later. To recognise it, the newest records are enough.
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

  /**
   * Releases the lease while this daemon cannot use it. A release without a response may still take effect,
   * so no order is sent until a later renewal has succeeded.
   */
  const resign = async (held: HeldLease, signal: AbortSignal): Promise<void> => {
    held.validUntil = -Infinity
    const outcome = await append('release', signal)
    if (outcome === 'conflict') await readNewRecords(0, signal)
    else if (outcome === 'failed') await clock.sleep(settings.retryMilliseconds, signal)
  }

  const watch = async (signal: AbortSignal): Promise<void> => {
    if (options.hasHolderContact() || !options.canHold()) {
      await clock.sleep(settings.retryMilliseconds, signal)
      return
    }
    const timeUntilClaim = claimableAt() - clock.now()
    const wait = endOffset === undefined || timeUntilClaim <= 0 ? 0 : Math.min(settings.pollMilliseconds, timeUntilClaim)
    if (!await readNewRecords(wait, signal)) {
      await clock.sleep(settings.retryMilliseconds, signal)
      return
    }
    if (endOffset === undefined || heldLease !== undefined || clock.now() < claimableAt() || options.hasHolderContact()) return
    await clock.sleep(options.claimDelay() + Math.random() * CLAIM_SPREAD_MILLISECONDS, signal)
    if (signal.aborted || isReleasing || !options.canHold()) return
    const outcome = await append('hold', signal)
    if (outcome === 'failed') await clock.sleep(settings.retryMilliseconds, signal)
  }

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted && !isReleasing) {
      if (heldLease === undefined) await watch(signal)
      else if (options.canHold()) await renew(signal)
      else await resign(heldLease, signal)
    }
  }

  return {
    events,
    run,
    fleetStatement: () => fleetStatement,
    view: () => {
      if (heldLease === undefined) return { kind: 'watching', holder: lastRecord.record?.kind === 'hold' ? lastRecord.record.holder : undefined }
      return clock.now() < heldLease.ordersAllowedAt ? { kind: 'waiting', term: heldLease.term, ordersAllowedAt: heldLease.ordersAllowedAt } : { kind: 'holding', term: heldLease.term }
    },
    termForOrder: () => {
      if (heldLease === undefined || isReleased || clock.now() < heldLease.ordersAllowedAt || !isValid(heldLease)) return undefined
      return heldLease.term
    },
    ordersExpectedIn: () => {
      const now = clock.now()
      if (heldLease !== undefined) return Math.max(0, heldLease.ordersAllowedAt - now)
      const { record } = lastRecord
      if (record === undefined) return undefined
      return Math.max(0, claimableAt() - now) + quiescenceAfter(record)
    },
    release: async (signal) => {
      isReleasing = true
      // A release without a response may still take effect, so it is sent only after a renewal has just succeeded.
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
