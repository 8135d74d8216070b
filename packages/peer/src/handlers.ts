import type {
  Acknowledgement,
  ClaimAnswer,
  ClaimMessage,
  ClaimStateAnswer,
  ClaimStateQuery,
  CopyAnswer,
  CopyQuery,
  IndirectProbe,
  IndirectProbeAnswer,
  MembershipProbe,
  PositionAnswer,
  PositionQuery,
  ReplicaAnswer,
  ReplicaRequest,
  ReportsAnswer,
  ReportsQuery,
  RoleAnswer,
  RoleQuery,
  SettleAnswer,
  SettleMessage,
  TargetChange,
  UsageReport,
  VersionAnswer
} from './messages.js'

/** Handlers of a daemon for the calls of its peers, one for each procedure. */
export interface PeerHandlers {
  readonly probe: (message: MembershipProbe) => Promise<MembershipProbe>
  readonly probeIndirect: (message: IndirectProbe) => Promise<IndirectProbeAnswer>
  readonly configurationPosition: (query: PositionQuery) => Promise<PositionAnswer>
  readonly configurationCopy: (query: CopyQuery) => Promise<CopyAnswer>
  readonly targetReports: (query: ReportsQuery) => Promise<ReportsAnswer>
  readonly targetChanged: (change: TargetChange) => Promise<Acknowledgement>
  readonly wantReplica: (request: ReplicaRequest) => Promise<ReplicaAnswer>
  readonly usageReport: (report: UsageReport) => Promise<Acknowledgement>
  readonly claim: (message: ClaimMessage, signal: AbortSignal) => Promise<ClaimAnswer>
  readonly settleClaim: (message: SettleMessage, signal: AbortSignal) => Promise<SettleAnswer>
  readonly claimState: (query: ClaimStateQuery) => Promise<ClaimStateAnswer>
  readonly roleHolder: (query: RoleQuery) => Promise<RoleAnswer>
  readonly versionInForce: () => Promise<VersionAnswer>
}
