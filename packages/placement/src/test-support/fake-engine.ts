import type { Clock } from '@fuchsiastage/clock'
import type { EngineState, FencingSupport, LoadOrder, ModelState, OrderOutcome, UnloadOrder, VmState, WeightsLocation } from '@fuchsiastage/types'

export interface FakeEngineOptions {
  readonly name: string
  readonly fencing: FencingSupport
  readonly memoryMegabytes: number
  readonly clock: Clock
  /** Whether the engine keeps its fencing token across a restart. */
  readonly keepsToken: boolean
  /** Called when a load starts, after its model was added to the state. */
  readonly onLoadStart: (engine: FakeEngine, order: LoadOrder) => void
}

export interface FakeEngine {
  readonly name: string
  readonly fencing: FencingSupport
  readonly memoryMegabytes: number
  readonly state: () => EngineState
  /** Executes an order. An order for another incarnation, or for an unreachable engine, is not delivered. */
  readonly receive: (order: LoadOrder | UnloadOrder, incarnation: string) => Promise<OrderOutcome>
  readonly restart: () => void
  readonly setReachable: (reachable: boolean) => void
  readonly isReachable: () => boolean
  readonly setLoadMilliseconds: (milliseconds: number) => void
  readonly setVmState: (state: VmState) => void
  readonly setCached: (model: string, location: WeightsLocation) => void
  /** Makes every load fail. */
  readonly setFailing: (failing: boolean) => void
  /** All orders received, including refused ones. */
  readonly orders: () => readonly (LoadOrder | UnloadOrder)[]
  /** Number of loads of the model started in all incarnations. */
  readonly loadsStarted: (model: string) => number
}

const UNLOAD_MILLISECONDS = 300

/**
 * Creates an engine that executes load orders without checking its free memory, so that a test detects
 * overcommitment caused by the system under test.
 */
export function createFakeEngine (options: FakeEngineOptions): FakeEngine {
  const { name, fencing, memoryMegabytes, clock } = options
  let generation = 1
  let fencingToken = 0
  let models: ModelState[] = []
  let executed: string[] = []
  let isReachable = true
  let isFailing = false
  let vmState: VmState = 'live'
  let loadMilliseconds = 5_000
  const cached = new Map<string, WeightsLocation>()
  const received: (LoadOrder | UnloadOrder)[] = []
  const started = new Map<string, number>()
  const waiters = new Set<() => void>()
  const incarnation = (): string => `${name}#${generation}`

  const setModels = (next: ModelState[]): void => {
    models = next
    for (const wake of [...waiters]) wake()
  }
  const modelStateOf = (model: string): ModelState | undefined => models.find((modelState) => modelState.model === model)
  /** Waits until the condition is true. Resolves to false if the engine restarts first. */
  const waitUntil = (condition: () => boolean): Promise<boolean> => new Promise((resolve) => {
    const ownGeneration = generation
    const wake = (): void => {
      const hasEnded = generation !== ownGeneration
      if (!hasEnded && !condition()) return
      waiters.delete(wake)
      resolve(!hasEnded)
    }
    waiters.add(wake)
    wake()
  })
  const finish = (orderId: string, outcome: OrderOutcome): OrderOutcome => {
    executed = [...executed, orderId].slice(-100)
    return outcome
  }

  const load = async (order: LoadOrder): Promise<OrderOutcome> => {
    if (isFailing) return finish(order.orderId, { kind: 'failed', reason: 'download failed' })
    if (order.baseModel !== undefined && modelStateOf(order.baseModel)?.state !== 'loaded') return finish(order.orderId, { kind: 'failed', reason: 'base model not loaded' })
    if (!await waitUntil(() => modelStateOf(order.model)?.state !== 'unloading')) return { kind: 'unknown', reason: 'engine ended' }
    if (modelStateOf(order.model) === undefined) {
      const loading: ModelState = { model: order.model, state: 'loading', orderId: order.orderId, memoryMegabytes: order.memoryMegabytes }
      setModels([...models, loading])
      started.set(order.model, (started.get(order.model) ?? 0) + 1)
      options.onLoadStart(engine, order)
      clock.setTimer(loadMilliseconds, () => {
        if (models.includes(loading)) setModels(models.map((modelState) => modelState === loading ? { ...loading, state: 'loaded' } : modelState))
      })
    }
    if (!await waitUntil(() => modelStateOf(order.model)?.state !== 'loading')) return { kind: 'unknown', reason: 'engine ended' }
    return finish(order.orderId, modelStateOf(order.model)?.state === 'loaded' ? { kind: 'done' } : { kind: 'failed', reason: 'unloaded in the meantime' })
  }

  const unload = async (order: UnloadOrder): Promise<OrderOutcome> => {
    if (modelStateOf(order.model) !== undefined) {
      setModels(models.map((modelState) => modelState.model === order.model ? { ...modelState, state: 'unloading' } : modelState))
      const ownGeneration = generation
      clock.setTimer(UNLOAD_MILLISECONDS, () => {
        if (generation === ownGeneration) setModels(models.filter((modelState) => modelState.model !== order.model || modelState.state !== 'unloading'))
      })
      if (!await waitUntil(() => modelStateOf(order.model)?.state !== 'unloading')) return { kind: 'unknown', reason: 'engine ended' }
    }
    return finish(order.orderId, { kind: 'done' })
  }

  const engine: FakeEngine = {
    name,
    fencing,
    memoryMegabytes,
    state: () => ({
      kind: 'engine',
      incarnation: incarnation(),
      state: vmState,
      fencingToken,
      memoryMegabytes,
      models: [...models],
      executedOrders: [...executed],
      cachedWeights: Object.fromEntries(cached),
      load: { running: 0, waiting: 0, capacity: 8, ageMilliseconds: 0 }
    }),
    receive: async (order, expected) => {
      if (!isReachable || expected !== incarnation()) return { kind: 'not-sent', reason: 'unreachable or a different incarnation' }
      received.push(order)
      if (fencing === 'checked') {
        if (order.fencingToken < fencingToken) return { kind: 'refused-token', currentToken: fencingToken }
        fencingToken = order.fencingToken
      }
      return order.kind === 'load' ? await load(order) : await unload(order)
    },
    restart: () => {
      generation++
      if (!options.keepsToken) fencingToken = 0
      executed = []
      setModels([])
    },
    setReachable: (reachable) => { isReachable = reachable },
    isReachable: () => isReachable,
    setLoadMilliseconds: (milliseconds) => { loadMilliseconds = milliseconds },
    setVmState: (state) => { vmState = state },
    setCached: (model, location) => { cached.set(model, location) },
    setFailing: (failing) => { isFailing = failing },
    orders: () => received,
    loadsStarted: (model) => started.get(model) ?? 0
  }
  return engine
}
