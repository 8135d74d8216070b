/**
 * The configuration of a deployment: schemas, patches and their three-way merge, the fold of the
 * `configuration` stream, freshness decisions, and the controller that connects them to the log
 * service and the peers.
 */
export {
  CONFIGURATION_FORMAT_VERSION,
  CONFIGURATION_STREAM,
  configurationFold,
  createConfigurationFold,
  documentAt,
  findOutcome,
  foldConfiguration,
  KEPT_REJECTIONS,
  KEPT_VERSIONS,
  PATCH_KIND
} from './configuration-fold.js'
export type { ConfigurationState, ConfigurationVersion, FoldedOutcome, RejectedPatch, VersionChange } from './configuration-fold.js'
export {
  indexConfiguration,
  readAdapter,
  readCaller,
  readModel,
  readPermittedFormat,
  readRole,
  readRule,
  readService
} from './configuration-index.js'
export type { ConfigurationIndex, NamedCaller } from './configuration-index.js'
export { createConfigurationController, DEFAULT_CONFIGURATION_TIMING } from './configuration-controller.js'
export type {
  ConfigurationController,
  ConfigurationControllerOptions,
  ConfigurationEvents,
  ConfigurationPeers,
  ConfigurationTiming,
  PeerCopy
} from './configuration-controller.js'
export { decideFreshness, FRESHNESS_LIMIT_MILLISECONDS, majoritySize } from './freshness.js'
export type { FreshnessDecision, FreshnessInput, FreshnessReason, MemberAnswer, MemberPosition, UnverifiedMode } from './freshness.js'
export { findBrokenInvariants, findUnknownDataCentres } from './invariants.js'
export { mergePatch, WHOLE_VALUE } from './merge-patch.js'
export type { MergeResult, ValueLookup } from './merge-patch.js'
export {
  adapterSchema,
  callerSchema,
  checkPatch,
  checkValue,
  CONFIGURATION_KINDS,
  formatSchema,
  modelSchema,
  parseKey,
  patchSchema,
  roleSchema,
  ruleSchema,
  serviceSchema,
  WILDCARD
} from './schemas.js'
export type { ConfigurationKind, ParsedKey } from './schemas.js'
