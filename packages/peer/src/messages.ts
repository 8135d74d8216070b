import { PRIORITY_CLASSES } from '@fuchsiastage/types'
import { z } from 'zod'

const milliseconds = z.number()
const count = z.number().int().nonnegative()

/**
 * Messages are loose: a newer daemon may add fields that an older one ignores, since VMs are
 * upgraded one by one.
 */
export const exchangeMessage = z.looseObject({ from: z.string(), payload: z.json() })
export const indirectExchangeMessage = z.looseObject({ from: z.string(), member: z.string(), payload: z.json() })
export const exchangeAnswer = z.looseObject({ payload: z.json() })

export const positionQuery = z.looseObject({ from: z.string() })
export const positionAnswer = z.looseObject({
  nextOffset: count,
  /** Missing when the daemon has no verified read. */
  verifiedAgeMilliseconds: milliseconds.optional(),
  uptimeMilliseconds: milliseconds,
  version: count
})

export const copyQuery = z.looseObject({ fromOffset: count })
export const copyAnswer = z.looseObject({
  position: positionAnswer,
  records: z.array(z.object({ offset: count, value: z.json() })),
  /** Present instead of the records when the daemon no longer holds them. */
  snapshot: z.object({ formatVersion: count, throughOffset: z.number().int(), state: z.json() }).optional()
})

export const reportsQuery = z.looseObject({ targets: z.array(z.string()) })
export const reportsAnswer = z.looseObject({
  reports: z.array(z.looseObject({
    target: z.string(),
    incarnation: z.string(),
    state: z.enum(['live', 'leaving']),
    load: z.looseObject({ running: z.number(), waiting: z.number(), capacity: z.number(), ageMilliseconds: milliseconds }),
    ageMilliseconds: milliseconds
  }))
})
export const targetChange = z.looseObject({ target: z.string(), state: z.json() })

export const replicaRequest = z.looseObject({
  from: z.string(),
  model: z.string(),
  /** Time left until the waiting request's deadline. */
  deadlineMilliseconds: milliseconds,
  priority: z.enum(PRIORITY_CLASSES),
  waiting: count,
  request: z.string()
})
export const replicaAnswer = z.discriminatedUnion('kind', [
  z.looseObject({ kind: z.literal('expected'), readyInMilliseconds: milliseconds }),
  z.looseObject({ kind: z.literal('refused'), code: z.string(), reason: z.string(), retryAfterMilliseconds: milliseconds }),
  z.looseObject({ kind: z.literal('not-holder'), holder: z.string().nullable() })
])

export const usageReport = z.looseObject({
  from: z.string(),
  models: z.array(z.looseObject({ model: z.string(), requests: count, running: count, lastUsedAgoMilliseconds: milliseconds }))
})

/** Claim messages are decoded by the package `claims`, which owns their form. */
export const claimMessage = z.looseObject({ body: z.json() })
export const claimAnswer = z.looseObject({ body: z.json() })

export const roleQuery = z.looseObject({ stream: z.string() })
export const roleAnswer = z.looseObject({ holder: z.string().nullable(), epoch: count })
export const versionAnswer = z.looseObject({ daemon: z.string(), version: count, nextOffset: count, verifiedAgeMilliseconds: milliseconds.optional(), status: z.string() })
export const acknowledgement = z.looseObject({})

export type ExchangeMessage = z.infer<typeof exchangeMessage>
export type IndirectExchangeMessage = z.infer<typeof indirectExchangeMessage>
export type ExchangeAnswer = z.infer<typeof exchangeAnswer>
export type PositionQuery = z.infer<typeof positionQuery>
export type PositionAnswer = z.infer<typeof positionAnswer>
export type CopyQuery = z.infer<typeof copyQuery>
export type CopyAnswer = z.infer<typeof copyAnswer>
export type ReportsQuery = z.infer<typeof reportsQuery>
export type ReportsAnswer = z.infer<typeof reportsAnswer>
export type TargetChange = z.infer<typeof targetChange>
export type ReplicaRequest = z.infer<typeof replicaRequest>
export type ReplicaAnswer = z.infer<typeof replicaAnswer>
export type UsageReport = z.infer<typeof usageReport>
export type ClaimMessage = z.infer<typeof claimMessage>
export type ClaimAnswer = z.infer<typeof claimAnswer>
export type RoleQuery = z.infer<typeof roleQuery>
export type RoleAnswer = z.infer<typeof roleAnswer>
export type VersionAnswer = z.infer<typeof versionAnswer>
export type Acknowledgement = z.infer<typeof acknowledgement>
