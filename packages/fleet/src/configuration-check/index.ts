/**
 * Checks a configuration before it is put into force, and compares it with the one that it replaces.
 */
export { checkConfiguration } from './check-configuration.js'
export { compareConfigurations } from './compare-configurations.js'
export type { ConfigurationComparison } from './compare-configurations.js'
export { severityOf } from './findings.js'
export type { ConfigurationDifference, ConfigurationField, ConfigurationFinding, ConfigurationValue, EntryLocation, FindingSeverity } from './findings.js'
