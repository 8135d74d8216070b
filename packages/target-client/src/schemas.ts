import type { TargetState, VmListing } from '@fuchsiastage/types'
import { z, type ZodType } from 'zod'
import type { CacheEvents } from './outcomes.js'

const vmState = z.enum(['live', 'leaving'])

const load = z.object({
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  capacity: z.number().nonnegative(),
  ageMilliseconds: z.number().nonnegative()
})

const model = z.object({
  model: z.string(),
  state: z.enum(['loading', 'loaded', 'unloading']),
  orderId: z.string(),
  memoryMegabytes: z.number().nonnegative()
})

export const targetStateSchema: ZodType<TargetState> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('engine'),
    incarnation: z.string(),
    state: vmState,
    fencingToken: z.number().int(),
    memoryMegabytes: z.number().nonnegative(),
    models: z.array(model),
    executedOrders: z.array(z.string()),
    cachedWeights: z.record(z.string(), z.enum(['memory', 'disk', 'remote'])),
    load
  }),
  z.object({ kind: z.literal('service'), incarnation: z.string(), state: vmState, load })
])

export const vmListingSchema: ZodType<VmListing> = z.object({
  vms: z.array(z.object({
    name: z.string(),
    role: z.string(),
    region: z.string(),
    dataCentre: z.string(),
    address: z.string(),
    peerAddress: z.string().optional(),
    state: vmState
  }))
})

export const cacheEventsSchema: ZodType<CacheEvents> = z.object({
  events: z.array(z.object({
    sequence: z.number().int(),
    model: z.string(),
    prefix: z.string(),
    kind: z.enum(['stored', 'evicted'])
  })),
  nextSequence: z.number().int()
})

export const orderAnswerSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done') }),
  z.object({ kind: z.literal('refused-token'), currentToken: z.number().int() }),
  z.object({ kind: z.literal('failed'), reason: z.string() })
])
