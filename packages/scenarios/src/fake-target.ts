import type { ManualClock } from '@fuchsiastage/clock'
import type { EngineState, LoadOrder, LoadReport, ModelState, OrderOutcome, TargetState, UnloadOrder, VmState } from '@fuchsiastage/types'

export interface FakeTargetOptions {
  readonly name: string
  readonly kind: 'engine' | 'service'
  readonly role: string
  readonly dataCentre: string
  readonly clock: ManualClock
  readonly memoryMegabytes: number
  readonly capacity: number
  /** Whether orders with an old fencing token are refused. */
  readonly checksFencing: boolean
  readonly loadMegabytesPerSecond: number
  readonly tokenMilliseconds: number
  /** Duration of a call of a plain service. */
  readonly callMilliseconds: number
  readonly onEvent: (event: string, fields: Readonly<Record<string, string | number>>) => void
  readonly onViolation: (fault: string) => void
  /** Called when a replica starts to load; the argument holds all models of the target. */
  readonly onReplicaLoad: (order: LoadOrder) => void
}

/** Faults of a target that a scenario sets. */
export interface TargetFaults {
  /** Arrived requests wait, and run later although nobody waits for them any more. */
  isFrozen: boolean
  /** Factor on load times, answers and tokens. */
  slowness: number
  /** Answers that go out with another request's id. */
  crossedAnswers: number
  /** Streams are cut after this event, once each. */
  cutStreamsAt: number | undefined
  refusesResume: boolean
  /** Resumed streams repeat this many events. */
  repeatedEvents: number
  /** The next streams lose this event. */
  lostEvent: number | undefined
  /** Loads that end as failed. */
  failedLoads: number
  /** The target knows nothing of its leaving; only the VM list does. */
  hidesLeaving: boolean
}

export interface GeneratedStream {
  readonly streamId: string
  readonly requestId: string
  readonly incarnationNumber: number
  readonly events: string[]
  isFinished: boolean
  isCancelled: boolean
  /** Wakes readers when there is news. */
  readonly changeListeners: Set<() => void>
  lastByteAt: number
}

/** What a target has seen and done, by which answers are judged. */
export interface TargetCounts {
  readonly received: ReadonlyMap<string, number>
  readonly runs: ReadonlyMap<string, number>
  readonly runsByKey: ReadonlyMap<string, number>
}

export type CompletionStart =
  | { readonly kind: 'refused', readonly code: 'busy' | 'leaving' | 'model-not-loaded' }
  | { readonly kind: 'broken', readonly reason: string }
  | { readonly kind: 'text', readonly tag: string, readonly text: string }
  | { readonly kind: 'stream', readonly stream: GeneratedStream }

/** An engine or a plain service behind the `TargetServices` port. */
export interface FakeTarget {
  readonly name: string
  readonly kind: 'engine' | 'service'
  readonly role: string
  readonly dataCentre: string
  readonly faults: TargetFaults
  readonly counts: TargetCounts
  readonly isUp: () => boolean
  readonly incarnation: () => string
  readonly state: () => TargetState
  readonly models: () => readonly ModelState[]
  readonly whenThawed: () => Promise<void>
  readonly kill: () => void
  readonly start: () => void
  readonly unfreeze: () => void
  readonly setState: (state: VmState) => void
  readonly isLeaving: () => boolean
  /** Resolves when this incarnation dies. */
  readonly whenKilled: () => Promise<void>
  readonly order: (order: LoadOrder | UnloadOrder) => Promise<OrderOutcome>
  readonly complete: (request: { readonly requestId: string, readonly body: string, readonly stream: boolean }) => Promise<CompletionStart>
  readonly streamOf: (streamId: string) => GeneratedStream | undefined
  readonly cancel: (streamId: string) => boolean
  readonly call: (request: { readonly requestId: string, readonly key: string | undefined, readonly body: string }) => Promise<CompletionStart>
}

const DEFAULT_TOKENS = 8

