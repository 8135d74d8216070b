/**
 * Prints the cost of one routing decision at several numbers of targets:
 * `node packages/routing/dist/measure-decision.js`.
 */
import { createSystemClock } from '@fuchsiastage/clock'
import { createReportStore, createRequestTracker, createRouter } from './index.js'

const DECISIONS = 200_000
const IN_FLIGHT = 200
const PREFIXES = 5_000
const KEY = 'model/measured'

function measure (targetCount: number): Record<string, number> {
  const clock = createSystemClock()
  const reports = createReportStore({ clock })
  const tracker = createRequestTracker({ clock })
  const router = createRouter({
    clock,
    random: Math.random,
    daemon: 'entry-1',
    reports,
    tracker,
    latency: () => 1,
    daemonsRouting: () => 2,
    settings: { newsMilliseconds: Infinity }
  })
  const targets = Array.from({ length: targetCount }, (_, index) => ({ name: `t${index}`, address: '127.0.0.1:1', dataCentre: 'a', maximumConcurrent: 64 }))
  router.setCandidates(KEY, targets)
  targets.forEach(({ name }, index) => reports.record({
    target: name,
    incarnation: 'i',
    state: 'live',
    load: { running: index % 20, waiting: 0, capacity: 64, ageMilliseconds: 500 },
    ageMilliseconds: 500,
    source: 'observer'
  }))
  const costs = new Float64Array(DECISIONS)
  const running: string[] = []
  let refused = 0
  for (let index = 0; index < DECISIONS; index++) {
    const prefix = `prefix-${index % PREFIXES}`
    const begin = clock.now()
    const decision = router.choose({ key: KEY, prefix })
    costs[index] = (clock.now() - begin) * 1_000
    if (decision.isErr) {
      refused++
      continue
    }
    const { name } = decision.value.target
    tracker.begin(name)
    router.recordPrefix(name, KEY, prefix)
    running.push(name)
    const ended = running.length > IN_FLIGHT ? running.shift() : undefined
    if (ended !== undefined) tracker.end(ended, { kind: 'success', firstByteMilliseconds: 100, key: KEY })
  }
  costs.sort()
  const quantile = (part: number): number => Math.round((costs[Math.floor(part * DECISIONS)] ?? NaN) * 100) / 100
  return { targets: targetCount, medianMicroseconds: quantile(0.5), p99Microseconds: quantile(0.99), refused }
}

for (const targetCount of [60, 600, 5_900]) process.stdout.write(JSON.stringify(measure(targetCount)) + '\n')
