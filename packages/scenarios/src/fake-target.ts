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
  /** Whether the target refuses orders whose fencing token is lower than the highest one it has received. */
  readonly checksFencing: boolean
  readonly loadMegabytesPerSecond: number
  readonly tokenMilliseconds: number
  /** Duration of a call to a plain service. */
  readonly callMilliseconds: number
  readonly onEvent: (event: string, fields: Readonly<Record<string, string | number>>) => void
  readonly onViolation: (fault: string) => void
  /** Called when a load order adds a replica, after the model is in `models()` of the target. */
  readonly onReplicaLoad: (order: LoadOrder) => void
}

/** Faults that a scenario injects into a target. */
export interface TargetFaults {
  /** Requests are held until the target resumes, and then run even if their callers have given up. */
  isFrozen: boolean
  /** Factor by which loads, calls and token generation take longer. */
  slowness: number
  /** Number of next responses that carry another request's id. */
  crossedAnswers: number
  /** The next stream is cut after this number of events. */
  cutStreamsAt: number | undefined
  refusesResume: boolean
  /** Number of already delivered events that a resumed stream sends again. */
  repeatedEvents: number
  /** Id of the event that the next stream omits. */
  lostEvent: number | undefined
  /** Number of next loads that fail. */
  failedLoads: number
  /** The target still reports `live` while it is draining; only the VM list shows the state `leaving`. */
  hidesLeaving: boolean
}

export interface GeneratedStream {
  readonly streamId: string
  readonly requestId: string
  readonly incarnation: number
  readonly events: string[]
  isFinished: boolean
  isCancelled: boolean
  /** Called after a new event, at the end of the stream and when the target is killed. */
  readonly changeListeners: Set<() => void>
  lastByteAt: number
}

/** Number of requests that a target received and ran, against which responses are checked. */
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

/** Simulated engine or plain service behind the `TargetServices` port. */
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
  readonly whenUnfrozen: () => Promise<void>
  readonly kill: () => void
  readonly start: () => void
  readonly unfreeze: () => void
  readonly setState: (state: VmState) => void
  readonly isLeaving: () => boolean
  /** Resolves when the current incarnation is killed. */
  readonly whenKilled: () => Promise<void>
  readonly order: (order: LoadOrder | UnloadOrder) => Promise<OrderOutcome>
  readonly complete: (request: { readonly requestId: string, readonly body: string, readonly stream: boolean }) => Promise<CompletionStart>
  readonly streamOf: (streamId: string) => GeneratedStream | undefined
  readonly cancel: (streamId: string) => boolean
  readonly call: (request: { readonly requestId: string, readonly key: string | undefined, readonly body: string }) => Promise<CompletionStart>
}

const DEFAULT_TOKENS = 8

/** Returns all tokens of the response to a request. They contain the request's tag, so that callers can detect foreign tokens. */
export function tokensOf (tag: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${tag}:${index + 1}`)
}

interface PromptFields {
  readonly model?: string
  readonly tag: string
  readonly tokens: number
}

/** Parses a request body: the model, and the tag and token count in the prompt. */
export function parseRequestBody (body: string): PromptFields {
  const parsed = JSON.parse(body === '' ? '{}' : body) as { readonly model?: string, readonly prompt?: string, readonly tag?: string }
  const [tag = '', tokens] = (parsed.prompt ?? parsed.tag ?? '').split('|')
  return { model: parsed.model, tag, tokens: tokens === undefined ? DEFAULT_TOKENS : Number(tokens) }
}

/**
 * Creates a target that counts the requests that it receives and runs.
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
  let unfreezeListeners: (() => void)[] = []
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
  const whenUnfrozen = (): Promise<void> => faults.isFrozen ? new Promise((resolve) => { unfreezeListeners.push(resolve) }) : Promise.resolve()
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
    await whenUnfrozen()
    if (startedInIncarnation !== incarnationNumber || !isUp) return { kind: 'unknown', reason: 'the engine was killed' }
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
      await whenUnfrozen()
      if (stream.isCancelled || stream.incarnation !== incarnationNumber) break
      stream.events.push(token)
      stream.lastByteAt = clock.now()
      for (const notify of [...stream.changeListeners]) notify()
    }
    stream.isFinished = true
    if (stream.incarnation === incarnationNumber) running--
    for (const notify of [...stream.changeListeners]) notify()
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
    await whenUnfrozen()
    if (startedInIncarnation !== incarnationNumber || !isUp) return { kind: 'broken', reason: 'the engine was killed' }
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
        streamId: `${name}-stream-${++streamCount}`, requestId, incarnation: incarnationNumber, events: [], isFinished: false, isCancelled: false, changeListeners: new Set(), lastByteAt: clock.now()
      }
      streams.set(stream.streamId, stream)
      void generate(stream, text)
      return { kind: 'stream', stream }
    }
    await clock.sleep(tokens * options.tokenMilliseconds * faults.slowness)
    await whenUnfrozen()
    if (startedInIncarnation !== incarnationNumber) return { kind: 'broken', reason: 'the engine was killed' }
    running--
    return { kind: 'text', tag: responseTag(tag), text: text.join(' ') }
  }

  const call: FakeTarget['call'] = async ({ requestId, key, body }) => {
    const startedInIncarnation = incarnationNumber
    await whenUnfrozen()
    if (startedInIncarnation !== incarnationNumber || !isUp) return { kind: 'broken', reason: 'the service was killed' }
    const refusal = admit(requestId)
    if (refusal !== undefined) return refusal
    increment(runs, requestId)
    if (key !== undefined) {
      increment(runsByKey, key)
      if ((runsByKey.get(key) ?? 0) > 1) options.onViolation(`a call ran twice under one idempotency key at ${name}`)
    }
    running++
    onEvent('run', { target: name, request: requestId })
    await clock.sleep(options.callMilliseconds * faults.slowness)
    await whenUnfrozen()
    if (startedInIncarnation !== incarnationNumber) return { kind: 'broken', reason: 'the service was killed' }
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
    for (const stream of streams.values()) for (const notify of [...stream.changeListeners]) notify()
    streams.clear()
    const listeners = killListeners
    killListeners = []
    for (const notify of listeners) notify()
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
    whenUnfrozen,
    kill,
    start: () => { isUp = true },
    unfreeze: () => {
      faults.isFrozen = false
      const listeners = unfreezeListeners
      unfreezeListeners = []
      for (const notify of listeners) notify()
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
