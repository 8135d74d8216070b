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
 * Grows with each decision of an epoch, so that a late copy of a record is recognised without a list
 * of all record ids.
 */
const sequence = z.number().int().positive()

/** Written before a load order is sent; makes the reservation or adds an order to it. */
export const intentRecord = z.object({
  orderId: name,
  sequence,
  target: name,
  targetIncarnation: name,
  model: name,
  /** Set for an adapter: the model that it is loaded onto. */
  baseModel: name.nullable(),
  memoryMegabytes: megabytes,
  replicaLimit: z.number().int().nonnegative(),
  configurationVersion: z.number().int().nonnegative()
})

/** How a load order ended. `not-executed`: never sent and never will be, or refused by the target. */
export const settlementRecord = z.object({
  orderId: name,
  outcome: z.enum(['loaded', 'failed', 'not-executed'])
})

export const releaseRecord = z.object({
  sequence,
  target: name,
  model: name,
  reservationId: name,
  /** Newest order of the reservation when the target was read; a later order voids the release. */
  lastOrderId: name,
  /** Token that the target showed in the read that found the model absent. */
  fencingToken: z.number().int().nonnegative()
})

/** What a fresh read of a target showed; `incarnation: null` says that the target is gone for good. */
export const observedRecord = z.object({
  sequence,
  target: name,
  /** Incarnation in the fold when the read began; protects against a read that was overtaken. */
  previousIncarnation: name.nullable(),
  incarnation: name.nullable(),
  address: name,
  role: name,
  dataCentre: name,
  fencing: z.enum(['checked', 'ignored']),
  memoryMegabytes: megabytes,
  /** Orders that can have no effect any more. */
  endedOrders: z.array(name),
  usableModels: z.array(name),
  unusableModels: z.array(name)
})

export type IntentFields = z.infer<typeof intentRecord>
export type SettlementFields = z.infer<typeof settlementRecord>
export type ReleaseFields = z.infer<typeof releaseRecord>
/** The sequence is added when the record is written. */
export type ObservedFields = Omit<z.infer<typeof observedRecord>, 'sequence'>
