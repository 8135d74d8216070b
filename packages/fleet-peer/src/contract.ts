import type { Member, MemberUpdate, TargetUpdate } from '@fuchsiastage/fleet'
import { initTRPC } from '@trpc/server'
import { z } from 'zod'

const member = z.object({
  name: z.string(),
  startedAt: z.number(),
  frontAddress: z.string(),
  peerAddress: z.string(),
  dataCentre: z.string(),
  state: z.enum(['serving', 'leaving'])
})
const memberUpdate = z.object({ member, heardAgoMilliseconds: z.number().nonnegative() })

const syncInput = z.object({
  member,
  /** Term of the order lease while the sender holds it. */
  leaseTerm: z.number().optional(),
  rumours: z.array(memberUpdate),
  configurationVersion: z.number().optional(),
  /** Whether the sender has not read the list of targets since its start, because it cannot reach the log service. */
  lacksTargets: z.boolean(),
  /** Numbers of requests since the last message, by `model` and `model/adapter`; sent to the lease holder only. */
  demand: z.array(z.tuple([z.string(), z.number()])),
  /**
   * Models and adapters that currently serve requests of the sender, as `target model` and
   * `target model/adapter`; sent to the lease holder only.
   */
  inUse: z.array(z.string()),
  /** Overloaded targets, whose streams to the sender pause for too long; sent to the lease holder only. */
  strained: z.array(z.string())
})

const placeInput = z.object({
  service: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  request: z.string(),
  remainingMilliseconds: z.number(),
  avoid: z.array(z.string())
})

export type SyncMessage = Readonly<z.infer<typeof syncInput>>
export type PlaceMessage = Readonly<z.infer<typeof placeInput>>

/** Document of the log service, relayed to a daemon that cannot read it from there. */
export interface RelayedDocument {
  readonly key: string
  /** Bytes of the document in base64. */
  readonly base64: string
}

export interface SyncAnswer {
  readonly member: Member
  readonly leaseTerm: number | undefined
  readonly rumours: readonly MemberUpdate[]
  /** The configuration, if the responding daemon has a newer version than the sender of the message. */
  readonly configuration: RelayedDocument | undefined
  /** Entries of the targets, if the message states `lacksTargets`. */
  readonly targets: readonly RelayedDocument[]
  /** Target updates of the lease holder; empty in responses of other daemons. */
  readonly news: readonly TargetUpdate[]
}

export type PlaceAnswer =
  | { readonly kind: 'ready', readonly target: string }
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMilliseconds: number }

export interface PeerHandlers {
  readonly sync: (message: SyncMessage) => SyncAnswer
  readonly place: (message: PlaceMessage, signal: AbortSignal) => Promise<PlaceAnswer>
}

const trpc = initTRPC.create()

/**
 * Creates the router for calls from the other daemons.
 *
 * @example
 * const router = createFleetRouter(handlers)
 */
export function createFleetRouter (handlers: PeerHandlers) {
  return trpc.router({
    sync: trpc.procedure.input(syncInput).mutation(({ input }) => handlers.sync(input)),
    place: trpc.procedure.input(placeInput).mutation(async ({ input, signal }) => await handlers.place(input, signal ?? new AbortController().signal))
  })
}

export type FleetRouter = ReturnType<typeof createFleetRouter>
