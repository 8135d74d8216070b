import fc from 'fast-check'
import { stringify } from 'yaml'
import { runStep } from './run-scenario.js'
import { deploymentSchema, requestDefaults, type Action, type Deployment, type Step } from './scenario-schema.js'
import { formatTimeline } from './timeline.js'
import { createWorld, type World } from './world.js'

export interface SoakOptions {
  readonly seed: number
  /** Maximum number of generated steps. */
  readonly steps: number
  /** Time limit for the run, including the shrinking of a failure. */
  readonly timeLimitMilliseconds?: number
}

export interface SoakResult {
  readonly seed: number
  /** Undefined when no guarantee was violated. */
  readonly failure: SoakFailure | undefined
  readonly requestCount: number
  readonly sendCount: number
}

export interface SoakFailure {
  readonly violations: readonly string[]
  /** Shrunk steps in the format of a scenario file. */
  readonly scenario: string
}

export interface SoakRun {
  readonly timeline: readonly string[]
  readonly violations: readonly string[]
  readonly requestCount: number
  readonly sendCount: number
}

const DAEMONS = ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5', 'entry-6'] as const
const DATA_CENTRES = ['van-a', 'van-b', 'vic-a'] as const
const ENGINES = ['drafter-1', 'drafter-2', 'drafter-3', 'drafter-4'] as const
const SERVICES = ['ledger-1', 'ledger-2', 'ledger-3', 'ledger-4'] as const
/** Targets that generated steps may drain. The others stay, so that requests can still be served at the end. */
const DRAINABLE_TARGETS = ['drafter-4', 'ledger-4'] as const
const MODELS = ['letter', 'review', 'clause'] as const

const RECOVERY_MILLISECONDS = 40_000
const FINAL_REQUESTS_MILLISECONDS = 35_000

/** Returns a deployment whose engines have too little memory to load all models at the same time. */
function soakDeployment (variant: SoakVariant): Deployment {
  return deploymentSchema.parse({
    daemons: Object.fromEntries(DAEMONS.map((name, index) => [name, DATA_CENTRES[index % DATA_CENTRES.length]])),
    memberListDifference: 1,
    unverified: variant.unverified,
    listLag: variant.listLag,
    snapshotEveryRecords: 25,
    roles: { drafter: { kind: 'engine', fencing: variant.fencing, memory: 30_000, concurrent: 4 } },
    targets: Object.fromEntries([
      ...ENGINES.map((name, index) => [name, { role: 'drafter', dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] }] as const),
      ...SERVICES.map((name, index) => [name, { role: 'ledger', dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] }] as const)
    ]),
    models: {
      letter: { dataCentres: [...DATA_CENTRES], maximum: 2 },
      review: { memory: 18_000, weights: 14_000, dataCentres: ['van-a', 'van-b'], maximum: 1 },
      clause: { memory: 25_000, weights: 20_000, dataCentres: ['van-b', 'vic-a'], maximum: 2 }
    },
    services: { ledger: { dataCentres: [...DATA_CENTRES] } }
  })
}

interface SoakVariant {
  readonly fencing: 'checked' | 'ignored'
  readonly unverified: 'refuse' | 'serve-with-majority'
  readonly listLag: number
}

const variants: fc.Arbitrary<SoakVariant> = fc.record({
  fencing: fc.constantFrom('checked', 'ignored'),
  unverified: fc.constantFrom('serve-with-majority', 'serve-with-majority', 'refuse'),
  listLag: fc.constantFrom(0, 5_000)
})

const daemon = fc.constantFrom(...DAEMONS)
const daemonOrRole = fc.oneof({ weight: 3, arbitrary: daemon }, { weight: 2, arbitrary: fc.constantFrom('$holder', '$owner:key-1') })
const engine = fc.constantFrom(...ENGINES)
const target = fc.constantFrom(...ENGINES, ...SERVICES)

