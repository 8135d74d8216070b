import type { StreamFold, StreamRecord } from '@fuchsiastage/log-client'
import type { JsonValue } from '@fuchsiastage/types'
import { z } from 'zod'

export const LEASE_KINDS = { acquire: 'lease-acquire', renew: 'lease-renew', resign: 'lease-resign' } as const

export interface LeaseState {
  /** Number of the current epoch; 0 before the first lease is acquired. */
  readonly epoch: number
  /** Daemon that holds the lease; undefined before the first lease is acquired and after a resignation. */
  readonly holder: string | undefined
  /** Offset of the newest record that the holder of the current epoch wrote; -1 before the first lease is acquired. */
  readonly lastRecordOffset: number
  /** Record id of the acquire record that started the current epoch. */
  readonly acquireRecordId: string
}

export interface LeasedState<Payload> {
  readonly lease: LeaseState
  readonly payload: Payload
}

/** Whether the author of a payload record is the current holder or a former one at the record's offset. */
export type AuthorStatus = 'current' | 'former'

/** A record of a leased stream, with the epoch under which it was written and the daemon that wrote it. */
export interface EpochRecord extends StreamRecord {
  readonly epoch: number
  readonly author: string
}

/** Fold of the payload records. Records of former holders are passed with the status `former`; most folds ignore them. */
export interface PayloadFold<Payload> {
  readonly formatVersion: number
  readonly empty: () => Payload
  readonly apply: (payload: Payload, record: EpochRecord, offset: number, authorStatus: AuthorStatus) => Payload
  readonly encode: (payload: Payload) => JsonValue
  readonly decode: (encoded: JsonValue) => Payload
}

const recordHeader = z.looseObject({ epoch: z.number().int().positive(), author: z.string().min(1) })
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
 * Adds lease handling to a payload fold. The first acquire record with the next epoch number takes
 * the lease. All other acquire records are ignored. Renewals and resignations count only if the
 * current holder wrote them, so a daemon that wrongly assumes that it still holds the lease cannot
 * extend it.
 *
 * @example
 * const fold = createLeasedFold(foldPlacement)
 */
export function createLeasedFold<Payload> (payloadFold: PayloadFold<Payload>): StreamFold<LeasedState<Payload>> {
  const apply = (state: LeasedState<Payload>, record: StreamRecord, offset: number): LeasedState<Payload> => {
    if (!recordHeader.safeParse(record).success) return state
    const epochRecord = record as EpochRecord
    const { lease } = state
    if (epochRecord.kind === LEASE_KINDS.acquire) {
      if (epochRecord.epoch !== lease.epoch + 1) return state
      return { ...state, lease: { epoch: epochRecord.epoch, holder: epochRecord.author, lastRecordOffset: offset, acquireRecordId: epochRecord.recordId } }
    }
    const isCurrent = epochRecord.epoch === lease.epoch && epochRecord.author === lease.holder
    if (!isCurrent) {
      if (epochRecord.epoch > lease.epoch || epochRecord.kind === LEASE_KINDS.renew || epochRecord.kind === LEASE_KINDS.resign) return state
      return { ...state, payload: payloadFold.apply(state.payload, epochRecord, offset, 'former') }
    }
    const renewed: LeaseState = { ...lease, lastRecordOffset: offset }
    if (epochRecord.kind === LEASE_KINDS.renew) return { ...state, lease: renewed }
    if (epochRecord.kind === LEASE_KINDS.resign) return { ...state, lease: { ...renewed, holder: undefined } }
    return { lease: renewed, payload: payloadFold.apply(state.payload, epochRecord, offset, 'current') }
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
