import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import type { KnownTarget, ServingService, TargetLoad } from '@fuchsiastage/fleet'
import { createSeededRandom } from '@fuchsiastage/membership'
import { createTargetSpeeds, type TargetSpeeds } from '@fuchsiastage/target-pace'
import test from 'ava'
import { createChoiceSpread, type ChoiceSpread } from './choice-spread.js'
import { chooseTarget, firstResponseGroup, type TargetChoiceInputs } from './choose-target.js'
import { createInFlightTracker } from './in-flight.js'
import { createPrefixTracker } from './prefix-tracker.js'

const PLAIN: ServingService = { name: 'ledger', healthPath: '/', maximumConnections: 100, engine: undefined }
const ENGINES: ServingService = { ...PLAIN, name: 'drafter', engine: { models: new Map(), megabytes: 80_000, adapterPlaces: 8, batchSlots: 96, cacheTokens: 200_000, storeLoadsPerSecond: 2 } }
const DEMAND = { model: 'letters', adapter: undefined, promptTokens: 9_190, maximumOutputTokens: 50, promptParts: [] }

function targetOf (index: number, load?: TargetLoad, loadMeasuredAt?: number): KnownTarget {
  const id = `t${index}`
  const placement = { orderCount: 0, models: [{ name: 'letters', adapters: [] }], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  const entry = { id, startedAt: 0, service: 'ledger', address: `${id}:1`, dataCentre: 'a', slots: 6, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement }
  return { key: `${id}@0`, entry, placement, load, loadMeasuredAt, leavesAt: undefined }
}

function inputsOf (clock: ManualClock, service: ServingService, seed: number, daemons: number): Omit<TargetChoiceInputs, 'candidates'> & { readonly speeds: TargetSpeeds, readonly spread: ChoiceSpread } {
  return {
    service,
    demand: service.engine === undefined ? undefined : DEMAND,
    dataCentre: 'a',
    inFlight: createInFlightTracker(clock),
    prefixes: createPrefixTracker(),
    isOverloaded: () => false,
    isLimited: () => false,
    weight: () => 1,
    clock,
    speeds: createTargetSpeeds(clock),
    spread: createChoiceSpread({ clock, random: createSeededRandom(seed), daemonCount: () => daemons }),
    route: 'r',
    objectiveMilliseconds: 500
  }
}

interface HerdingLoad {
  readonly service: ServingService
  readonly daemons: number
  readonly targets: number
  /** Requests of each daemon in a second. */
  readonly perSecond: number
  readonly servingMilliseconds: number
  /** Interval at which all daemons learn the load of all targets; undefined if targets report none. */
  readonly reportMilliseconds: number | undefined
}

/** Largest number of requests at one target, as a multiple of the mean of all targets, averaged over time. */
async function busiestShare (load: HerdingLoad, knownDaemons = load.daemons): Promise<number> {
  const stepMilliseconds = 20
  const clock = createManualClock()
  const random = createSeededRandom(1)
  const daemons = Array.from({ length: load.daemons }, (_, index) => inputsOf(clock, load.service, index + 1, knownDaemons))
  const running = new Array<number>(load.targets).fill(0)
  const ends: Array<{ readonly at: number, readonly end: () => void }> = []
  let targets = running.map((_, index) => targetOf(index))
  let reportedAt = -Infinity
  let sum = 0
  const steps = 250
  for (let step = 0; step < steps; step++) {
    while ((ends[0]?.at ?? Infinity) <= clock.now()) ends.shift()?.end()
    if (load.reportMilliseconds !== undefined && clock.now() - reportedAt >= load.reportMilliseconds) {
      reportedAt = clock.now()
      targets = running.map((count, index) => targetOf(index, { running: count, waiting: 0, cacheTokensUsed: count * DEMAND.promptTokens, cacheTokens: 200_000 }, reportedAt))
    }
    for (const daemon of daemons) {
      if (random() >= load.perSecond * stepMilliseconds / 1_000) continue
      const chosen = chooseTarget({ ...daemon, candidates: targets })?.target
      const index = targets.findIndex(({ key }) => key === chosen?.key)
      const endSend = daemon.inFlight.begin(`t${index}@0`, DEMAND.promptTokens)
      running[index] = (running[index] ?? 0) + 1
      ends.push({ at: clock.now() + load.servingMilliseconds, end: () => { endSend(); running[index] = (running[index] ?? 1) - 1 } })
    }
    sum += Math.max(...running) * load.targets / Math.max(1, running.reduce((total, count) => total + count, 0))
    await clock.advance(stepMilliseconds)
  }
  return sum / steps
}

// The failure: all daemons send their requests to the target that the same report shows as the least loaded, or to the first of equal ones.
const HERDS: ReadonlyArray<{ readonly name: string, readonly load: HerdingLoad, readonly maximum: number }> = [
  { name: 'plain targets that report nothing', load: { service: PLAIN, daemons: 63, targets: 20, perSecond: 4, servingMilliseconds: 200, reportMilliseconds: undefined }, maximum: 3 },
  { name: 'plain targets with stale reports', load: { service: PLAIN, daemons: 63, targets: 20, perSecond: 4, servingMilliseconds: 200, reportMilliseconds: 400 }, maximum: 3 },
  { name: 'engines with stale reports', load: { service: ENGINES, daemons: 63, targets: 20, perSecond: 4, servingMilliseconds: 800, reportMilliseconds: 400 }, maximum: 3 },
  { name: 'engines with stale reports and few requests', load: { service: ENGINES, daemons: 63, targets: 20, perSecond: 0.8, servingMilliseconds: 800, reportMilliseconds: 400 }, maximum: 3 },
  { name: 'plain targets of a small fleet', load: { service: PLAIN, daemons: 7, targets: 8, perSecond: 10, servingMilliseconds: 200, reportMilliseconds: 200 }, maximum: 3 }
]
for (const { name, load, maximum } of HERDS) {
  test(`${load.daemons} daemons do not all choose the same of ${name}`, async (t) => {
    const share = await busiestShare(load)
    const withoutSpread = await busiestShare(load, 1)
    t.log(`busiest target ${share.toFixed(2)} times the mean; without the spread ${withoutSpread.toFixed(2)}`)
    t.true(share <= maximum, `${share}`)
    t.true(share < withoutSpread)
  })
}

test('without evidence of a difference a single daemon chooses by the load alone, the first of equal targets', (t) => {
  const inputs = inputsOf(createManualClock(), PLAIN, 1, 1)
  const choose = (): string | undefined => {
    const key = chooseTarget({ ...inputs, candidates: [targetOf(0), targetOf(1), targetOf(2)] })?.target.key
    inputs.inFlight.begin(key ?? '', 0)
    return key
  }
  t.deepEqual(Array.from({ length: 6 }, choose), ['t0@0', 't1@0', 't2@0', 't0@0', 't1@0', 't2@0'])
})

test('a target that is slower than the others gets fewer requests, and none that it would end too late while others have room', (t) => {
  const inputs = inputsOf(createManualClock(), PLAIN, 1, 1)
  const targets = [targetOf(0), targetOf(1), targetOf(2)]
  for (let index = 0; index < 200; index++) {
    for (const { key } of targets) inputs.speeds.recordTime(key, { group: firstResponseGroup('ledger', 'r', undefined), milliseconds: key === 't0@0' ? 360 : 200, promptTokens: 0, requests: 0 })
  }
  const counts = new Map<string, number>()
  const choose = (objectiveMilliseconds: number): string => {
    const key = chooseTarget({ ...inputs, objectiveMilliseconds, candidates: targets })?.target.key ?? ''
    inputs.inFlight.begin(key, 0)
    counts.set(key, (counts.get(key) ?? 0) + 1)
    return key
  }
  t.deepEqual([choose(250), choose(250)].sort(), ['t1@0', 't2@0'])
  for (let index = 0; index < 16; index++) choose(250)
  t.true((counts.get('t0@0') ?? 0) >= 2 && (counts.get('t0@0') ?? 0) <= 4, `${counts.get('t0@0')} of 18`)
})

test('a target in trouble is not chosen by chance', (t) => {
  const inputs = { ...inputsOf(createManualClock(), PLAIN, 1, 63), isLimited: (key: string) => key === 't0@0' }
  for (let index = 0; index < 500; index++) t.is(chooseTarget({ ...inputs, candidates: [targetOf(0), targetOf(1)] })?.target.key, 't1@0')
})

test('the cost of a choice grows linearly with the candidates, without a list of them', (t) => {
  const costs = [100, 1_000, 5_900].map((size) => {
    let looks = 0
    const count = <Result>(result: Result): Result => {
      looks++
      return result
    }
    const inputs = inputsOf(createManualClock(), ENGINES, 1, 63)
    const targets = Array.from({ length: size }, (_, index) => targetOf(index))
    // Any other use of the list, such as a filter or a copy by its methods, throws.
    const candidates = { length: size, 0: targets[0], [Symbol.iterator]: () => targets[Symbol.iterator]() } as unknown as readonly KnownTarget[]
    chooseTarget({
      ...inputs,
      candidates,
      weight: () => count(1),
      isOverloaded: () => count(false),
      inFlight: { ...inputs.inFlight, estimate: (target) => count(inputs.inFlight.estimate(target)) },
      speeds: { ...inputs.speeds, relativeTime: (target) => count(inputs.speeds.relativeTime(target)) },
      spread: { ...inputs.spread, draw: (...draw) => count(inputs.spread.draw(...draw)) }
    })
    return looks / size
  })
  t.deepEqual(costs, [5, 5, 5])
})

// Deployments whose targets state no relative work time were served by the load scores alone, and still are.
test('a service whose targets state no relative work time gets the choice of the load scores, without learned speeds or chance', (t) => {
  const { clock, spread, speeds, ...inputs } = inputsOf(createManualClock(), PLAIN, 1, 63)
  for (let count = 0; count < 20; count++) speeds.recordTime('t0@0', { group: 'any', milliseconds: count < 10 ? 50 : 400, promptTokens: 0, requests: 0 })
  const keys = Array.from({ length: 20 }, () => chooseTarget({ ...inputs, clock, speeds: undefined, spread: undefined, candidates: [targetOf(0), targetOf(1)] })?.target.key)
  t.deepEqual([...new Set(keys)], ['t0@0'])
})