/** Placeholder that `withPositionName` replaces by a name derived from the position of the step. */
const PLACEHOLDER_NAME = 'step'

const completion = fc.record({
  model: fc.constantFrom(...MODELS), stream: fc.boolean(), tokens: fc.constantFrom(4, 30, 100), deadline: fc.constantFrom(2_000, 15_000, 40_000), caller: fc.constantFrom('office', 'desk', 'batch')
})
const payout = fc.record({
  service: fc.constant('ledger/payouts'), key: fc.constantFrom('key-1', 'key-2', 'key-3'), body: fc.constant('pay'), deadline: fc.constantFrom(5_000, 20_000)
})
const request = fc.oneof(completion, payout).map((fields) => requestDefaults(fields))

const ruleChange = fc.tuple(fc.constantFrom(...MODELS), fc.subarray([...DATA_CENTRES]), fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 1 }))
  .map(([model, dataCentres, maximumReplicas, minimumWarm]) => ({ [`rule/${model}`]: { dataCentres, maximumReplicas, minimumWarm: Math.min(minimumWarm, maximumReplicas) } }))
const serviceChange = fc.subarray([...DATA_CENTRES], { minLength: 1 }).map((dataCentres) => ({ 'service/ledger': { role: 'ledger', dataCentres, nonIdempotent: ['POST /payouts'] } }))

const linkPair: fc.Arbitrary<[string, string]> = fc.oneof(
  fc.tuple(daemonOrRole, fc.constantFrom('log', 'peers', 'list')),
  fc.tuple(daemonOrRole, daemon),
  fc.tuple(daemonOrRole, target)
)

const targetFault: fc.Arbitrary<NonNullable<Action['target']>> = fc.oneof(
  fc.record({ name: target, frozen: fc.boolean() }),
  fc.record({ name: target, slowness: fc.constantFrom(1, 4, 15) }),
  fc.record({ name: target, restart: fc.constant(true) }),
  fc.record({ name: target, crossedAnswers: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ name: engine, cutStreamsAt: fc.integer({ min: 0, max: 6 }), refusesResume: fc.boolean() }),
  fc.record({ name: engine, repeatedEvents: fc.integer({ min: 0, max: 3 }), lostEvent: fc.integer({ min: 1, max: 6 }) }),
  fc.record({ name: engine, failedLoads: fc.integer({ min: 1, max: 2 }) }),
  fc.record({ name: fc.constantFrom(...DRAINABLE_TARGETS), leaving: fc.constant(true) })
)

const processFault: fc.Arbitrary<Action> = fc.oneof(
  daemonOrRole.map((name) => ({ kill: name })),
  daemonOrRole.map((name) => ({ pause: name })),
  daemonOrRole.map((name) => ({ stop: name })),
  target.map((name) => ({ kill: name })),
  fc.constantFrom(...DAEMONS, ...ENGINES, ...SERVICES).map((name) => ({ start: name })),
  fc.oneof(daemon, fc.constant('all')).map((name) => ({ resume: name }))
)

const logFault: fc.Arbitrary<NonNullable<Action['log']>> = fc.oneof(
  fc.constant({ state: 'down' as const }),
  fc.constant({ state: 'up' as const }),
  fc.integer({ min: 1, max: 4 }).map((loseReplies) => ({ loseReplies })),
  fc.integer({ min: 1, max: 4 }).map((loseRequests) => ({ loseRequests })),
  fc.constantFrom('configuration', 'placement.bc-coast', 'claims.0', 'claims.1').map((stream) => ({ expireToSnapshot: stream }))
)

