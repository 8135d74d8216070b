import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds, VmRecord } from '@fuchsiastage/types'
import { z } from 'zod'
import { commonControlSchema, LOOPBACK, startStandInServer, type ListenOptions, type StandIn } from './http-server.js'
import { createLaggedValue, MAXIMUM_LAG_MILLISECONDS } from './lagged-value.js'
import { createSilentLogger } from './silent-logger.js'

export interface VmListStandInOptions {
  readonly clock: Clock
  readonly logger?: Logger
  readonly listen?: ListenOptions
  readonly vms?: readonly VmRecord[]
  readonly lagMilliseconds?: Milliseconds
}

const IP_ADDRESS_AND_PORT = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/

export const vmRecordSchema = z.strictObject({
  name: z.string().min(1),
  role: z.string().min(1),
  region: z.string().min(1),
  dataCentre: z.string().min(1),
  address: z.string().regex(IP_ADDRESS_AND_PORT),
  peerAddress: z.string().regex(IP_ADDRESS_AND_PORT).optional(),
  state: z.enum(['live', 'leaving'])
})

export const vmListControlSchema = commonControlSchema.extend({
  /** VMs to add; a VM with the name of a listed one replaces it. */
  add: z.array(vmRecordSchema),
  /** Names of VMs whose state becomes `leaving`. */
  markLeaving: z.array(z.string()),
  /** Names of VMs to remove. */
  remove: z.array(z.string()),
  /** Age of the list that is returned. */
  lagMilliseconds: z.number().nonnegative().max(MAXIMUM_LAG_MILLISECONDS)
}).partial()

export type VmListControl = z.infer<typeof vmListControlSchema>

export interface VmListCounts {
  readonly reads: number
  readonly lagMilliseconds: Milliseconds
  /** The current list, without the lag. */
  readonly vms: readonly VmRecord[]
}

export type VmListStandIn = StandIn<VmListControl, VmListCounts>

/**
 * Starts a stand-in for the VM list, which returns changes with a lag.
 *
 * @example
 * const vmList = await createVmListStandIn({ clock, vms, lagMilliseconds: 2_000 })
 * vmList.control({ markLeaving: ['drafter-1'] })
 */
export async function createVmListStandIn (options: VmListStandInOptions): Promise<VmListStandIn> {
  const { clock, logger = createSilentLogger(clock), listen = LOOPBACK } = options
  const list = createLaggedValue<readonly VmRecord[]>(clock, options.vms ?? [])
  let lagMilliseconds = options.lagMilliseconds ?? 0
  let reads = 0

  const applyControl = (change: VmListControl): void => {
    lagMilliseconds = change.lagMilliseconds ?? lagMilliseconds
    const { add = [], markLeaving = [], remove = [] } = change
    if (add.length + markLeaving.length + remove.length === 0) return
    const replacedOrRemoved = new Set([...remove, ...add.map(({ name }) => name)])
    const vms = [...list.current().filter(({ name }) => !replacedOrRemoved.has(name)), ...add]
    list.set(vms.map((vm) => markLeaving.includes(vm.name) ? { ...vm, state: 'leaving' } : vm))
  }
  const counts = (): VmListCounts => ({ reads, lagMilliseconds, vms: list.current() })

  const { address, close, control } = await startStandInServer<VmListControl, VmListCounts>({
    listen,
    clock,
    logger,
    controlSchema: vmListControlSchema,
    applyControl,
    counts,
    routes: [{
      method: 'GET',
      path: '/vms',
      handle: (call) => {
        reads++
        call.reply.sendJson(200, { vms: list.readWithLag(lagMilliseconds) })
      }
    }]
  })
  return { address, close, control, counts }
}
