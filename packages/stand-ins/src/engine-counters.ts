import type { Clock } from '@fuchsiastage/clock'
import type { EngineCounts, OrderRecord, ReplicaInterval } from './engine-options.js'

/** Entries kept of each list, so that a long soak stays bounded. */
const KEPT_ENTRIES = 100_000

/** Counts of an engine over all its incarnations. */
export interface EngineCounters {
  readonly arrived: (requestId: string) => void
  readonly started: (requestId: string) => void
  readonly finished: (requestId: string) => void
  readonly cancelled: () => void
  readonly resumed: () => void
  readonly refused: (code: string) => void
  readonly generated: (running: number) => void
  readonly prefixHit: () => void
  readonly order: (order: OrderRecord) => void
  readonly overcommitAttempt: () => void
  /** Memory was taken for a model; returns the function that notes its release. */
  readonly replica: (model: string, memoryMegabytes: number) => () => void
  readonly read: () => Omit<EngineCounts, 'incarnation' | 'incarnations' | 'frozenActivities'>
}

/**
 * Creates the counters of an engine.
 *
 * @example
 * const counters = createEngineCounters(clock)
 * counters.arrived('request-1')
 */
export function createEngineCounters (clock: Clock): EngineCounters {
  const arrived = new Map<string, number>()
  const started = new Map<string, number>()
  const finished = new Map<string, number>()
  const refused = new Map<string, number>()
  const orders: OrderRecord[] = []
  const replicas: { model: string, memoryMegabytes: number, from: number, to: number | undefined }[] = []
  const held = new Map<string, { count: number, megabytes: number }>()
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
    if (counts.size <= KEPT_ENTRIES) return
    const [oldest] = counts.keys()
    if (oldest !== undefined) counts.delete(oldest)
  }
  const push = <Entry> (list: Entry[], entry: Entry): void => {
    list.push(entry)
    if (list.length > KEPT_ENTRIES) list.shift()
  }
  const raise = (peaks: Map<string, number>, key: string, value: number): void => {
    peaks.set(key, Math.max(peaks.get(key) ?? 0, value))
  }

  const replica = (model: string, memoryMegabytes: number): (() => void) => {
    const entry = { model, memoryMegabytes, from: clock.wallNow(), to: undefined as number | undefined }
    push(replicas, entry)
    const total = held.get(model) ?? { count: 0, megabytes: 0 }
    held.set(model, total)
    total.count++
    total.megabytes += memoryMegabytes
    usedMegabytes += memoryMegabytes
    peakMemoryMegabytes = Math.max(peakMemoryMegabytes, usedMegabytes)
    raise(peakReplicas, model, total.count)
    raise(peakMemoryByModel, model, total.megabytes)
    return () => {
      if (entry.to !== undefined) return
      entry.to = clock.wallNow()
      total.count--
      total.megabytes -= memoryMegabytes
      usedMegabytes -= memoryMegabytes
    }
  }

  return {
    arrived: (requestId) => increment(arrived, requestId),
    started: (requestId) => increment(started, requestId),
    finished: (requestId) => increment(finished, requestId),
    cancelled: () => { cancelled++ },
    resumed: () => { resumed++ },
    refused: (code) => increment(refused, code),
    generated: (running) => {
      generatedTokens++
      peakRunning = Math.max(peakRunning, running)
    },
    prefixHit: () => { prefixHits++ },
    order: (order) => push(orders, order),
    overcommitAttempt: () => { overcommitAttempts++ },
    replica,
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
 * The highest number of replicas of each model that several engines held at once.
 *
 * @example
 * peakReplicasAcross(engines.map((engine) => engine.counts().replicas))
 */
export function peakReplicasAcross (histories: readonly (readonly ReplicaInterval[])[]): Readonly<Record<string, number>> {
  const changes = histories.flat().flatMap(({ model, from, to }) => [
    { model, time: from, change: 1 },
    ...(to === undefined ? [] : [{ model, time: to, change: -1 }])
  ])
  // At one time releases come first: the clock is too coarse to tell a move from an overlap.
  const ordered = changes.toSorted((left, right) => left.time - right.time || left.change - right.change)
  const current = new Map<string, number>()
  const peaks = new Map<string, number>()
  for (const { model, change } of ordered) {
    const count = (current.get(model) ?? 0) + change
    current.set(model, count)
    peaks.set(model, Math.max(peaks.get(model) ?? 0, count))
  }
  return Object.fromEntries(peaks)
}
