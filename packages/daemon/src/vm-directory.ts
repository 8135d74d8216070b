import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { VmListClient } from '@fuchsiastage/target-client'
import type { Milliseconds, VmRecord } from '@fuchsiastage/types'
import Emittery from 'emittery'

/** Role of the VMs that run a daemon. */
export const ENTRY_ROLE = 'entry'

export interface VmDirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly client: VmListClient
  readonly region: string
  readonly intervalMilliseconds: Milliseconds
}

export interface VmDirectory {
  readonly start: () => void
  readonly stop: () => void
  readonly events: Emittery<{ changed: undefined }>
  /** Daemons of all regions. */
  readonly daemons: () => readonly VmRecord[]
  readonly daemon: (name: string) => VmRecord | undefined
  /** Targets of this region. */
  readonly targets: () => readonly VmRecord[]
  readonly target: (name: string) => VmRecord | undefined
  /** The whole newest list. */
  readonly list: () => readonly VmRecord[]
}

/**
 * Follows the platform's list of VMs. While the list is down the last one stays in use; what has
 * changed meanwhile is learned from membership and from the targets themselves.
 *
 * @example
 * const vms = createVmDirectory({ clock, logger, client, region: 'bc-coast', intervalMilliseconds: 1000 })
 */
export function createVmDirectory (options: VmDirectoryOptions): VmDirectory {
  const { clock, logger, region } = options
  const events = new Emittery<{ changed: undefined }>()
  const stopping = new AbortController()
  let list: readonly VmRecord[] = []
  let daemons: readonly VmRecord[] = []
  let targets: readonly VmRecord[] = []
  let daemonsByName: ReadonlyMap<string, VmRecord> = new Map()
  let targetsByName: ReadonlyMap<string, VmRecord> = new Map()
  let encoded = ''
  let isDown = false

  const accept = (vms: readonly VmRecord[]): void => {
    const text = JSON.stringify(vms)
    if (text === encoded) return
    encoded = text
    list = vms
    daemons = vms.filter(({ role }) => role === ENTRY_ROLE)
    targets = vms.filter((vm) => vm.role !== ENTRY_ROLE && vm.region === region)
    daemonsByName = new Map(daemons.map((vm) => [vm.name, vm]))
    targetsByName = new Map(targets.map((vm) => [vm.name, vm]))
    logger.info('VM list changed', { event: 'vm-list-changed', daemons: daemons.length, targets: targets.length })
    void events.emit('changed')
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const listing = await options.client.read(stopping.signal)
      if (listing.isOk) accept(listing.value.vms)
      else if (!isDown && !stopping.signal.aborted) logger.warn('VM list unavailable; the last one stays in use', { event: 'vm-list-down', reason: listing.error.message })
      isDown = listing.isErr
      await clock.sleep(options.intervalMilliseconds, stopping.signal)
    }
  }

  return {
    events,
    start: () => { void run() },
    stop: () => stopping.abort(),
    daemons: () => daemons,
    daemon: (name) => daemonsByName.get(name),
    targets: () => targets,
    target: (name) => targetsByName.get(name),
    list: () => list
  }
}
