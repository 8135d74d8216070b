import type { Clock } from '@fuchsiastage/clock'
import type { EngineCounts, OrderRecord, ReplicaInterval } from './engine-options.js'

/** Maximum number of entries in each list and map, which bounds memory use in long soak runs. */
const MAXIMUM_ENTRIES = 100_000

/** Counters of an engine across all its incarnations. */
export interface EngineCounters {
  readonly requestArrived: (requestId: string) => void
  readonly requestStarted: (requestId: string) => void
  readonly requestFinished: (requestId: string) => void
  readonly requestCancelled: () => void
  readonly streamResumed: () => void
  readonly requestRefused: (code: string) => void
  readonly tokenGenerated: (running: number) => void
  readonly prefixHit: () => void
  readonly orderEnded: (order: OrderRecord) => void
  readonly loadOvercommitted: () => void
  /** Records that memory was allocated for a model. Returns a function that records its release. */
  readonly replicaAllocated: (model: string, memoryMegabytes: number) => () => void
  readonly read: () => Omit<EngineCounts, 'incarnation' | 'incarnations' | 'frozenActivities'>
}

/**
 * Creates the counters of an engine.
 *
 * @example
 * const counters = createEngineCounters(clock)
 * counters.requestArrived('request-1')
 */
export function createEngineCounters (clock: Clock): EngineCounters {
  const arrived = new Map<string, number>()
  const started = new Map<string, number>()
  const finished = new Map<string, number>()
  const refused = new Map<string, number>()
  const orders: OrderRecord[] = []
  const replicas: { model: string, memoryMegabytes: number, from: number, to: number | undefined }[] = []
  const allocatedByModel = new Map<string, { count: number, megabytes: number }>()
  const peakReplicas = new Map<string, number>()
  const peakMemoryByModel = new Map<string, number>()
  let usedMegabytes = 0
  let peakMemoryMegabytes = 0
  let cancelled = 0
  let resumed = 0
  let generatedTokens = 0
  let prefixHits = 0
  let peakRunning = 0
  let overcommitAttempts = 0

  const increment = (counts: Map<string, number>, key: string): void => {
    counts.set(key, (counts.get(key) ?? 0) + 1)
    if (counts.size <= MAXIMUM_ENTRIES) return
    const [oldest] = counts.keys()
    if (oldest !== undefined) counts.delete(oldest)
  }
  const pushBounded = <Entry> (list: Entry[], entry: Entry): void => {
    list.push(entry)
    if (list.length > MAXIMUM_ENTRIES) list.shift()
  }
  const raisePeak = (peaks: Map<string, number>, key: string, value: number): void => {
    peaks.set(key, Math.max(peaks.get(key) ?? 0, value))
  }

  const replicaAllocated = (model: string, memoryMegabytes: number): (() => void) => {
    const entry = { model, memoryMegabytes, from: clock.wallNow(), to: undefined as number | undefined }
    pushBounded(replicas, entry)
    const allocated = allocatedByModel.get(model) ?? { count: 0, megabytes: 0 }
    allocatedByModel.set(model, allocated)
    allocated.count++
    allocated.megabytes += memoryMegabytes
    usedMegabytes += memoryMegabytes
    peakMemoryMegabytes = Math.max(peakMemoryMegabytes, usedMegabytes)
    raisePeak(peakReplicas, model, allocated.count)
    raisePeak(peakMemoryByModel, model, allocated.megabytes)
    return () => {
      if (entry.to !== undefined) return
      entry.to = clock.wallNow()
      allocated.count--
      allocated.megabytes -= memoryMegabytes
      usedMegabytes -= memoryMegabytes
    }
  }

  return {
    requestArrived: (requestId) => increment(arrived, requestId),
    requestStarted: (requestId) => increment(started, requestId),
    requestFinished: (requestId) => increment(finished, requestId),
    requestCancelled: () => { cancelled++ },
    streamResumed: () => { resumed++ },
    requestRefused: (code) => increment(refused, code),
    tokenGenerated: (running) => {
      generatedTokens++
      peakRunning = Math.max(peakRunning, running)
    },
    prefixHit: () => { prefixHits++ },
    orderEnded: (order) => pushBounded(orders, order),
    loadOvercommitted: () => { overcommitAttempts++ },
    replicaAllocated,
    read: () => ({
      arrived: Object.fromEntries(arrived),
      started: Object.fromEntries(started),
      finished: Object.fromEntries(finished),
      refused: Object.fromEntries(refused),
      cancelled,
      resumed,
      generatedTokens,
      prefixHits,
      peakRunning,
      orders: [...orders],
      replicas: replicas.map((entry) => ({ ...entry })),
      peakReplicas: Object.fromEntries(peakReplicas),
      peakMemoryMegabytes,
      peakMemoryByModel: Object.fromEntries(peakMemoryByModel),
      overcommitAttempts
    })
  }
}

/**
 * Returns the highest number of concurrent replicas of each model across several engines.
 *
 * @example
 * peakReplicasAcross(engines.map((engine) => engine.counts().replicas))
 */
export function peakReplicasAcross (replicaHistories: readonly (readonly ReplicaInterval[])[]): Readonly<Record<string, number>> {
  const changes = replicaHistories.flat().flatMap(({ model, from, to }) => [
    { model, time: from, change: 1 },
    ...(to === undefined ? [] : [{ model, time: to, change: -1 }])
  ])
  // At equal times releases are counted first: the clock is too coarse to distinguish a replica that
  // moved between engines from two concurrent ones.
  const orderedChanges = changes.toSorted((left, right) => left.time - right.time || left.change - right.change)
  const current = new Map<string, number>()
  const peaks = new Map<string, number>()
  for (const { model, change } of orderedChanges) {
    const count = (current.get(model) ?? 0) + change
    current.set(model, count)
    peaks.set(model, Math.max(peaks.get(model) ?? 0, count))
  }
  return Object.fromEntries(peaks)
}
