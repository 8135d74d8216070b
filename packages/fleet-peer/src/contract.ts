import type { Member, MemberContact, MemberList, MemberUpdate, TargetUpdate } from '@fuchsiastage/fleet'
import type { QuarantineUpdate } from '@fuchsiastage/request-quarantine'
import type { PermitDecision, RoomReport, StatedFigureUpdate, TargetLimitUpdate } from '@fuchsiastage/target-limits'
import type { AllowanceAnswer, AllowanceRequest } from '@fuchsiastage/customer-allowances'
import { initTRPC, type TRPCError } from '@trpc/server'
import { z } from 'zod'

/** Code of the error of a handover that was refused before it was read. Earlier versions take it for a call whose outcome is unknown. */
export const NO_MEMORY_CODE = 'SERVICE_UNAVAILABLE'

const member = z.object({
  name: z.string(),
  startedAt: z.number(),
  frontAddress: z.string(),
  peerAddress: z.string(),
  dataCentre: z.string(),
  state: z.enum(['serving', 'leaving']),
  /** Absent in descriptions of earlier versions, which do not know the call `allowance`. */
  issuesAllowances: z.boolean().optional()
})
const memberUpdate = z.object({ member, heardAgoMilliseconds: z.number().nonnegative() })
const holderGossip = z.object({ name: z.string(), term: z.number(), heardAgoMilliseconds: z.number().nonnegative() })

const targetLimit = z.object({ target: z.string(), requestsPerSecond: z.number().nonnegative().nullable(), ageMilliseconds: z.number() })

/** The requests that brittle targets may turn away in a second; null if a target is not brittle any more. */
const brittleTarget = z.object({ target: z.string(), figure: z.number().nonnegative().nullable(), ageMilliseconds: z.number() })

const suspect = { sentAgoMilliseconds: z.number(), hasBegun: z.boolean() }
const crash = z.object({
  target: z.string(),
  service: z.string().optional(),
  ageMilliseconds: z.number(),
  isConfirmed: z.boolean(),
  servedSince: z.number().nonnegative(),
  prompts: z.array(z.object({ parts: z.array(z.string()), ...suspect })),
  requests: z.array(z.object({ fingerprint: z.string(), ...suspect })).optional()
})
const servedTraits = z.array(z.tuple([z.string(), z.number()]))
const quarantine: z.ZodType<QuarantineUpdate> = z.object({ crashes: z.array(crash), served: servedTraits, servedRequests: servedTraits.optional(), causes: z.array(z.string()).optional() })

/** Whether a daemon reaches any of the targets. */
const targetAccess = z.enum(['reached', 'lost'])

const syncInput = z.object({
  member,
  /** Absent in messages of earlier versions, to which no requests can be handed over. */
  targetAccess: targetAccess.optional(),
  /** Whether the sender identifies customers and keeps their keys from targets; absent in messages of earlier versions. */
  supportsCustomers: z.boolean().optional(),
  /** Term of the order lease while the sender holds it. */
  leaseTerm: z.number().optional(),
  /** Descriptions of the sender and of members that have changed recently. */
  rumours: z.array(memberUpdate),
  /** Names, start times and milliseconds since the last contact of the members that the sender considers alive; absent in messages of earlier versions. */
  contacts: z.array(z.tuple([z.string(), z.number(), z.number()])).optional(),
  configurationVersion: z.number().optional(),
  /** False if the sender fetches the configuration with a call of its own; absent in messages of earlier versions, which get it in the response. */
  wantsConfiguration: z.boolean().optional(),
  /** Whether the sender has not read the list of targets since its start, because it cannot reach the log service. */
  lacksTargets: z.boolean(),
  /** Whether the sender asks for the list of members, because it has not read it from the log service since its start; absent in messages of earlier versions. */
  lacksMembers: z.boolean().optional(),
  /** The lease holder that the sender knows, with the time since the last message from it to any daemon. */
  holder: holderGossip.optional(),
  /**
   * The last change of the targets that the sender has received: null if it asks for none, and absent
   * in messages of earlier versions, which get the whole state from the lease holder.
   */
  newsSince: z.object({ term: z.number(), sequence: z.number() }).nullable().optional(),
  /** Numbers of requests since the last message, by `model` and `model/adapter`, of the sender and of the daemons that report to it. Sent to the lease holder, directly or through another daemon. */
  demand: z.array(z.tuple([z.string(), z.number()])),
  /**
   * Models and adapters that currently serve requests of these daemons, as `target model` and
   * `target model/adapter`.
   */
  inUse: z.array(z.string()),
  /** Overloaded targets, whose streams to these daemons pause for too long. */
  strained: z.array(z.string()),
  /** Limits that targets have stated recently; absent in messages of earlier versions. */
  targetLimits: z.array(targetLimit).optional(),
  /** Brittle targets; absent in messages of earlier versions, and without any. */
  brittleTargets: z.array(brittleTarget).optional(),
  /** Crashes of targets, and what tells which requests cause them; absent in messages of earlier versions. */
  quarantine: quarantine.optional(),
  /** Targets that have stated recently that they leave, with the milliseconds since then; absent in messages of earlier versions. */
  leavingTargets: z.array(z.tuple([z.string(), z.number().nonnegative()])).optional()
})

