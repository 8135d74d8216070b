import type { ConfigurationController } from '@fuchsiastage/configuration'
import type { PlacementConfiguration, PlacementTarget } from '@fuchsiastage/placement'
import type { VmDirectory } from './vm-directory.js'

/**
 * Creates a function that returns the parts of the configuration that placement decisions depend on.
 *
 * @example
 * const configuration = createPlacementConfiguration(controller)
 */
export function createPlacementConfiguration (controller: ConfigurationController): () => PlacementConfiguration {
  return () => {
    const { models, adapters, rules, roles } = controller.index()
    return { version: controller.version(), isFresh: controller.checkFreshness().isOk, models, adapters, rules, roles }
  }
}

/** Returns the targets of this region whose role is an engine role, by name. */
export function placementTargets (vms: VmDirectory, controller: ConfigurationController, isLeaving: (target: string) => boolean): ReadonlyMap<string, PlacementTarget> {
  const { roles } = controller.index()
  const engines = vms.targets().filter(({ role }) => roles.get(role)?.kind === 'engine')
  return new Map(engines.map((vm) => [vm.name, {
    name: vm.name,
    address: vm.address,
    role: vm.role,
    dataCentre: vm.dataCentre,
    state: isLeaving(vm.name) ? 'leaving' : vm.state
  }]))
}
