import { ENTRY_ROLE, type Deployment, type DeploymentRole } from '@fuchsiastage/settings'
import type { DeploymentDescription, RoleDescription } from './deployment.js'
import { DEFAULT_ENGINE_TIMING } from './engine-options.js'

/** Prompt length, in thousands of characters, to which `firstTokenMilliseconds` of a role refers. */
const TYPICAL_PROMPT_THOUSAND_CHARACTERS = 3

/**
 * Converts the settings of a deployment into the description from which the stand-ins are started.
 *
 * @example
 * const description = describeDeployment(deployment)
 * const running = await startDeployment(description, { clock })
 */
export function describeDeployment (deployment: Deployment): DeploymentDescription {
  const vms = [...deployment.vms].map(([name, vm]) => ({ ...vm, name }))
  const smallestMemory = (role: string): number => Math.min(...vms.filter((vm) => vm.role === role).map((vm) => vm.memoryMegabytes))
  return {
    name: deployment.deployment.name,
    region: deployment.deployment.region,
    dataCentres: [...new Set(vms.map((vm) => vm.dataCentre))],
    roles: Object.fromEntries([...deployment.roles].map(([name, role]) => [name, describeRole(role, smallestMemory(name))])),
    vms: vms.map((vm) => ({
      name: vm.name,
      role: vm.role,
      dataCentre: vm.dataCentre,
      address: vm.address,
      ...(vm.role === ENTRY_ROLE ? { peerAddress: vm.peerAddress } : {}),
      ...(vm.memoryMegabytes > 0 ? { memoryMegabytes: vm.memoryMegabytes } : {})
    })),
    logService: deployment.logService,
    vmList: deployment.vmList,
    weightStore: deployment.weightStore
  }
}

function describeRole (role: DeploymentRole, memoryMegabytes: number): RoleDescription {
  if (role.kind === 'service') {
    return { kind: 'service', callMilliseconds: role.firstTokenMilliseconds, maximumConcurrent: role.maximumConcurrent }
  }
  return {
    kind: 'engine',
    fencing: role.fencing,
    memoryMegabytes,
    maximumConcurrent: role.maximumConcurrent,
    timing: {
      ...DEFAULT_ENGINE_TIMING,
      stepMilliseconds: role.tokenMilliseconds,
      prefillMillisecondsPerThousandCharacters: role.firstTokenMilliseconds / TYPICAL_PROMPT_THOUSAND_CHARACTERS,
      loadReportLagMilliseconds: role.loadLagMilliseconds
    }
  }
}
