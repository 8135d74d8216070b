import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import { peakReplicasAcross } from './engine-counters.js'
import {
  addressOrLoopback,
  LOG_SERVICE_NAME,
  parseDeploymentDescription,
  listTargets,
  VM_LIST_NAME,
  createVmRecords,
  WEIGHT_STORE_NAME,
  type DeploymentAddresses,
  type DeploymentDescription
} from './deployment.js'
import type { EngineStandIn } from './engine-options.js'
import { createEngineStandIn } from './engine-stand-in.js'
import { parseAddress } from './fault-proxy.js'
import { createLogStandIn, type LogStandIn } from './log-stand-in.js'
import { createServiceStandIn, type ServiceStandIn } from './service-stand-in.js'
import { createSilentLogger } from './silent-logger.js'
import { createVmListStandIn, type VmListStandIn } from './vm-list-stand-in.js'
import { createWeightStoreStandIn, type WeightStoreStandIn } from './weight-store-stand-in.js'

/** The stand-ins of a deployment, all in one process. Daemons are not included. */
export interface RunningStandIns {
  readonly addresses: DeploymentAddresses
  readonly logService: LogStandIn
  readonly vmList: VmListStandIn
  readonly weightStore: WeightStoreStandIn
  readonly engines: ReadonlyMap<string, EngineStandIn>
  readonly services: ReadonlyMap<string, ServiceStandIn>
  /** Returns the highest number of concurrent replicas of each model across all engines. */
  readonly peakReplicas: () => Readonly<Record<string, number>>
  readonly close: () => Promise<void>
}

export interface StartDeploymentOptions {
  readonly clock: Clock
  readonly logger?: Logger
}

interface Closable {
  readonly close: () => Promise<void>
}

/**
 * Starts all stand-ins of a deployment in this process. If one fails to start, the others are closed.
 *
 * @example
 * const running = await startDeployment(description, { clock: createSystemClock() })
 * running.engines.get('drafter-1')?.control({ frozen: true })
 */
export async function startDeployment (input: DeploymentDescription, options: StartDeploymentOptions): Promise<RunningStandIns> {
  const description = parseDeploymentDescription(input)
  const { clock, logger = createSilentLogger(clock) } = options
  const startedStandIns: Closable[] = []
  const createCommonOptions = (name: string, address: string | undefined) => ({
    clock,
    logger: logger.child({ standIn: name }),
    listen: parseAddress(addressOrLoopback(address))
  })
  const track = async <AnyStandIn extends Closable> (starting: Promise<AnyStandIn>): Promise<AnyStandIn> => {
    const standIn = await starting
    startedStandIns.push(standIn)
    return standIn
  }
  const close = async (): Promise<void> => {
    await Promise.all(startedStandIns.map((standIn) => standIn.close()))
  }

  const startAll = async (): Promise<RunningStandIns> => {
    const { logService: logOptions, weightStore: storeOptions, vmList: listOptions } = description
    const logService = await track(createLogStandIn({ ...logOptions, ...createCommonOptions(LOG_SERVICE_NAME, logOptions.address) }))
    const weightStore = await track(createWeightStoreStandIn({ ...storeOptions, ...createCommonOptions(WEIGHT_STORE_NAME, storeOptions.address) }))
    const engines = new Map<string, EngineStandIn>()
    const services = new Map<string, ServiceStandIn>()
    for (const { vm, role } of listTargets(description)) {
      if (role.kind === 'service') {
        services.set(vm.name, await track(createServiceStandIn({ ...role, name: vm.role, ...createCommonOptions(vm.name, vm.address) })))
        continue
      }
      const cachedWeights = { ...role.cachedWeights, ...vm.cachedWeights }
      engines.set(vm.name, await track(createEngineStandIn({ ...role, memoryMegabytes: vm.memoryMegabytes ?? role.memoryMegabytes, cachedWeights, weightStore: weightStore.address, ...createCommonOptions(vm.name, vm.address) })))
    }
    const targets = new Map([...engines, ...services].map(([name, { address }]) => [name, address]))
    const vmList = await track(createVmListStandIn({ ...listOptions, vms: createVmRecords(description, targets), ...createCommonOptions(VM_LIST_NAME, listOptions.address) }))
    return {
      addresses: { logService: logService.address, vmList: vmList.address, weightStore: weightStore.address, targets },
      logService,
      vmList,
      weightStore,
      engines,
      services,
      peakReplicas: () => peakReplicasAcross([...engines.values()].map((engine) => engine.counts().replicas)),
      close
    }
  }

  try {
    return await startAll()
  } catch (reason) {
    await close()
    throw reason
  }
}
