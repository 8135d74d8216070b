import type { Clock } from '@fuchsiastage/clock'
import type { EngineDefinition, EngineReport, KnownTarget, TargetEntry } from '@fuchsiastage/fleet'
import { err, ok } from 'true-myth/result'
import { createError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import type { EngineOrder, EnginePort, OrderAnswer } from './ports.js'

/** Faults of the simulated engines, as shares of all orders. */
export interface EngineFaults {
  /** The order takes effect, but its response is lost. */
  readonly responseLossRate: number
  /** The order gets no response and takes effect seconds later, if its expected order count still matches. */
  readonly orderDelayRate: number
  /** Longest delay of a delayed order; the delay is drawn from 2 s up to it. By default every delay is 3 s. */
  readonly maximumOrderDelayMilliseconds?: Milliseconds
  /** Age of the state that reports show; 0 by default. */
  readonly reportLagMilliseconds?: Milliseconds
}

interface SimulatedEngine {
  readonly id: string
  orderCount: number
  isBusy: boolean
  /** Whether reports state that the engine leaves. */
  isLeaving: boolean
  /** Model that is being loaded. It occupies its memory from the acceptance of its order, but reports do not list it yet. */
  loadingModel: string | undefined
  readonly models: Map<string, Set<string>>
  readonly disk: Set<string>
  storeLoads: number
}

export interface SimulatedEngines extends EnginePort {
  readonly entries: () => readonly TargetEntry[]
  readonly engines: readonly SimulatedEngine[]
  /** Orders that exceeded the memory or the adapter places of an engine. Each would have crashed a real one. */
  readonly violations: readonly string[]
}

const ORDER_DELAY_MILLISECONDS = 3_000
/** Shortest delay of a delayed order when the delays vary. */
const MINIMUM_ORDER_DELAY_MILLISECONDS = 2_000
const UNLOAD_MILLISECONDS = 10

/**
 * Creates engines in memory that execute orders with delays on the given clock, for tests and
 * measurements. Each executes one model order at a time.
 *
 * @example
 * const engines = createSimulatedEngines(clock, engine, [{ models: ['letters'], disk: ['audits'] }], () => 1)
 */
export function createSimulatedEngines (
  clock: Clock, engine: EngineDefinition, inventories: readonly { readonly models: readonly string[], readonly disk: readonly string[] }[],
  random: () => number, faults: EngineFaults = { responseLossRate: 0, orderDelayRate: 0 }
): SimulatedEngines {
  const violations: string[] = []
  const engines: SimulatedEngine[] = inventories.map(({ models, disk }, index) => ({
    id: `e${index}`, orderCount: 0, isBusy: false, isLeaving: false, loadingModel: undefined, models: new Map(models.map((name) => [name, new Set<string>()])), disk: new Set([...models, ...disk]), storeLoads: 0
  }))
  const engineOf = (target: KnownTarget): SimulatedEngine | undefined => engines.find(({ id }) => id === target.entry.id)
  const megabytesOf = (model: string | undefined): number => model === undefined ? 0 : engine.models.get(model)?.megabytes ?? 0
  const usedMegabytes = ({ models, loadingModel }: SimulatedEngine): number =>
    [...models].reduce((sum, [name, adapters]) => sum + megabytesOf(name) + adapters.size * (engine.models.get(name)?.adapterMegabytes ?? 0), megabytesOf(loadingModel))
  const adapterCount = ({ models }: SimulatedEngine): number => [...models.values()].reduce((sum, adapters) => sum + adapters.size, 0)

  const reportLag = faults.reportLagMilliseconds ?? 0
  /** Reports after each change of an engine, while reports lag. */
  const histories = new Map<string, Array<{ readonly at: Milliseconds, readonly report: EngineReport }>>()
  const recordChange = (target: SimulatedEngine): void => {
    if (reportLag === 0) return
    histories.set(target.id, [...histories.get(target.id) ?? [], { at: clock.now(), report: reportOf(target) }])
  }

  const accept = (target: SimulatedEngine, order: EngineOrder): OrderAnswer => {
    const answer = acceptOrder(target, order)
    recordChange(target)
    return answer
  }

  const acceptOrder = (target: SimulatedEngine, order: EngineOrder): OrderAnswer => {
    const model = engine.models.get(order.model)
    if (model === undefined) return { kind: 'rejected', status: 400 }
    if (order.expectedOrderCount !== target.orderCount) return { kind: 'conflict' }
    const adapters = target.models.get(order.model)
    if (order.adapter !== undefined) return acceptAdapter(target, order, order.adapter, adapters, model.adapterMegabytes)
    if (target.isBusy) return { kind: 'conflict' }
    if ((order.operation === 'load') === (adapters !== undefined)) return { kind: 'holds' }
    target.orderCount++
    target.isBusy = true
    if (order.operation === 'unload') {
      clock.setTimer(UNLOAD_MILLISECONDS, () => {
        target.models.delete(order.model)
        target.isBusy = false
        recordChange(target)
      })
      return { kind: 'accepted' }
    }
    if (usedMegabytes(target) + model.megabytes > engine.megabytes) violations.push(`${target.id} loads ${order.model}`)
    target.loadingModel = order.model
    const isOnDisk = target.disk.has(order.model)
    if (!isOnDisk) target.storeLoads++
    clock.setTimer(isOnDisk ? model.diskLoadMilliseconds : model.storeLoadMilliseconds, () => {
      target.loadingModel = undefined
      target.models.set(order.model, new Set())
      target.disk.add(order.model)
      target.isBusy = false
      recordChange(target)
    })
    return { kind: 'accepted' }
  }

  const acceptAdapter = (target: SimulatedEngine, order: EngineOrder, adapter: string, adapters: Set<string> | undefined, megabytes: number): OrderAnswer => {
    if (adapters === undefined) return { kind: 'rejected', status: 421 }
    if ((order.operation === 'load') === adapters.has(adapter)) return { kind: 'holds' }
    target.orderCount++
    if (order.operation === 'unload') {
      adapters.delete(adapter)
      return { kind: 'holds' }
    }
    if (adapterCount(target) + 1 > engine.adapterPlaces || usedMegabytes(target) + megabytes > engine.megabytes) violations.push(`${target.id} loads ${order.model}/${adapter}`)
    adapters.add(adapter)
    return { kind: 'accepted' }
  }

  const order: EnginePort['order'] = async (knownTarget, engineOrder) => {
    const target = engineOf(knownTarget)
    if (target === undefined) return { kind: 'unanswered', reason: 'no such engine' }
    const sample = random()
    if (sample < faults.orderDelayRate) {
      const { maximumOrderDelayMilliseconds } = faults
      const delay = maximumOrderDelayMilliseconds === undefined ? ORDER_DELAY_MILLISECONDS : MINIMUM_ORDER_DELAY_MILLISECONDS + random() * (maximumOrderDelayMilliseconds - MINIMUM_ORDER_DELAY_MILLISECONDS)
      clock.setTimer(delay, () => { accept(target, engineOrder) })
      return { kind: 'unanswered', reason: 'late' }
    }
    const answer = accept(target, engineOrder)
    return sample < faults.orderDelayRate + faults.responseLossRate ? { kind: 'unanswered', reason: 'lost' } : answer
  }

  const placementOf = (target: SimulatedEngine): EngineReport['placement'] => ({
    orderCount: target.orderCount,
    models: [...target.models].map(([name, adapters]) => ({ name, adapters: [...adapters] })),
    pendingAdapters: [],
    modelsInMemory: [],
    modelsOnDisk: [...target.disk]
  })

  const reportOf = (target: SimulatedEngine): EngineReport =>
    ({ startedAt: undefined, isBusy: target.isBusy, isLeaving: target.isLeaving, placement: placementOf(target), load: { running: 0, waiting: 0, cacheTokensUsed: 0, cacheTokens: engine.cacheTokens } })

  const laggedReport = (target: SimulatedEngine): EngineReport => {
    const visibleUntil = clock.now() - reportLag
    return histories.get(target.id)?.findLast(({ at }) => at <= visibleUntil)?.report ?? reportOf(target)
  }

  for (const target of engines) recordChange(target)

  return {
    engines,
    violations,
    entries: () => engines.map((target) => ({
      id: target.id, startedAt: 0, service: 'drafter', address: target.id, dataCentre: 'a', slots: 96, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement: placementOf(target)
    })),
    order,
    report: async (knownTarget) => {
      const target = engineOf(knownTarget)
      if (target === undefined) return err(createError({ code: 'report-failed', message: 'no such engine', step: 'report' }))
      return ok(laggedReport(target))
    }
  }
}
