import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import { BLOCK_BYTES } from './body-buffer.js'
import type { ClientCapacity } from './client-capacity.js'

/** Gives memory back; further calls have no effect. */
export type ReleaseMemory = () => void

/** The memory of one body. */
export interface ReceivingHold {
  /** Accounts for bytes that have arrived. Returns false if there is no memory for them; the body has then been given up. */
  readonly receive: (bytes: number) => boolean
  /** The body is complete; it is not shed any more and counts until it is released. */
  readonly complete: () => void
  readonly release: ReleaseMemory
}

export interface ClientMemoryUsage {
  readonly bodyBytes: number
  readonly responseBytes: number
  readonly copyBytes: number
  readonly unfinishedBodies: number
}

export interface ClientMemory {
  /**
   * Begins to account for a body; undefined if too many are not complete. `onShed` is called when the body is given up
   * in favour of another one, and has to free its memory at once.
   */
  readonly receiveBody: (onShed: () => void) => ReceivingHold | undefined
  /** Accounts for a part of a response that is held; undefined if there is no memory for it. */
  readonly holdResponse: (bytes: number) => ReleaseMemory | undefined
  /** Accounts for copies of a body. A single one is always granted, so that any body within the limits can be copied. */
  readonly holdCopies: (bytes: number) => ReleaseMemory | undefined
  readonly usage: () => ClientMemoryUsage
}

interface Body {
  received: number
  charged: number
  /** Time at which the last whole progress step had arrived. */
  progressAt: Milliseconds
  stepBytes: number
  readonly shed: () => void
}

/** Bodies up to this size may use the whole budget. */
const SMALL_BODY_BYTES = BLOCK_BYTES
/** Memory is charged in these steps; the first one covers the objects of the request. */
const SMALL_STEP_BYTES = 16_384
/** A body that receives less than this within the stall time counts as stalled. */
const PROGRESS_BYTES = 16_384
/** Under pressure a body that has stalled for this long is given up; clients allow a daemon one second to read an idempotent request. */
const STALL_MILLISECONDS = 1_000

/**
 * Creates the budget of the memory that clients take up.
 *
 * @example
 * const memory = createClientMemory(clock, deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2200 }))
 * const hold = memory.receiveBody(() => buffer.discard())
 */
export function createClientMemory (clock: Pick<Clock, 'now'>, capacity: ClientCapacity): ClientMemory {
  /** Bodies that are not complete, the oldest first. */
  const receiving = new Set<Body>()
  let smallBytes = 0
  let largeBytes = 0
  let responseBytes = 0
  let copyBytes = 0

  const isLarge = ({ charged }: Pick<Body, 'charged'>): boolean => charged > SMALL_BODY_BYTES

  const charge = (body: Body, bytes: number): void => {
    if (isLarge(body)) largeBytes -= body.charged
    else smallBytes -= body.charged
    body.charged = bytes
    if (isLarge(body)) largeBytes += bytes
    else smallBytes += bytes
  }

  const shed = (body: Body): void => {
    receiving.delete(body)
    charge(body, 0)
    body.shed()
  }

  const longestStalled = (except: Body | undefined, largeOnly: boolean): Body | undefined => {
    const before = clock.now() - STALL_MILLISECONDS
    let chosen: Body | undefined
    for (const body of receiving) {
      if (body === except || body.progressAt > before || (largeOnly && !isLarge(body))) continue
      if (chosen === undefined || body.progressAt < chosen.progressAt) chosen = body
    }
    return chosen
  }

  /** Chooses the newest large body; undefined if the given one is newer and large too. */
  const newestLarge = (growing: Body, growsLarge: boolean): Body | undefined => {
    const newest = [...receiving].filter((body) => isLarge(body) || (body === growing && growsLarge)).at(-1)
    return newest === growing ? undefined : newest
  }

  const fits = (body: Body, bytes: number): boolean => {
    const total = smallBytes + largeBytes - body.charged + bytes
    if (total > capacity.bodyBytes) return false
    return bytes <= SMALL_BODY_BYTES || largeBytes - (isLarge(body) ? body.charged : 0) + bytes <= capacity.largeBodyBytes
  }

  const grow = (body: Body, bytes: number): boolean => {
    const growsLarge = bytes > SMALL_BODY_BYTES
    while (!fits(body, bytes)) {
      const victim = longestStalled(body, true) ?? newestLarge(body, growsLarge) ?? (growsLarge ? undefined : longestStalled(body, false))
      if (victim === undefined) return false
      shed(victim)
    }
    charge(body, bytes)
    return true
  }

  const hold = (add: (bytes: number) => void, bytes: number): ReleaseMemory => {
    let isHeld = true
    add(bytes)
    return () => {
      if (isHeld) add(-bytes)
      isHeld = false
    }
  }

  return {
    receiveBody: (onShed) => {
      if (receiving.size >= capacity.maximumUnfinishedBodies) {
        const stalled = longestStalled(undefined, false)
        if (stalled === undefined) return undefined
        shed(stalled)
      }
      const body: Body = { received: 0, charged: 0, progressAt: clock.now(), stepBytes: 0, shed: onShed }
      if (!grow(body, SMALL_STEP_BYTES)) return undefined
      receiving.add(body)
      return {
        receive: (bytes) => {
          if (!receiving.has(body)) return false
          body.received += bytes
          body.stepBytes += bytes
          if (body.stepBytes >= PROGRESS_BYTES) {
            body.stepBytes = 0
            body.progressAt = clock.now()
          }
          const needed = chargeFor(body.received)
          if (needed <= body.charged || grow(body, needed)) return true
          receiving.delete(body)
          charge(body, 0)
          return false
        },
        complete: () => { receiving.delete(body) },
        release: () => {
          receiving.delete(body)
          charge(body, 0)
        }
      }
    },
    holdResponse: (bytes) => responseBytes + bytes > capacity.responseBytes ? undefined : hold((change) => { responseBytes += change }, bytes),
    holdCopies: (bytes) => copyBytes > 0 && copyBytes + bytes > capacity.copyBytes ? undefined : hold((change) => { copyBytes += change }, bytes),
    usage: () => ({ bodyBytes: smallBytes + largeBytes, responseBytes, copyBytes, unfinishedBodies: receiving.size })
  }
}

function chargeFor (received: number): number {
  const step = received <= SMALL_BODY_BYTES ? SMALL_STEP_BYTES : BLOCK_BYTES
  return Math.max(SMALL_STEP_BYTES, Math.ceil(received / step) * step)
}