/** Tokens of the whole answer to a request, from which callers check that it is theirs. */
export function tokensOf (tag: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${tag}:${index + 1}`)
}

interface PromptFields {
  readonly model?: string
  readonly tag: string
  readonly tokens: number
}

/** Reads the tag that a scenario's request carries in its prompt or body. */
export function parseRequestBody (body: string): PromptFields {
  const parsed = JSON.parse(body === '' ? '{}' : body) as { readonly model?: string, readonly prompt?: string, readonly tag?: string }
  const [tag = '', tokens] = (parsed.prompt ?? parsed.tag ?? '').split('|')
  return { model: parsed.model, tag, tokens: tokens === undefined ? DEFAULT_TOKENS : Number(tokens) }
}

/**
 * Creates a target that counts what arrived and what it ran.
 *
 * @example
 * const target = createFakeTarget({ name: 'drafter-1', kind: 'engine', ...rest })
 */
export function createFakeTarget (options: FakeTargetOptions): FakeTarget {
  const { clock, name, onEvent } = options
  const faults: TargetFaults = {
    isFrozen: false,
    slowness: 1,
    crossedAnswers: 0,
    cutStreamsAt: undefined,
    refusesResume: false,
    repeatedEvents: 0,
    lostEvent: undefined,
    failedLoads: 0,
    hidesLeaving: false
  }
  const received = new Map<string, number>()
  const runs = new Map<string, number>()
  const runsByKey = new Map<string, number>()
  const streams = new Map<string, GeneratedStream>()
  let models = new Map<string, ModelState>()
  let executedOrders: string[] = []
  let fencingToken = 0
  let incarnationNumber = 1
  let isUp = true
  let vmState: VmState = 'live'
  let running = 0
  let streamCount = 0
  let thawListeners: (() => void)[] = []
  let killListeners: (() => void)[] = []

  const increment = (table: Map<string, number>, key: string): void => { table.set(key, (table.get(key) ?? 0) + 1) }
  const loadReport = (): LoadReport => ({ running, waiting: 0, capacity: options.capacity, ageMilliseconds: 0 })
  const state = (): TargetState => {
    const common = { incarnation: `${name}#${incarnationNumber}`, state: faults.hidesLeaving ? 'live' as const : vmState, load: loadReport() }
    if (options.kind === 'service') return { kind: 'service', ...common }
    const engine: EngineState = {
      kind: 'engine',
      ...common,
      fencingToken,
      memoryMegabytes: options.memoryMegabytes,
      models: [...models.values()],
      executedOrders: [...executedOrders],
      cachedWeights: {}
    }
    return engine
  }
  const whenThawed = (): Promise<void> => faults.isFrozen ? new Promise((resolve) => { thawListeners.push(resolve) }) : Promise.resolve()
  const usedMegabytes = (): number => [...models.values()].reduce((sum, model) => sum + model.memoryMegabytes, 0)

  const runLoad = async (order: LoadOrder, startedInIncarnation: number): Promise<OrderOutcome> => {
    const existing = models.get(order.model)
    if (existing?.state === 'loaded') {
      models.set(order.model, { ...existing, orderId: order.orderId })
      return { kind: 'done' }
    }
    if (existing === undefined) {
      models.set(order.model, { model: order.model, state: 'loading', orderId: order.orderId, memoryMegabytes: order.memoryMegabytes })
      options.onReplicaLoad(order)
      if (usedMegabytes() > options.memoryMegabytes) {
        options.onViolation(`memory of ${name} is overcommitted: ${usedMegabytes()} of ${options.memoryMegabytes} MB`)
      }
      onEvent('load-began', { target: name, model: order.model })
    }
    await clock.sleep(order.weightsMegabytes / options.loadMegabytesPerSecond * 1_000 * faults.slowness)
    await whenThawed()
    if (startedInIncarnation !== incarnationNumber || !isUp) return { kind: 'unknown', reason: 'the engine died' }
    if (faults.failedLoads > 0) {
      faults.failedLoads--
      models.delete(order.model)
      onEvent('load-failed', { target: name, model: order.model })
      return { kind: 'failed', reason: 'the weights could not be read' }
    }
    const loading = models.get(order.model)
    if (loading === undefined) return { kind: 'failed', reason: 'the load was cancelled by an unload order' }
    models.set(order.model, { ...loading, state: 'loaded' })
    onEvent('load-ended', { target: name, model: order.model })
    return { kind: 'done' }
  }

  const order: FakeTarget['order'] = async (incoming) => {
    const startedInIncarnation = incarnationNumber
    if (options.checksFencing) {
      if (incoming.fencingToken < fencingToken) {
        onEvent('order-refused', { target: name, order: incoming.kind, model: incoming.model })
        return { kind: 'refused-token', currentToken: fencingToken }
      }
      fencingToken = incoming.fencingToken
    }
    if (incoming.kind === 'load') {
      if (incoming.baseModel !== undefined && models.get(incoming.baseModel)?.state !== 'loaded') return { kind: 'failed', reason: 'the base model is not loaded' }
      const outcome = await runLoad(incoming, startedInIncarnation)
      if (startedInIncarnation === incarnationNumber) executedOrders.push(incoming.orderId)
      return outcome
    }
    models.delete(incoming.model)
    executedOrders.push(incoming.orderId)
    onEvent('unloaded', { target: name, model: incoming.model })
    return { kind: 'done' }
  }

  const generate = async (stream: GeneratedStream, tokens: readonly string[]): Promise<void> => {
    for (const token of [...tokens, '[DONE]']) {
      await clock.sleep(options.tokenMilliseconds * faults.slowness)
      await whenThawed()
      if (stream.isCancelled || stream.incarnationNumber !== incarnationNumber) break
      stream.events.push(token)
      stream.lastByteAt = clock.now()
      for (const wake of [...stream.changeListeners]) wake()
    }
    stream.isFinished = true
    if (stream.incarnationNumber === incarnationNumber) running--
    for (const wake of [...stream.changeListeners]) wake()
  }

  const responseTag = (tag: string): string => {
    if (faults.crossedAnswers === 0) return tag
    faults.crossedAnswers--
    return `not-${tag}`
  }

  const admit = (requestId: string): CompletionStart | undefined => {
    increment(received, requestId)
    if (vmState === 'leaving' && !faults.hidesLeaving) return { kind: 'refused', code: 'leaving' }
    if (running >= options.capacity) return { kind: 'refused', code: 'busy' }
    return undefined
  }

  const complete: FakeTarget['complete'] = async ({ requestId, body, stream: isStream }) => {
    const startedInIncarnation = incarnationNumber
    await whenThawed()
    if (startedInIncarnation !== incarnationNumber || !isUp) return { kind: 'broken', reason: 'the engine died' }
    const refusal = admit(requestId)
    if (refusal !== undefined) return refusal
    const { model = '', tag, tokens } = parseRequestBody(body)
    if (models.get(model)?.state !== 'loaded') return { kind: 'refused', code: 'model-not-loaded' }
    increment(runs, requestId)
    running++
    onEvent('run', { target: name, request: requestId })
    const text = tokensOf(tag, tokens)
    if (isStream) {
      const stream: GeneratedStream = {
        streamId: `${name}-stream-${++streamCount}`, requestId, incarnationNumber, events: [], isFinished: false, isCancelled: false, changeListeners: new Set(), lastByteAt: clock.now()
      }
      streams.set(stream.streamId, stream)
      void generate(stream, text)
      return { kind: 'stream', stream }
    }
    await clock.sleep(tokens * options.tokenMilliseconds * faults.slowness)
    await whenThawed()
    if (startedInIncarnation !== incarnationNumber) return { kind: 'broken', reason: 'the engine died' }
    running--
    return { kind: 'text', tag: responseTag(tag), text: text.join(' ') }
  }

  const call: FakeTarget['call'] = async ({ requestId, key, body }) => {
    const startedInIncarnation = incarnationNumber
    await whenThawed()
    if (startedInIncarnation !== incarnationNumber || !isUp) return { kind: 'broken', reason: 'the service died' }
    const refusal = admit(requestId)
    if (refusal !== undefined) return refusal
    increment(runs, requestId)
    if (key !== undefined) {
      increment(runsByKey, key)
      if ((runsByKey.get(key) ?? 0) > 1) options.onViolation(`the call with one idempotency key ran twice at ${name}`)
    }
    running++
    onEvent('run', { target: name, request: requestId })
    await clock.sleep(options.callMilliseconds * faults.slowness)
    await whenThawed()
    if (startedInIncarnation !== incarnationNumber) return { kind: 'broken', reason: 'the service died' }
    running--
    const { tag } = parseRequestBody(body)
    return { kind: 'text', tag: responseTag(tag), text: tag }
  }

  const kill = (): void => {
    isUp = false
    incarnationNumber++
    models = new Map()
    executedOrders = []
    fencingToken = 0
    running = 0
    for (const stream of streams.values()) for (const wake of [...stream.changeListeners]) wake()
    streams.clear()
    const waiters = killListeners
    killListeners = []
    for (const wake of waiters) wake()
  }

  return {
    name,
    kind: options.kind,
    role: options.role,
    dataCentre: options.dataCentre,
    faults,
    counts: { received, runs, runsByKey },
    isUp: () => isUp,
    incarnation: () => `${name}#${incarnationNumber}`,
    state,
    models: () => [...models.values()],
    whenThawed,
    kill,
    start: () => { isUp = true },
    unfreeze: () => {
      faults.isFrozen = false
      const waiters = thawListeners
      thawListeners = []
      for (const wake of waiters) wake()
    },
    setState: (next) => { vmState = next },
    isLeaving: () => vmState === 'leaving',
    whenKilled: () => new Promise((resolve) => { killListeners.push(resolve) }),
    order,
    complete,
    streamOf: (streamId) => streams.get(streamId),
    cancel: (streamId) => {
      const stream = streams.get(streamId)
      if (stream === undefined) return false
      stream.isCancelled = true
      streams.delete(streamId)
      return true
    },
    call
  }
}
