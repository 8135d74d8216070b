import { z } from 'zod'

export const RECORD_KINDS = {
  intent: 'intent',
  settlement: 'settlement',
  release: 'release',
  observed: 'target-observed'
} as const

const name = z.string().min(1)
const megabytes = z.number().nonnegative()

/**
 * Number of the decision within its epoch. It increases with each decision, so that the fold detects
 * duplicate records without storing all record ids.
 */
const sequence = z.number().int().positive()

/** Written before a load order is sent. Creates the reservation or adds an order to an existing one. */
export const intentRecord = z.object({
  orderId: name,
  sequence,
  target: name,
  targetIncarnation: name,
  model: name,
  /** Base model of an adapter; null for a model. */
  baseModel: name.nullable(),
  memoryMegabytes: megabytes,
  replicaLimit: z.number().int().nonnegative(),
  configurationVersion: z.number().int().nonnegative()
})

/** Outcome of a load order. `not-executed`: the order was refused by the target, or was not sent and never will be. */
export const settlementRecord = z.object({
  orderId: name,
  outcome: z.enum(['loaded', 'failed', 'not-executed'])
})

export const releaseRecord = z.object({
  sequence,
  target: name,
  model: name,
  reservationId: name,
  /** Newest order of the reservation when the target was read. The release is ignored if a newer order was added since. */
  lastOrderId: name,
  /** Fencing token that the target reported in the read that showed the model as not loaded. */
  fencingToken: z.number().int().nonnegative()
})

/** Result of reading a target. `incarnation: null` means that the target is permanently removed. */
export const observedRecord = z.object({
  sequence,
  target: name,
  /** Incarnation in the placement state when the read started. The record is ignored if it has changed since. */
  previousIncarnation: name.nullable(),
  incarnation: name.nullable(),
  address: name,
  role: name,
  dataCentre: name,
  fencing: z.enum(['checked', 'ignored']),
  memoryMegabytes: megabytes,
  /** Orders that can no longer take effect. */
  endedOrders: z.array(name),
  usableModels: z.array(name),
  unusableModels: z.array(name)
})

export type IntentFields = z.infer<typeof intentRecord>
export type SettlementFields = z.infer<typeof settlementRecord>
export type ReleaseFields = z.infer<typeof releaseRecord>
/** Fields of an observation without the sequence number, which is added when the record is written. */
export type ObservedFields = Omit<z.infer<typeof observedRecord>, 'sequence'>
