import { readFileSync } from 'node:fs'
import { indexConfiguration, type ConfigurationIndex } from '@fuchsiastage/configuration'
import { ENTRY_ROLE, formatFaults, parseDeployment, type Deployment } from '@fuchsiastage/settings'
import type { ConfigurationPatch } from '@fuchsiastage/types'

export const DEPLOYMENTS = ['renewal-office', 'co-operative'] as const

export type DeploymentName = (typeof DEPLOYMENTS)[number]

export interface ExampleDeployment {
  readonly name: DeploymentName
  readonly deployment: Deployment
  readonly configuration: ConfigurationIndex
  readonly daemons: readonly string[]
}

/** Root of the repository, relative to the `dist` folder of this package. */
export const REPOSITORY_ROOT = new URL('../../../', import.meta.url)

/**
 * Reads one of the deployments in the `examples` folder.
 *
 * @example
 * const { configuration } = readExampleDeployment('co-operative')
 */
export function readExampleDeployment (name: DeploymentName): ExampleDeployment {
  const read = (file: string): string => readFileSync(new URL(`examples/${name}/${file}`, REPOSITORY_ROOT), 'utf8')
  const deployment = parseDeployment(read('deployment.ini'))
  if (deployment.isErr) throw new Error(formatFaults(deployment.error).join('\n'))
  const patch = JSON.parse(read('configuration.json')) as ConfigurationPatch
  return {
    name,
    deployment: deployment.value,
    configuration: indexConfiguration(new Map(patch.changes.map(({ key, value }) => [key, value]))),
    daemons: [...deployment.value.vms].filter(([, { role }]) => role === ENTRY_ROLE).map(([daemon]) => daemon)
  }
}