const trigger = fc.record({
  point: fc.constantFrom('append', 'appended', 'order', 'order-answer', 'request', 'request-answer', 'call', 'call-answer'),
  kind: fc.constantFrom(undefined, 'intent', 'batch', 'settlement', 'release', 'acquire'),
  nth: fc.integer({ min: 1, max: 3 }),
  daemon: fc.oneof(fc.constant(undefined), daemonOrRole),
  fault: fc.constantFrom('pause', 'kill', 'cut')
}).map(({ point, kind, nth, daemon: at, fault }) => {
  const name = at ?? '$holder'
  const action: Action = fault === 'cut' ? { cut: [[name, 'log'], [name, 'peers']] } : fault === 'kill' ? { kill: name } : { pause: name }
  return { point, nth, do: [action], ...(kind === undefined || !point.startsWith('append') ? {} : { kind }), ...(at === undefined ? {} : { daemon: at }) } as NonNullable<Step['when']>
})

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.constantFrom(200, 1_000, 3_000, 7_000, 13_000).map((advance) => ({ advance })) },
  { weight: 5, arbitrary: fc.tuple(daemon, request).map(([at, fields]) => ({ request: { ...fields, name: PLACEHOLDER_NAME, at } })) },
  { weight: 2, arbitrary: fc.tuple(completion, fc.integer({ min: 4, max: 16 })).map(([fields, count]) => ({ burst: { ...requestDefaults(fields), name: PLACEHOLDER_NAME, at: 'all', count, every: 150 } })) },
  { weight: 1, arbitrary: completion.map((fields) => ({ clients: { ...requestDefaults(fields), name: PLACEHOLDER_NAME, count: 3, every: 1_000, for: 15_000 } })) },
  { weight: 2, arbitrary: fc.tuple(daemon, fc.oneof(ruleChange, serviceChange)).map(([at, changes]) => ({ patch: { name: PLACEHOLDER_NAME, at, changes, timeout: 20_000 } })) },
  { weight: 4, arbitrary: processFault },
  { weight: 2, arbitrary: fc.array(linkPair, { minLength: 1, maxLength: 3 }).map((cut) => ({ cut })) },
  { weight: 1, arbitrary: fc.constant({ heal: 'all' as const }) },
  { weight: 2, arbitrary: logFault.map((log) => ({ log })) },
  { weight: 3, arbitrary: targetFault.map((fault) => ({ target: fault })) },
  { weight: 2, arbitrary: trigger.map((when) => ({ when })) }
)

/** Names a request, burst, client group or patch after the position of its step. */
function withPositionName (step: Step, index: number): Step {
  const name = `s${index}`
  if (step.request !== undefined) return { request: { ...step.request, name } }
  if (step.burst !== undefined) return { burst: { ...step.burst, name } }
  if (step.clients !== undefined) return { clients: { ...step.clients, name } }
  if (step.patch !== undefined) return { patch: { ...step.patch, name } }
  return step
}

/** Skips the stop of a daemon while another one is stopping or stopped, because the VM lists of two daemons may differ by one VM only (`memberListDifference`). */
function canRun (world: World, step: Step): boolean {
  if (step.stop === undefined) return true
  return ![...world.daemons.values()].some(({ phase }) => phase === 'stopping' || phase === 'stopped')
}

/**
 * Runs generated steps, then ends the faults and checks that every running daemon serves requests again.
 * Drained targets stay drained.
 *
 * @example
 * const { violations } = await runSteps(variant, steps, 1)
 */
export async function runSteps (variant: SoakVariant, steps: readonly Step[], seed: number): Promise<SoakRun> {
  const world = createWorld(soakDeployment(variant), seed)
  await world.begin()
  for (const [index, step] of steps.entries()) {
    if (canRun(world, step)) await runStep(world, withPositionName(step, index), () => undefined)
  }
  await recoverAndCheck(world)
  await world.end()
  return { violations: world.violations, requestCount: world.requests.size, sendCount: world.invariants.sendCount(), timeline: formatTimeline(world.events) }
}

