import { PRIORITY_CLASSES } from '@fuchsiastage/types'
import { z } from 'zod'

const milliseconds = z.number()
const count = z.number().int().nonnegative()

// The schemas are loose objects because VMs are upgraded one by one: a newer daemon may send fields
// that an older daemon does not know and has to ignore.

export const membershipMessage = z.looseObject({
  from: z.string(),
  incarnation: count,
  isLeaving: z.boolean(),
  updates: z.array(z.union([
    z.tuple([z.enum(['a', 'l', 's', 'f']), z.string(), count]),
    z.tuple([z.literal('t'), z.string(), z.enum(['address', 'incarnation']), z.string()])
  ])),
  payload: z.record(z.string(), z.json())
})
export const indirectProbe = z.looseObject({
  member: z.looseObject({
    name: z.string(),
    role: z.string(),
    region: z.string(),
    dataCentre: z.string(),
    address: z.string(),
    peerAddress: z.string().optional(),
    state: z.enum(['live', 'leaving'])
  })
})
export const indirectProbeAnswer = z.looseObject({ answered: z.boolean() })

export const positionQuery = z.looseObject({ from: z.string() })
export const positionAnswer = z.looseObject({
  nextOffset: count,
  /** Age of the daemon's last verified read; missing when there has been none. */
  verifiedAgeMilliseconds: milliseconds.optional(),
  uptimeMilliseconds: milliseconds,
  version: count
})

export const copyQuery = z.looseObject({ fromOffset: count })
export const copyAnswer = z.looseObject({
  position: positionAnswer,
  records: z.array(z.object({ offset: count, value: z.json() })),
  /** Sent instead of the records when the daemon no longer has them. */
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
  /** Name of the requested adapter of the model; missing when the request is for the model itself. */
  adapter: z.string().optional(),
  /** Time that remains until the deadline of the waiting request. */
  deadlineMilliseconds: milliseconds,
  priority: z.enum(PRIORITY_CLASSES),
  waiting: count,
  request: z.string()
})
export const replicaAnswer = z.discriminatedUnion('kind', [
  z.looseObject({ kind: z.literal('ready') }),
  z.looseObject({ kind: z.literal('expected'), readyInMilliseconds: milliseconds }),
  z.looseObject({
    kind: z.literal('refused'),
    code: z.enum(['not-holder', 'configuration-unverified', 'not-permitted', 'deadline-unreachable', 'no-capacity', 'queue-full']),
    retryAfterMilliseconds: milliseconds
  })
])

export const usageReport = z.looseObject({
  from: z.string(),
  models: z.array(z.looseObject({ model: z.string(), requests: count, running: count, lastUsedAgoMilliseconds: milliseconds }))
})

const outcome = z.enum(['done', 'not-run', 'unknown'])
const storedAnswer = z.object({ status: z.number().int(), headers: z.record(z.string(), z.string()), body: z.string() })
const notOwner = z.looseObject({ kind: z.literal('not-owner'), holder: z.string().optional() })

export const claimMessage = z.looseObject({
  partition: count,
  message: z.looseObject({ caller: z.string(), key: z.string(), fingerprint: z.string(), claimId: z.string(), waitMilliseconds: milliseconds })
})
export const claimAnswer = z.discriminatedUnion('kind', [
  z.looseObject({ kind: z.literal('granted'), claimId: z.string() }),
  z.looseObject({ kind: z.literal('replay'), answer: storedAnswer }),
  z.looseObject({ kind: z.literal('already-done') }),
  z.looseObject({ kind: z.literal('mismatch') }),
  z.looseObject({ kind: z.literal('unknown'), reason: z.string() }),
  z.looseObject({ kind: z.literal('refused'), code: z.string(), reason: z.string() }),
  z.looseObject({ kind: z.literal('not-yet'), isHeld: z.boolean() }),
  notOwner
])
export const settleMessage = z.looseObject({
  partition: count,
  message: z.looseObject({ caller: z.string(), key: z.string(), claimId: z.string(), outcome, answer: storedAnswer.optional() })
})
export const settleAnswer = z.discriminatedUnion('kind', [
  z.looseObject({ kind: z.literal('confirmed') }),
  z.looseObject({ kind: z.literal('undecided') }),
  notOwner
])
export const claimStateQuery = z.looseObject({ claimId: z.string() })
export const claimStateAnswer = z.discriminatedUnion('kind', [
  z.looseObject({ kind: z.literal('not-sent') }),
  z.looseObject({ kind: z.literal('in-flight') }),
  z.looseObject({ kind: z.literal('settled'), outcome, answer: storedAnswer.optional() }),
  z.looseObject({ kind: z.literal('unknown') })
])

export const roleQuery = z.looseObject({ stream: z.string() })
export const roleAnswer = z.looseObject({ holder: z.string().nullable(), epoch: count })
export const versionAnswer = z.looseObject({ daemon: z.string(), version: count, nextOffset: count, verifiedAgeMilliseconds: milliseconds.optional(), status: z.string() })
export const acknowledgement = z.looseObject({})

export type MembershipProbe = z.infer<typeof membershipMessage>
export type IndirectProbe = z.infer<typeof indirectProbe>
export type IndirectProbeAnswer = z.infer<typeof indirectProbeAnswer>
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
export type SettleMessage = z.infer<typeof settleMessage>
export type SettleAnswer = z.infer<typeof settleAnswer>
export type ClaimStateQuery = z.infer<typeof claimStateQuery>
export type ClaimStateAnswer = z.infer<typeof claimStateAnswer>
export type RoleQuery = z.infer<typeof roleQuery>
export type RoleAnswer = z.infer<typeof roleAnswer>
export type VersionAnswer = z.infer<typeof versionAnswer>
export type Acknowledgement = z.infer<typeof acknowledgement>
