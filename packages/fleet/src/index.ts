/**
 * State that a daemon keeps about routes, targets and members, and the followers that keep it up to date.
 */
export { checkConfiguration, compareConfigurations, severityOf } from './configuration-check/index.js'
export type { ConfigurationComparison, ConfigurationDifference, ConfigurationField, ConfigurationFinding, ConfigurationValue, EntryLocation, FindingSeverity } from './configuration-check/index.js'
export { createConfigurationHolder } from './configuration-holder.js'
export type { ConfigurationHolder } from './configuration-holder.js'
export { digestCustomerKey } from './customer-key.js'
export { hashToUnitInterval } from './hash.js'
export { createKeyedFollower } from './keyed-follower.js'
export type { KeyedFollower, KeyedFollowerOptions, KeyedFollowerSettings } from './keyed-follower.js'
export { relateEra } from './log-era.js'
export type { EraRelation } from './log-era.js'
export { createMemoryPlatformLog } from './memory-platform-log.js'
export type { MemoryPlatformLog } from './memory-platform-log.js'
export { createMemberDirectory } from './member-directory.js'
export type { Member, MemberContact, MemberList, MemberDirectory, MemberDirectoryOptions, MemberUpdate } from './member-directory.js'
export type { AppendOutcome, KeyedRecord, LogState, NewestRecords, PlatformLog, ReadOutcome } from './platform-log.js'
export { chooseService, findRoute } from './serving-configuration.js'
export type {
  AllowanceUnit,
  ClientLimits,
  CustomerAllowance,
  CustomerDirectory,
  EngineDefinition,
  EngineModel,
  RequestKind,
  ServingConfiguration,
  ServingCustomer,
  ServingRoute,
  ServingService,
  WeightedService
} from './serving-configuration.js'
export { isSocketAddress } from './socket-address.js'
export { targetKeyOf } from './target.js'
export type { EngineReport, LoadedModel, TargetEntry, TargetKey, TargetLoad, TargetPlacement } from './target.js'
export { createTargetDirectory } from './target-directory.js'
export type { KnownTarget, LeavingStatement, TargetDirectory, TargetDirectoryEvents, TargetDirectoryOptions, TargetUpdate } from './target-directory.js'
