import { timingSafeEqual } from 'node:crypto'
import { initTRPC, TRPCError } from '@trpc/server'
import { z } from 'zod'
import type { PeerHandlers } from './handlers.js'
import * as messages from './messages.js'

/** Data that the transport passes to each procedure call. */
export interface PeerContext {
  readonly presentedKey: string
}

// In development mode, tRPC would send stack traces to every client that can reach the port.
const trpc = initTRPC.context<PeerContext>().create({ isDev: false })

/**
 * Creates the tRPC router of a daemon. It rejects calls that do not present one of the accepted peer keys.
 *
 * @example
 * const router = createPeerRouter(handlers, ['current-key', 'previous-key'])
 */
export function createPeerRouter (handlers: PeerHandlers, acceptedKeys: readonly string[]) {
  const procedure = trpc.procedure.use(({ ctx, next }) => {
    if (!acceptedKeys.some((key) => isSameKey(key, ctx.presentedKey))) {
      throw new TRPCError({ code: 'UNAUTHORIZED', message: 'the peer key is missing or wrong' })
    }
    return next()
  })
  const signalOf = (signal: AbortSignal | undefined): AbortSignal => signal ?? new AbortController().signal

  return trpc.router({
    probe: procedure.input(messages.membershipMessage).output(messages.membershipMessage).mutation(({ input }) => handlers.probe(input)),
    probeIndirect: procedure.input(messages.indirectProbe).output(messages.indirectProbeAnswer).mutation(({ input }) => handlers.probeIndirect(input)),
    configurationPosition: procedure.input(messages.positionQuery).output(messages.positionAnswer).query(({ input }) => handlers.configurationPosition(input)),
    configurationCopy: procedure.input(messages.copyQuery).output(messages.copyAnswer).query(({ input }) => handlers.configurationCopy(input)),
    targetReports: procedure.input(messages.reportsQuery).output(messages.reportsAnswer).mutation(({ input }) => handlers.targetReports(input)),
    targetChanged: procedure.input(messages.targetChange).output(messages.acknowledgement).mutation(({ input }) => handlers.targetChanged(input)),
    wantReplica: procedure.input(messages.replicaRequest).output(messages.replicaAnswer).mutation(({ input }) => handlers.wantReplica(input)),
    usageReport: procedure.input(messages.usageReport).output(messages.acknowledgement).mutation(({ input }) => handlers.usageReport(input)),
    claim: procedure.input(messages.claimMessage).output(messages.claimAnswer).mutation(({ input, signal }) => handlers.claim(input, signalOf(signal))),
    settleClaim: procedure.input(messages.settleMessage).output(messages.settleAnswer).mutation(({ input, signal }) => handlers.settleClaim(input, signalOf(signal))),
    claimState: procedure.input(messages.claimStateQuery).output(messages.claimStateAnswer).mutation(({ input }) => handlers.claimState(input)),
    roleHolder: procedure.input(messages.roleQuery).output(messages.roleAnswer).query(({ input }) => handlers.roleHolder(input)),
    versionInForce: procedure.input(z.void()).output(messages.versionAnswer).query(() => handlers.versionInForce())
  })
}

export type PeerRouter = ReturnType<typeof createPeerRouter>

/** Compares keys in constant time, so that response times do not reveal the key byte by byte. */
function isSameKey (expected: string, presented: string): boolean {
  const left = Buffer.from(expected)
  const right = Buffer.from(presented)
  return left.length > 0 && left.length === right.length && timingSafeEqual(left, right)
}