async function recoverAndCheck (world: World): Promise<void> {
  world.clearTriggers()
  world.apply({ heal: 'all' })
  world.apply({ log: { state: 'up', loseReplies: 0, loseRequests: 0 } })
  world.apply({ resume: 'all' })
  for (const name of [...ENGINES, ...SERVICES]) {
    world.apply({ target: { name, frozen: false, slowness: 1, crossedAnswers: 0, refusesResume: false, failedLoads: 0, repeatedEvents: 0 } })
    world.apply({ start: name })
  }
  await world.advance(RECOVERY_MILLISECONDS)
  for (const name of DAEMONS) world.apply({ start: name })
  await world.advance(RECOVERY_MILLISECONDS)
  for (const { name, phase } of world.daemons.values()) {
    if (phase === 'running') world.apply({ request: { ...requestDefaults({ service: 'ledger/payouts', key: `last-${name}`, deadline: 20_000 }), name: `last-${name}`, at: name } })
  }
  await world.advance(FINAL_REQUESTS_MILLISECONDS)
  for (const request of world.requests.values()) {
    if (request.outcome === undefined) world.recordViolation(`${request.name} has no final response at the end of the run`)
    else if (request.name.startsWith('last-') && request.outcome.kind !== 'done') world.recordViolation(`${request.daemon} does not serve requests after all faults have ended: ${request.outcome.code}`)
  }
}

/**
 * Runs random steps with all kinds of faults for one seed, and shrinks the steps when a guarantee is violated.
 *
 * @example
 * const { failure } = await runSoak({ seed: 7, steps: 40 })
 */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  let requestCount = 0
  let sendCount = 0
  const arbitrary = fc.tuple(variants, fc.array(anyStep, { minLength: 1, maxLength: options.steps, size: 'max' }))
  const property = fc.asyncProperty(arbitrary, async ([variant, steps]) => {
    const run = await runSteps(variant, steps, options.seed)
    requestCount += run.requestCount
    sendCount += run.sendCount
    if (run.violations.length > 0) throw new Error(run.violations.join('\n'))
  })
  const details = await fc.check(property, { seed: options.seed, numRuns: 1, unbiased: true, interruptAfterTimeLimit: options.timeLimitMilliseconds ?? 120_000 })
  const counterexample = details.counterexample?.[0]
  if (requestCount === 0) throw new Error(`seed ${options.seed}: no run started within the time limit`)
  if (!details.failed || counterexample === undefined) return { seed: options.seed, failure: undefined, requestCount, sendCount }
  const [variant, steps] = counterexample
  const message = details.errorInstance instanceof Error ? details.errorInstance.message : String(details.errorInstance)
  return { seed: options.seed, requestCount, sendCount, failure: { violations: message.split('\n'), scenario: stringify({ variant, steps: steps.map(withPositionName) }) } }
}

export interface SoakCommandOptions {
  /** First seed. */
  readonly seed: number
  readonly steps: number
  /** Number of consecutive seeds. */
  readonly seeds: number
  readonly timeLimitMilliseconds?: number
  readonly print: (line: string) => void
}

/**
 * Runs several seeds for the command line. Resolves with the number of failed seeds.
 *
 * @example
 * process.exitCode = await runSoakCommand({ seed: 1, steps: 40, seeds: 20, print: console.log }) === 0 ? 0 : 1
 */
export async function runSoakCommand (options: SoakCommandOptions): Promise<number> {
  let failed = 0
  let requestCount = 0
  let sendCount = 0
  for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
    const result = await runSoak({ seed, steps: options.steps, timeLimitMilliseconds: options.timeLimitMilliseconds })
    requestCount += result.requestCount
    sendCount += result.sendCount
    if (result.failure === undefined) continue
    failed++
    options.print(`seed ${seed} failed:`)
    for (const line of result.failure.violations) options.print(`  ${line}`)
    options.print(result.failure.scenario)
  }
  options.print(`${options.seeds} seeds of at most ${options.steps} steps, ${requestCount} requests, ${sendCount} sends to targets, ${failed} seeds failed`)
  return failed
}
