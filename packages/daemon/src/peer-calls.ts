import type { ClaimTransport, ClaimStateAnswer } from '@fuchsiastage/claims'
import type { ConfigurationPeers } from '@fuchsiastage/configuration'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { LogRecord, PeerSnapshot } from '@fuchsiastage/log-client'
import type { PeerClient, PositionAnswer, ReplicaAnswer, ReplicaRequest, TargetChange, UsageReport, VersionAnswer } from '@fuchsiastage/peer'
import type { MembershipMessage, MembershipTransport } from '@fuchsiastage/membership'
import type { TargetUpdate } from '@fuchsiastage/routing'
import type { Milliseconds } from '@fuchsiastage/types'
import { err, type Result } from 'true-myth/result'
import { toProbe } from './peer-handlers.js'

export interface PeerCallsOptions {
  readonly daemon: string
  readonly client: PeerClient
  /** Returns the peer address of a daemon; undefined if the VM list contains none. */
  readonly addressOf: (daemon: string) => string | undefined
  readonly members: () => readonly string[]
  readonly timeoutMilliseconds: Milliseconds
  /** Timeout of calls to claim owners, where a claim may wait for another request with the same idempotency key. */
  readonly claimTimeoutMilliseconds: Milliseconds
}

/** Calls from this daemon to other daemons, which are addressed by name. */
export interface PeerCalls {
  readonly configuration: ConfigurationPeers
  readonly claims: ClaimTransport
  readonly claimState: (daemon: string, claimId: string, signal: AbortSignal) => Promise<Result<ClaimStateAnswer, FuchsiastageError>>
  readonly targetReports: (daemon: string, targets: readonly string[], signal: AbortSignal) => Promise<Result<readonly Omit<TargetUpdate, 'source'>[], FuchsiastageError>>
  readonly targetChanged: (daemon: string, change: TargetChange) => Promise<Result<object, FuchsiastageError>>
  readonly wantReplica: (daemon: string, request: ReplicaRequest) => Promise<Result<ReplicaAnswer, FuchsiastageError>>
  readonly usageReport: (daemon: string, report: UsageReport) => Promise<Result<object, FuchsiastageError>>
  readonly versionInForce: (daemon: string) => Promise<Result<VersionAnswer, FuchsiastageError>>
  readonly membership: MembershipTransport
}

/**
 * Creates the calls to other daemons.
 *
 * @example
 * const calls = createPeerCalls(options)
 * const version = await calls.versionInForce('entry-2')
 */
export function createPeerCalls (options: PeerCallsOptions): PeerCalls {
  const { client, daemon: from } = options

  const call = async <Answer> (
    step: string,
    daemon: string,
    run: Parameters<typeof client.call<Answer>>[2],
    limits: { readonly timeoutMilliseconds?: Milliseconds, readonly signal?: AbortSignal } = {}
  ): Promise<Result<Answer, FuchsiastageError>> => {
    const address = options.addressOf(daemon)
    if (address === undefined) return err(createError({ code: 'peer-unknown', message: 'the VM list contains no peer address for this daemon', step, peer: daemon, status: 503 }))
    return await client.call(step, address, run, { timeoutMilliseconds: options.timeoutMilliseconds, ...limits })
  }

  const claimLimits = (signal: AbortSignal) => ({ signal, timeoutMilliseconds: options.claimTimeoutMilliseconds })

  return {
    configuration: {
      members: options.members,
      position: (member, signal) => call<PositionAnswer>('configuration-position', member, (api, callSignal) => api.configurationPosition.query({ from }, { signal: callSignal }), { signal }),
      copyFrom: async (member, fromOffset, signal) => {
        const answer = await call('configuration-copy', member, (api, callSignal) => api.configurationCopy.query({ fromOffset }, { signal: callSignal }), { signal })
        return answer.map(({ position, records, snapshot }) => ({
          position,
          records: records as readonly LogRecord[],
          ...(snapshot === undefined ? {} : { snapshot: snapshot as PeerSnapshot })
        }))
      }
    },
    claims: {
      claim: (daemon, partition, message, signal) => call('claim', daemon, (api, callSignal) => api.claim.mutate({ partition, message: { ...message } }, { signal: callSignal }), claimLimits(signal)),
      settle: (daemon, partition, message, signal) => call('settle-claim', daemon, (api, callSignal) => api.settleClaim.mutate({ partition, message: { ...message } }, { signal: callSignal }), claimLimits(signal))
    },
    claimState: (daemon, claimId, signal) => call('claim-state', daemon, (api, callSignal) => api.claimState.mutate({ claimId }, { signal: callSignal }), { signal }),
    targetReports: async (daemon, targets, signal) => {
      const answer = await call('target-reports', daemon, (api, callSignal) => api.targetReports.mutate({ targets: [...targets] }, { signal: callSignal }), { signal })
      return answer.map(({ reports }) => reports)
    },
    targetChanged: (daemon, change) => call('target-changed', daemon, (api, signal) => api.targetChanged.mutate(change, { signal })),
    wantReplica: (daemon, request) => call('want-replica', daemon, (api, signal) => api.wantReplica.mutate(request, { signal })),
    usageReport: (daemon, report) => call('usage-report', daemon, (api, signal) => api.usageReport.mutate(report, { signal })),
    versionInForce: (daemon) => call('version-in-force', daemon, (api, signal) => api.versionInForce.query(undefined, { signal })),
    membership: {
      probe: async (member, message, signal) => {
        const answer = await call('probe', member.name, (api, callSignal) => api.probe.mutate(toProbe(message), { signal: callSignal }), { signal })
        return answer.map((value) => value as MembershipMessage)
      },
      probeIndirect: async (via, member, signal) => {
        const answer = await call('probe-indirect', via.name, (api, callSignal) => api.probeIndirect.mutate({ member: { ...member } }, { signal: callSignal }), { signal })
        return answer.map(({ answered }) => answered)
      }
    }
  }
}