/** What a daemon states about its requests to a brittle target; see `RoomStatement`. */
const roomStatement = z.object({
  target: z.string(),
  daemon: z.string(),
  daemonStartedAt: z.number(),
  sequence: z.number(),
  held: z.number().nonnegative(),
  rejections: z.number().nonnegative(),
  slots: z.number().nonnegative()
})

const permitInput = z.object({
  target: z.string(),
  requestsPerSecond: z.number().nonnegative(),
  maximumWaitMilliseconds: z.number(),
  /** Present if the permit is for the room of a brittle target. Earlier versions ignore it, and issue by the rate. */
  room: roomStatement.optional()
})

const roomReport: z.ZodType<RoomReport> = roomStatement.extend({ ended: z.object({ isTurnedAway: z.boolean(), milliseconds: z.number().nonnegative() }).optional() })

export const allowanceInput: z.ZodType<AllowanceRequest> = z.object({
  customer: z.string(),
  unit: z.enum(['requests', 'tokens']),
  cost: z.number().nonnegative(),
  maximumWaitMilliseconds: z.number(),
  perSecond: z.number().positive(),
  burst: z.number().nonnegative(),
  configurationVersion: z.number(),
  returned: z.number().nonnegative(),
  spent: z.number().nonnegative().optional(),
  recentUse: z.number().nonnegative(),
  previous: z.object({ issuer: z.string(), level: z.number(), ageMilliseconds: z.number().nonnegative(), isActive: z.boolean() }).optional()
})

/** Daemons of earlier versions reject a message without prompt parts, which denies the trial. */
const trialInput = z.union([z.object({ parts: z.array(z.string()) }), z.object({ fingerprint: z.string() })])

export const placeInput = z.object({
  service: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  request: z.string(),
  remainingMilliseconds: z.number(),
  avoid: z.array(z.string())
})

const handoverInput = z.object({
  /** Name of the VM that hands the request over. */
  from: z.string(),
  configurationVersion: z.number(),
  method: z.string(),
  host: z.string(),
  path: z.string(),
  /** Names and values of the headers, as the client sent them. */
  rawHeaders: z.array(z.string()),
  /** Body in base64. */
  body: z.string(),
  /** Time since the arrival of the request; its deadline counts from then. */
  elapsedMilliseconds: z.number().nonnegative(),
  /** Whether the sender understands the outcomes `limited` and `rejected` with 401; absent in messages of earlier versions. */
  supportsCustomers: z.boolean().optional(),
  /** Whether the sender has counted the request as demand and for the retry budget. */
  isCounted: z.boolean(),
  /** Targets to which the request must not be sent. */
  excluded: z.array(z.string()),
  /** Targets that may have run the request. */
  mayHaveRun: z.array(z.string()),
  /** Number of engines whose connection was lost before they had sent any of the response. */
  lostBeginnings: z.number().nonnegative(),
  /** Identifier of the last event that was relayed to the client. */
  lastEventId: z.string().optional(),
  /** Software version of the targets that may send the rest of the stream; missing if the client has no event yet. */
  softwareVersion: z.string().optional()
})

