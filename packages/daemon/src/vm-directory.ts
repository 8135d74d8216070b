import { ENTRY_ROLE } from '@fuchsiastage/membership'
import type { VmListing, VmRecord } from '@fuchsiastage/types'

export interface VmDirectory {
  /** Stores a VM list. Returns whether it differs from the previous one. */
  readonly update: (listing: VmListing) => boolean
  /** Daemons in all regions. */
  readonly daemons: () => readonly VmRecord[]
  readonly daemon: (name: string) => VmRecord | undefined
  /** Targets in this region. */
  readonly targets: () => readonly VmRecord[]
  readonly target: (name: string) => VmRecord | undefined
}

/**
 * Stores the latest VM list of the platform, indexed by name.
 *
 * @example
 * const vms = createVmDirectory('bc-coast')
 * vms.update(listing)
 */
export function createVmDirectory (region: string): VmDirectory {
  let daemons: readonly VmRecord[] = []
  let targets: readonly VmRecord[] = []
  let daemonsByName: ReadonlyMap<string, VmRecord> = new Map()
  let targetsByName: ReadonlyMap<string, VmRecord> = new Map()
  let lastListing = ''

  return {
    update: ({ vms }) => {
      const text = JSON.stringify(vms)
      if (text === lastListing) return false
      lastListing = text
      daemons = vms.filter(({ role }) => role === ENTRY_ROLE)
      targets = vms.filter((vm) => vm.role !== ENTRY_ROLE && vm.region === region)
      daemonsByName = new Map(daemons.map((vm) => [vm.name, vm]))
      targetsByName = new Map(targets.map((vm) => [vm.name, vm]))
      return true
    },
    daemons: () => daemons,
    daemon: (name) => daemonsByName.get(name),
    targets: () => targets,
    target: (name) => targetsByName.get(name)
  }
}
