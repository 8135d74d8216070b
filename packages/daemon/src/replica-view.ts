import type { Clock } from '@fuchsiastage/clock'
import { readRole, readRule, type ConfigurationController } from '@fuchsiastage/configuration'
import { createError } from '@fuchsiastage/errors'
import type { PlacementView, ReplicaExpectation, RequestedReplica } from '@fuchsiastage/filters'
import type { ReplicaDirectory, WantReplicaAnswer } from '@fuchsiastage/placement'
import type { RouteKey, Router, RoutingTarget } from '@fuchsiastage/routing'
import { assertNever, type Milliseconds } from '@fuchsiastage/types'
import type { DemandTracker } from './demand-tracker.js'
import type { VmDirectory } from './vm-directory.js'

export interface ReplicaViewOptions {
  readonly clock: Clock
  readonly configuration: ConfigurationController
  readonly directory: () => ReplicaDirectory
  readonly vms: VmDirectory
  readonly router: Router
  readonly isLeaving: (target: string) => boolean
  readonly demand: DemandTracker
  /** Requests a replica from the holder of the placement lease, which may be this daemon. */
  readonly requestFromHolder: (requested: RequestedReplica & { readonly waiting: number }) => Promise<WantReplicaAnswer>
  /** Requests for the same model within this interval share one replica request to the holder. */
  readonly sharedRequestMilliseconds: Milliseconds
}

export interface ReplicaView extends PlacementView {
  /**
   * Updates the router's candidates, and notifies the requests that wait for a replica, after a change
   * of the replica directory, the configuration or the VM list.
   */
  readonly refresh: () => void
}

interface SharedRequest {
  readonly sentAt: Milliseconds
  readonly deadlineMilliseconds: Milliseconds
  readonly answer: Promise<WantReplicaAnswer>
}

/**
 * Connects the request path with placement: keeps the router's candidates up to date, requests
 * replicas, and notifies the requests that wait for one.
 *
 * @example
 * const replicas = createReplicaView(options)
 */
export function createReplicaView (options: ReplicaViewOptions): ReplicaView {
  const { clock, configuration, router, vms, demand } = options
  const waiters = new Map<string, Set<() => void>>()
  const sharedRequests = new Map<string, SharedRequest>()
  /** Models for which this daemon has received requests. The router has candidates only for these. */
  const routedModels = new Set<string>()

  const candidatesOf = (model: string): readonly RoutingTarget[] => {
    const document = configuration.document()
    const permitted = readRule(document, model)?.dataCentres ?? []
    const byDataCentre = options.directory().replicasOf(model)
    return permitted.flatMap((dataCentre) => byDataCentre.get(dataCentre) ?? []).flatMap((replica) => {
      const vm = vms.target(replica.target)
      const role = vm === undefined ? undefined : readRole(document, vm.role)
      if (vm === undefined || role === undefined || options.isLeaving(vm.name)) return []
      return [{ name: vm.name, address: vm.address, dataCentre: vm.dataCentre, maximumConcurrent: role.maximumConcurrent }]
    })
  }

  const refreshModel = (model: string): readonly RoutingTarget[] => {
    const key: RouteKey = `model/${model}`
    const candidates = candidatesOf(model)
    if (candidates.length === 0) {
      router.removeCandidates(key)
      if (!waiters.has(model)) routedModels.delete(model)
    } else {
      router.setCandidates(key, candidates)
    }
    return candidates
  }

  const refreshServices = (): void => {
    const { services, roles } = configuration.index()
    for (const [name, service] of services) {
      const maximumConcurrent = roles.get(service.role)?.maximumConcurrent ?? 1
      router.setCandidates(`service/${name}`, vms.targets()
        .filter((vm) => vm.role === service.role && service.dataCentres.includes(vm.dataCentre))
        .map((vm) => ({ name: vm.name, address: vm.address, dataCentre: vm.dataCentre, maximumConcurrent })))
    }
  }

  const hasReplica = (model: string): boolean => {
    if (!routedModels.has(model)) {
      routedModels.add(model)
      return refreshModel(model).length > 0
    }
    return candidatesOf(model).length > 0
  }

  const notifyWaiters = (): void => {
    for (const [model, callbacks] of waiters) {
      if (hasReplica(model)) for (const callback of [...callbacks]) callback()
    }
  }

  const requestReplica = (requested: RequestedReplica): Promise<WantReplicaAnswer> => {
    const key = `${requested.priority} ${requested.model}`
    const shared = sharedRequests.get(key)
    // The shared request must not have a shorter deadline: it may be refused although this one would be accepted.
    const isShareable = shared !== undefined && shared.deadlineMilliseconds >= requested.deadlineMilliseconds
    if (isShareable && clock.now() - shared.sentAt < options.sharedRequestMilliseconds) return shared.answer
    const answer = options.requestFromHolder({ ...requested, waiting: waiters.get(requested.model)?.size ?? 1 })
    sharedRequests.set(key, { sentAt: clock.now(), deadlineMilliseconds: requested.deadlineMilliseconds, answer })
    clock.setTimer(options.sharedRequestMilliseconds, () => {
      if (sharedRequests.get(key)?.answer === answer) sharedRequests.delete(key)
    })
    return answer
  }

  const wantReplica = async (requested: RequestedReplica): Promise<ReplicaExpectation> => {
    const answer = await requestReplica(requested)
    switch (answer.kind) {
      case 'ready':
        return { kind: 'expected', readyInMilliseconds: 0 }
      case 'expected':
        return { kind: 'expected', readyInMilliseconds: answer.readyInMilliseconds }
      case 'refused':
        // While no daemon holds the placement lease, the request waits for the next holder if its deadline permits.
        if (answer.code === 'not-holder' && requested.deadlineMilliseconds > answer.retryAfterMilliseconds) return { kind: 'expected', readyInMilliseconds: 0 }
        return { kind: 'refused', error: createError({ code: `replica-${answer.code}`, message: `placement refused a replica of ${requested.model}: ${answer.code}`, step: 'place', peer: 'placement', status: 503, retryAfterMilliseconds: answer.retryAfterMilliseconds }) }
      default:
        return assertNever(answer)
    }
  }

  const waitForReplica = (model: string, signal: AbortSignal): Promise<boolean> => new Promise((resolve) => {
    const callbacks = waiters.get(model) ?? new Set()
    waiters.set(model, callbacks)
    const finish = (found: boolean): void => {
      callbacks.delete(handleReady)
      if (callbacks.size === 0 && waiters.get(model) === callbacks) waiters.delete(model)
      signal.removeEventListener('abort', handleAbort)
      resolve(found)
    }
    const handleReady = (): void => finish(true)
    const handleAbort = (): void => finish(false)
    callbacks.add(handleReady)
    signal.addEventListener('abort', handleAbort)
    if (signal.aborted) handleAbort()
    else if (hasReplica(model)) handleReady()
  })

  return {
    hasReplica,
    ordersOf: (model) => [...options.directory().replicasOf(model).values()].flat().map(({ orderId }) => orderId),
    wantReplica,
    waitForReplica,
    recordUse: (model, change) => demand.record(model, change),
    refresh: () => {
      for (const model of [...routedModels]) refreshModel(model)
      refreshServices()
      notifyWaiters()
    }
  }
}
