import type { Member, MemberUpdate, TargetNews } from '@fuchsiastage/fleet'
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
  /** Term of the order lease, while the sender holds it. */
  leaseTerm: z.number().optional(),
  rumours: z.array(memberUpdate),
  configurationVersion: z.number().optional(),
  /** The sender has not read the list of targets in this life, because the log service does not answer it. */
  lacksTargets: z.boolean(),
  /** Requests since the last message, by model and `model/adapter`; for the holder of the lease only. */
  demand: z.array(z.tuple([z.string(), z.number()])),
  /** Models and adapters that serve requests of the sender, as `target model` and `target model/adapter`. */
  inUse: z.array(z.string()),
  /** Targets whose streams to the sender pause for too long; for the holder of the lease only. */
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

/** A document of the log service, passed on to a daemon that cannot read it. */
export interface RelayedDocument {
  readonly key: string
  readonly base64: string
}

export interface SyncAnswer {
  readonly member: Member
  readonly leaseTerm: number | undefined
  readonly rumours: readonly MemberUpdate[]
  /** Present when the answering daemon has a newer version than the asking one. */
  readonly configuration: RelayedDocument | undefined
  readonly targets: readonly RelayedDocument[]
  /** What the holder of the lease knows of the targets. */
  readonly news: readonly TargetNews[]
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
 * Creates the router that answers other daemons.
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