const reason = z.string()
const handoverOutcome = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('delivered'), status: z.number() }),
  /** The response ended early. */
  z.object({ kind: z.literal('broken'), reason }),
  /** No target has run the request. */
  z.object({ kind: z.literal('refused'), reason, retryAfterMilliseconds: z.number() }),
  /** The customer has used up its allowance. */
  z.object({ kind: z.literal('limited'), reason, retryAfterMilliseconds: z.number() }),
  /** A target may have run the request. */
  z.object({ kind: z.literal('unknown'), status: z.union([z.literal(502), z.literal(504)]), reason }),
  z.object({ kind: z.literal('rejected'), status: z.union([z.literal(400), z.literal(401), z.literal(404), z.literal(413)]), reason }),
  z.object({ kind: z.literal('abandoned'), reason })
])

/** Parts of the response to a handover: either `declined`, or at most one `head`, any `bytes` after it, and one `end`. */
export const handoverPart = z.discriminatedUnion('kind', [
  /** The peer does not take the request over, and no target has received it: `no-target-access`, `older-configuration` or `leaving`. */
  z.object({ kind: z.literal('declined'), reason }),
  /** Head of the response of a target; `framing` tells how the response ends. Earlier versions do not state the software version of the target. */
  z.object({ kind: z.literal('head'), target: z.string(), status: z.number(), rawHeaders: z.array(z.string()), framing: z.enum(['framed', 'until-close']), softwareVersion: z.string().optional() }),
  z.object({ kind: z.literal('bytes'), base64: z.string() }),
  z.object({ kind: z.literal('end'), outcome: handoverOutcome, mayHaveRun: z.array(z.string()) })
])

export type TargetAccess = z.infer<typeof targetAccess>
export type HandoverMessage = Readonly<z.infer<typeof handoverInput>>
export type HandoverPart = Readonly<z.infer<typeof handoverPart>>
export type HandoverOutcome = Readonly<z.infer<typeof handoverOutcome>>
export type SyncMessage = Readonly<z.infer<typeof syncInput>>
export type HolderGossip = Readonly<z.infer<typeof holderGossip>>
export type PlaceMessage = Readonly<z.infer<typeof placeInput>>
export type TrialMessage = Readonly<z.infer<typeof trialInput>>
export type PermitMessage = Readonly<z.infer<typeof permitInput>>

/** Document of the log service, relayed to a daemon that cannot read it from there. */
export interface RelayedDocument {
  readonly key: string
  /** Bytes of the document in base64. */
  readonly base64: string
}

export interface SyncAnswer {
  readonly member: Member
  /** Absent in responses of earlier versions. */
  readonly targetAccess: TargetAccess | undefined
  /** Daemons that have stated recently that they reach targets, with the milliseconds since then, if the sender of the message reaches none. */
  readonly reachingMembers: ReadonlyArray<readonly [string, number]> | undefined
  /** Absent in responses of earlier versions, which would forward the keys of customers to targets. */
  readonly supportsCustomers: boolean | undefined
  /** Names and start times of those of the reaching members that have stated to support customers; absent in responses of earlier versions. */
  readonly customerMembers: ReadonlyArray<readonly [string, number]> | undefined
  /** Milliseconds since the log service last confirmed, to this daemon or through others, that there is no newer configuration than that of this daemon; absent in responses of earlier versions and before the first confirmation. */
  readonly configurationAge: number | undefined
  /** Version of the configuration of the responding daemon; absent in responses of earlier versions, and without a configuration. */
  readonly configurationVersion: number | undefined
  readonly leaseTerm: number | undefined
  readonly rumours: readonly MemberUpdate[]
  /** Absent in responses of earlier versions. */
  readonly contacts: readonly MemberContact[] | undefined
  /** The configuration, if the responding daemon has a newer version than the sender of the message, which is of an earlier version. */
  readonly configuration: RelayedDocument | undefined
  /** Entries of the targets, if the message states `lacksTargets`. */
  readonly targets: readonly RelayedDocument[]
  /** The members that the responding daemon knows, if the message states `lacksMembers`; absent in responses of earlier versions. */
  readonly members?: MemberList & { /** Number of daemons; missing while the responding daemon cannot tell. */ readonly daemonCount?: number | undefined } | undefined
  readonly holder: HolderGossip | undefined
  /** Changes of the targets after `newsSince`, from the lease holder or relayed from it. */
  readonly news: readonly TargetUpdate[]
  /** Number of the last of these changes; absent in responses of earlier versions and without news. */
  readonly newsVersion: { readonly term: number, readonly sequence: number } | undefined
  /** Limits that targets have stated recently; absent in responses of earlier versions. */
  readonly targetLimits: readonly TargetLimitUpdate[] | undefined
  /** Brittle targets; absent in responses of earlier versions, and without any. */
  readonly brittleTargets?: readonly StatedFigureUpdate[] | undefined
  /** Absent in responses of earlier versions. */
  readonly quarantine: QuarantineUpdate | undefined
  /** Targets that have stated recently that they leave, with the milliseconds since then; absent in responses of earlier versions. */
  readonly leavingTargets: ReadonlyArray<readonly [string, number]> | undefined
}

