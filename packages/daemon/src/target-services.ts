import type { Clock } from '@fuchsiastage/clock'
import type { PlacementEngineClient } from '@fuchsiastage/placement'
import { createError } from '@fuchsiastage/errors'
import { createEngineClient, createOrderSender, createServiceClient, createVmListClient, type EngineClient, type ServiceClient, type VmListClient } from '@fuchsiastage/target-client'
import type { Settings } from '@fuchsiastage/settings'
import { err, ok } from 'true-myth/result'

/** Clients for the targets and the VM list. The log service has a client of its own. */
export interface TargetServices {
  readonly engine: EngineClient
  readonly services: ServiceClient
  readonly vmList: VmListClient
  readonly placementEngine: PlacementEngineClient
  readonly close: () => Promise<void>
}

const CONNECT_TIMEOUT_MILLISECONDS = 1_000

/** Below the default interval between reads of the target states, so that an unresponsive target does not delay the next pass. */
export const STATE_TIMEOUT_MILLISECONDS = 800

const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024

/**
 * Creates the clients for targets and the VM list.
 *
 * @example
 * const targets = createTargetServices(settings, clock)
 */
export function createTargetServices (settings: Settings, clock: Clock): TargetServices {
  const commonOptions = { clock, connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS, maximumAnswerBytes: MAXIMUM_ANSWER_BYTES }
  const engine = createEngineClient({ ...commonOptions, stateTimeoutMilliseconds: STATE_TIMEOUT_MILLISECONDS, firstByteMilliseconds: settings.streams.firstByteMilliseconds })
  const services = createServiceClient(commonOptions)
  const vmList = createVmListClient({ clock, address: settings.vmList.address, timeoutMilliseconds: settings.vmList.timeoutMilliseconds, maximumAnswerBytes: MAXIMUM_ANSWER_BYTES })
  const orderSender = createOrderSender({ ...commonOptions, stateTimeoutMilliseconds: STATE_TIMEOUT_MILLISECONDS })
  const placementEngine: PlacementEngineClient = {
    sendOrder: (target, order, signal) => orderSender.send(target, order, signal),
    readState: async (target, signal) => {
      const state = await engine.readState(target.address, signal)
      if (state.isErr) return err(state.error)
      if (state.value.kind === 'engine') return ok(state.value)
      return err(createError({ code: 'target-not-engine', message: 'the target is a service, not an engine', step: 'read-state', peer: target.name }))
    }
  }
  return {
    engine,
    services,
    vmList,
    placementEngine,
    close: async () => { await Promise.all([engine.close(), services.close(), vmList.close()]) }
  }
}
