/**
 * Read-only domain types that all packages share.
 */
export type { Milliseconds, JsonValue } from './basic.js'
export { assertNever } from './basic.js'
export type {
  AdapterDefinition,
  CallerDefinition,
  ConfigurationChange,
  ConfigurationConflict,
  ConfigurationDocument,
  ConfigurationKey,
  ConfigurationPatch,
  FencingSupport,
  FormatPermission,
  ModelDefinition,
  PatchOutcome,
  PlacementRule,
  PriorityClass,
  ServiceDefinition,
  TargetRoleDefinition
} from './configuration.js'
export { PRIORITY_CLASSES } from './configuration.js'
export type {
  EngineState,
  LoadOrder,
  LoadReport,
  ModelState,
  OrderOutcome,
  TargetState,
  UnloadOrder,
  VmListing,
  VmRecord,
  VmState,
  WeightsLocation
} from './platform.js'
export type { RequestOutcome } from './request.js'
