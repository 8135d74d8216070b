/**
 * The settings of a daemon, with one schema for the parser, the validation and the reference page,
 * and the description of a deployment's stand-ins.
 */
export { parseSettings, findEnvironmentFaults } from './parse-settings.js'
export type { DataCentreSettings, Settings } from './parse-settings.js'
export { formatFaults } from './parse-ini.js'
export type { SettingsFault } from './parse-ini.js'
export { settingsReference } from './settings-reference.js'
export { ENTRY_ROLE, parseDeployment } from './deployment.js'
export type { Deployment, DeploymentRole, DeploymentVm } from './deployment.js'
