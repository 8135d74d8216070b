import type { ClaimClient } from '@fuchsiastage/claims'
import type { Clock } from '@fuchsiastage/clock'
import type { ConfigurationController } from '@fuchsiastage/configuration'
import type { LeasedStream } from '@fuchsiastage/leased-stream'
import type { MembershipController, MembershipMessage } from '@fuchsiastage/membership'
import type { MembershipProbe, PeerHandlers } from '@fuchsiastage/peer'
import type { PlacementController, PlacementState } from '@fuchsiastage/placement'
import type { ReportStore } from '@fuchsiastage/routing'
import type { ClaimRoles } from './claim-roles.js'

export interface PeerHandlerOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly configuration: ConfigurationController
  readonly placement: PlacementController
  readonly placementStream: LeasedStream<PlacementState>
  readonly claimRoles: ClaimRoles
  readonly claims: ClaimClient
  readonly reports: ReportStore
  readonly membership: MembershipController
}

/**
 * Creates the handlers for calls from other daemons.
 *
 * @example
 * const server = await startPeerServer({ handlers: createPeerHandlers(options), ...rest })
 */
export function createPeerHandlers (options: PeerHandlerOptions): PeerHandlers {
  const { configuration, placement, placementStream, claimRoles, reports } = options
  return {
    probe: async (message) => toProbe(options.membership.handleProbe(message as MembershipMessage)),
    probeIndirect: async ({ member }) => ({ answered: await options.membership.handleProbeIndirect(member) }),
    configurationPosition: async () => ({ ...configuration.position() }),
    configurationCopy: async ({ fromOffset }) => {
      const { position, records, snapshot } = configuration.copyFrom(fromOffset)
      return {
        position: { ...position },
        records: records.map(({ offset, value }) => ({ offset, value: value as never })),
        ...(snapshot === undefined ? {} : { snapshot: { ...snapshot, state: snapshot.state as never } })
      }
    },
    targetReports: async ({ targets }) => ({ reports: reports.export(targets).map(({ source, ...update }) => ({ ...update, load: { ...update.load } })) }),
    targetChanged: async ({ target }) => {
      placement.targetChanged(target)
      return {}
    },
    wantReplica: async ({ model, adapter, deadlineMilliseconds, priority, waiting }) => placement.wantReplica({ model, adapter, deadlineMilliseconds, priority, waiting }),
    usageReport: async ({ from, models }) => {
      for (const { model, requests, running } of models) placement.reportUsage({ daemon: from, name: model, requests, inFlight: running })
      return {}
    },
    claim: async ({ partition, message }, signal) => {
      const owner = claimRoles.owner(partition)
      return owner === undefined ? { kind: 'not-owner' } : await owner.claim(message, signal)
    },
    settleClaim: async ({ partition, message }, signal) => {
      const owner = claimRoles.owner(partition)
      return owner === undefined ? { kind: 'not-owner' } : await owner.settle(message, signal)
    },
    claimState: async ({ claimId }) => options.claims.claimState(claimId),
    roleHolder: async ({ stream }) => stream === placementStream.stream
      ? { holder: placementStream.holder() ?? null, epoch: placementStream.follower.view().state.lease.epoch }
      : { holder: null, epoch: 0 },
    versionInForce: async () => {
      const { version, nextOffset, verifiedAgeMilliseconds } = configuration.position()
      return { daemon: options.daemon, version, nextOffset, verifiedAgeMilliseconds, status: configuration.freshness().kind }
    }
  }
}

/** Casts a message to the mutable type that is inferred from the tRPC schema. */
export function toProbe (message: MembershipMessage): MembershipProbe {
  return message as unknown as MembershipProbe
}
