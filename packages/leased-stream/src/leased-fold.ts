import type { StreamFold, StreamRecord } from '@fuchsiastage/log-client'
import type { JsonValue } from '@fuchsiastage/types'
import { z } from 'zod'

export const LEASE_KINDS = { acquire: 'lease-acquire', renew: 'lease-renew', resign: 'lease-resign' } as const

export interface LeaseState {
  /** Number of the current or last holder's term; zero before the first. */
  readonly epoch: number
  /** Undefined after the holder resigned. */
  readonly holder: string | undefined
  /** Offset of the newest valid record of the current epoch. */
  readonly lastRecordOffset: number
  /** Record id of the acquire record that won the current epoch. */
  readonly acquireRecordId: string
}

export interface LeasedState<Payload> {
  readonly lease: LeaseState
  readonly payload: Payload
}

/** Standing of a payload record's author at the record's place in the stream. */
export type PayloadStanding = 'current' | 'former'

/** A payload record: it names the epoch and the daemon that wrote it. */
export interface EpochPayload extends StreamRecord {
  readonly epoch: number
  readonly author: string
}

/** Fold of the payload records; those of a former epoch arrive marked as such and are normally ignored. */
export interface PayloadFold<Payload> {
  readonly formatVersion: number
  readonly empty: () => Payload
  readonly apply: (payload: Payload, record: EpochPayload, offset: number, standing: PayloadStanding) => Payload
  readonly encode: (payload: Payload) => JsonValue
  readonly decode: (encoded: JsonValue) => Payload
}

const leaseRecord = z.looseObject({ epoch: z.number().int().positive(), author: z.string().min(1) })
const encodedState = z.object({
  lease: z.object({
    epoch: z.number().int(),
    holder: z.string().nullable(),
    lastRecordOffset: z.number().int(),
    acquireRecordId: z.string()
  }),
  payload: z.json()
})

const NO_LEASE: LeaseState = { epoch: 0, holder: undefined, lastRecordOffset: -1, acquireRecordId: '' }

/**
 * Wraps a payload fold with lease records. The first acquire record with the next epoch wins; a
 * record of another epoch than the current one is void, whatever its author believes.
 *
 * @example
 * const fold = createLeasedFold(placementFold)
 */
export function createLeasedFold<Payload> (payloadFold: PayloadFold<Payload>): StreamFold<LeasedState<Payload>> {
  const apply = (state: LeasedState<Payload>, record: StreamRecord, offset: number): LeasedState<Payload> => {
    if (!leaseRecord.safeParse(record).success) return state
    const entry = record as EpochPayload
    const { lease } = state
    if (entry.kind === LEASE_KINDS.acquire) {
      if (entry.epoch !== lease.epoch + 1) return state
      return { ...state, lease: { epoch: entry.epoch, holder: entry.author, lastRecordOffset: offset, acquireRecordId: entry.recordId } }
    }
    const isCurrent = entry.epoch === lease.epoch && entry.author === lease.holder
    if (!isCurrent) {
      if (entry.epoch > lease.epoch || entry.kind === LEASE_KINDS.renew || entry.kind === LEASE_KINDS.resign) return state
      return { ...state, payload: payloadFold.apply(state.payload, entry, offset, 'former') }
    }
    const renewed: LeaseState = { ...lease, lastRecordOffset: offset }
    if (entry.kind === LEASE_KINDS.renew) return { ...state, lease: renewed }
    if (entry.kind === LEASE_KINDS.resign) return { ...state, lease: { ...renewed, holder: undefined } }
    return { lease: renewed, payload: payloadFold.apply(state.payload, entry, offset, 'current') }
  }

  return {
    formatVersion: payloadFold.formatVersion,
    empty: () => ({ lease: NO_LEASE, payload: payloadFold.empty() }),
    apply,
    encode: ({ lease, payload }) => ({
      lease: { ...lease, holder: lease.holder ?? null },
      payload: payloadFold.encode(payload)
    }),
    decode: (encoded) => {
      const { lease, payload } = encodedState.parse(encoded)
      return { lease: { ...lease, holder: lease.holder ?? undefined }, payload: payloadFold.decode(payload as JsonValue) }
    }
  }
}
