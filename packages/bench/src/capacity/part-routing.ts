import { createSystemClock } from '@fuchsiastage/clock'
import { createSeededRandom } from '@fuchsiastage/membership'
import { createReportStore, createRequestTracker, createRouter } from '@fuchsiastage/routing'
import { DESIGN_SIZE } from './fixtures.js'
import { heapBytes, measureCost, roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart } from './measure.js'

const DECISION_COUNT = 100_000
const IN_FLIGHT_REQUESTS = 200
const PREFIX_COUNT = 5_000
const KEY = 'model/measured'

async function measureSize (targetCount: number, options: CapacityOptions): Promise<readonly number[]> {
  const clock = createSystemClock()
  const before = heapBytes()
  const reports = createReportStore({ clock })
  const tracker = createRequestTracker({ clock })
  const router = createRouter({
    clock,
    random: createSeededRandom(options.seed),
    daemon: 'entry-0001',
    reports,
    tracker,
    latency: () => 1,
    daemonsRouting: () => 2,
    settings: { maximumStateAgeMilliseconds: Infinity }
  })
  const targets = Array.from({ length: targetCount }, (_, index) => ({ name: `target-${index}`, address: '127.0.0.1:1', dataCentre: DESIGN_SIZE.dataCentres[index % 5] ?? '', maximumConcurrent: 64 }))
  const { cost: candidatesCost } = await measureCost(() => router.setCandidates(KEY, targets))
  targets.forEach(({ name }, index) => reports.record({
    target: name,
    incarnation: 'incarnation',
    state: 'live',
    load: { running: index % 20, waiting: 0, capacity: 64, ageMilliseconds: 500 },
    ageMilliseconds: 500,
    source: 'observer'
  }))
  const decisions = Math.max(1_000, Math.round(DECISION_COUNT * options.scale))
  const running: string[] = []
  let refusedDecisions = 0
  const { cost } = await measureCost(() => {
    for (let index = 0; index < decisions; index++) {
      const prefix = `prefix-${index % PREFIX_COUNT}`
      const decision = router.choose({ key: KEY, prefix })
      if (decision.isErr) {
        refusedDecisions++
        continue
      }
      const { name } = decision.value.target
      tracker.begin(name)
      router.recordPrefix(name, KEY, prefix)
      running.push(name)
      const ended = running.length > IN_FLIGHT_REQUESTS ? running.shift() : undefined
      if (ended !== undefined) tracker.end(ended, { kind: 'success', firstByteMilliseconds: 100, key: KEY })
    }
  })
  if (refusedDecisions > decisions / 100) throw new Error(`${refusedDecisions} of ${decisions} decisions found no target`)
  return [targetCount, cost.processorMilliseconds * 1_000 / decisions, candidatesCost.wallMilliseconds, router.watchedTargets().length, (heapBytes() - before) / 1e6]
}

/** Cost of one routing decision, including the in-flight count and the prefix hint. */
export const routingPart: CapacityPart = {
  name: 'routing',
  description: 'routing decision at 60, 600 and 5,900 targets',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    // Warm-up: the first run also compiles the code, so its result is discarded.
    await measureSize(60, options)
    for (const size of scaleSizes([60, 600, DESIGN_SIZE.targets], options.scale).map((targets) => Math.max(IN_FLIGHT_REQUESTS / 8, targets))) rows.push(await measureSize(size, options))
    return [{
      title: 'routing: choice, in-flight count and prefix hint of one request',
      columns: ['targets', 'µs/decision', 'ms to set candidates', 'watched targets', 'memory MB'],
      rows: rows.map((row) => row.map(roundSignificant))
    }]
  }
}