export type PlaceAnswer =
  | { readonly kind: 'ready', readonly target: string }
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMilliseconds: number }

export interface PeerHandlers {
  readonly sync: (message: SyncMessage) => SyncAnswer
  /** The configuration of this daemon, for a peer that has an older one; earlier versions do not know the call. */
  readonly configuration: () => RelayedDocument | undefined
  readonly place: (message: PlaceMessage, signal: AbortSignal) => Promise<PlaceAnswer>
  readonly permit: (message: PermitMessage) => PermitDecision
  /** Records the end of a request to a brittle target; earlier versions do not know the call. */
  readonly reportRoom: (report: RoomReport) => void
  readonly allowance: (request: AllowanceRequest) => AllowanceAnswer
  /** Whether a quarantined request may be tried. */
  readonly trial: (message: TrialMessage) => boolean
  /** Sends a request that a peer hands over to a target, and returns the response in parts. */
  readonly handOver: (message: HandoverMessage, signal: AbortSignal) => AsyncIterable<HandoverPart>
}

/**
 * Describes why a call failed. The message of a parse error quotes the body of the call, which contains a key
 * if the call hands a request over, so only its code is returned.
 *
 * @example
 * const reason = describeCallError(error)
 */
export function describeCallError ({ code, cause, message }: Pick<TRPCError, 'code' | 'cause' | 'message'>): string {
  const isInvalidCall = code === 'PARSE_ERROR' || code === 'BAD_REQUEST'
  // The faults that zod lists contain no values.
  return isInvalidCall && !(cause instanceof z.ZodError) ? code : message
}

const trpc = initTRPC.create({
  // The stack of an error begins with its message.
  isDev: false,
  errorFormatter: ({ shape, error }) => ({ ...shape, message: describeCallError(error) })
})

/**
 * Creates the router for calls from the other daemons.
 *
 * @example
 * const router = createFleetRouter(handlers)
 */
export function createFleetRouter (handlers: PeerHandlers) {
  return trpc.router({
    sync: trpc.procedure.input(syncInput).mutation(({ input }) => handlers.sync(input)),
    configuration: trpc.procedure.mutation(() => handlers.configuration()),
    place: trpc.procedure.input(placeInput).mutation(async ({ input, signal }) => await handlers.place(input, signal ?? new AbortController().signal)),
    permit: trpc.procedure.input(permitInput).mutation(({ input }) => handlers.permit(input)),
    reportRoom: trpc.procedure.input(roomReport).mutation(({ input }) => { handlers.reportRoom(input) }),
    allowance: trpc.procedure.input(allowanceInput).mutation(({ input }) => handlers.allowance(input)),
    trial: trpc.procedure.input(trialInput).mutation(({ input }) => handlers.trial(input)),
    handOver: trpc.procedure.input(handoverInput).mutation(async function * ({ input, signal }) {
      yield * handlers.handOver(input, signal ?? new AbortController().signal)
    })
  })
}

export type FleetRouter = ReturnType<typeof createFleetRouter>
