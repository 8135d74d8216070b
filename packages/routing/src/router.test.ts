import test from 'ava'
import fc from 'fast-check'
import { createManualClock } from '@fuchsiastage/clock'
import type { VmState } from '@fuchsiastage/types'
import { createReportStore, createRequestTracker, createRouter, type ReportStore, type RouterSettings, type RoutingTarget } from './index.js'

/** Mulberry32 generator, so that every run uses the same random numbers. */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

interface FixtureOptions {
  readonly targets?: number
  readonly maximumConcurrent?: number
  readonly daemonsRouting?: number
  readonly dataCentre?: (index: number) => string
  readonly settings?: Partial<RouterSettings>
  readonly wrapReports?: (reports: ReportStore) => ReportStore
}

const KEY = 'model/letter'

function createFixture (options: FixtureOptions = {}) {
  const clock = createManualClock()
  const baseReports = createReportStore({ clock })
  const reports = options.wrapReports?.(baseReports) ?? baseReports
  const tracker = createRequestTracker({ clock })
  const random = createRandom(11)
  const router = createRouter({
    clock,
    random,
    daemon: 'entry-1',
    reports,
    tracker,
    latency: (dataCentre) => dataCentre === 'far' ? 80 : 1,
    daemonsRouting: () => options.daemonsRouting ?? 1,
    settings: options.settings
  })
  const targets = Array.from({ length: options.targets ?? 4 }, (_, index): RoutingTarget => ({
    name: `t${index}`,
    address: `10.0.0.${index}:1`,
    dataCentre: options.dataCentre?.(index) ?? 'near',
    maximumConcurrent: options.maximumConcurrent ?? 8
  }))
  const report = (target: string, running = 0, fields: { readonly state?: VmState, readonly lag?: number, readonly age?: number, readonly incarnation?: string } = {}) => reports.record({
    target,
    incarnation: fields.incarnation ?? 'i1',
    state: fields.state ?? 'live',
    load: { running, waiting: 0, capacity: options.maximumConcurrent ?? 8, ageMilliseconds: fields.lag ?? 0 },
    ageMilliseconds: fields.age ?? 0,
    source: 'own'
  })
  const hitsPrefix = (prefix: string) => router.choose({ key: KEY, prefix }).map(({ prefixHit }) => prefixHit).unwrapOr(false)
  const choose = (prefix?: string) => router.choose({ key: KEY, prefix }).map(({ target }) => target.name).unwrapOr('none')
  const countDecisions = (decisions: number, each: (target: string) => void = () => {}) => {
    const chosen: Record<string, number> = {}
    for (let decision = 0; decision < decisions; decision++) {
      const target = choose()
      chosen[target] = (chosen[target] ?? 0) + 1
      each(target)
    }
    return chosen
  }
  router.setCandidates(KEY, targets)
  for (const { name } of targets) report(name)
  return { clock, reports, tracker, router, targets, report, choose, hitsPrefix, countDecisions }
}

test('property: report times never decrease, and an incarnation that is leaving never becomes live again', async (t) => {
  const step = fc.record({
    wait: fc.integer({ min: 0, max: 500 }),
    age: fc.integer({ min: 0, max: 4_000 }),
    lag: fc.integer({ min: 0, max: 2_000 }),
    state: fc.constantFrom<VmState>('live', 'live', 'leaving')
  })
  await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 30 }), async (steps) => {
    const { clock, reports, report } = createFixture({ targets: 1 })
    let wasReportedLeaving = false
    for (const { wait, age, lag, state } of steps) {
      await clock.advance(wait)
      const before = reports.get('t0')
      report('t0', 1, { age, lag, state })
      const after = reports.get('t0')
      wasReportedLeaving ||= state === 'leaving'
      t.true(before !== undefined && after !== undefined && after.producedAt >= before.producedAt && after.loadMeasuredAt >= before.loadMeasuredAt)
      t.is(after?.leaving, wasReportedLeaving)
    }
  }), { seed: 3, numRuns: 40 })
})

test('an older report of another incarnation is ignored, and a new incarnation is not leaving', async (t) => {
  const { clock, reports, report } = createFixture({ targets: 1 })
  await clock.advance(1_000)
  report('t0', 0, { state: 'leaving' })
  t.true(reports.get('t0')?.leaving)
  await clock.advance(100)
  t.true(report('t0', 0, { incarnation: 'i2' }))
  t.false(reports.get('t0')?.leaving)
  t.false(report('t0', 0, { incarnation: 'i1', age: 500, state: 'leaving' }))
  t.false(reports.get('t0')?.leaving)
  reports.markLeaving('t0')
  await clock.advance(100)
  report('t0', 0, { incarnation: 'i3' })
  t.true(reports.get('t0')?.leaving, 'a mark from the VM list or a peer persists when a new incarnation reports that it is live')
})

test('an observer forwards the age of a state, so that the delays of all hops are added', async (t) => {
  const { clock, reports, report } = createFixture({ targets: 1 })
  report('t0', 2, { lag: 300 })
  await clock.advance(700)
  const [update] = reports.export(['t0', 'unknown'])
  const other = createReportStore({ clock })
  other.record({ ...update!, ageMilliseconds: update!.ageMilliseconds + 40 })
  t.is(other.get('t0')?.producedAt, clock.now() - 740)
  t.is(other.get('t0')?.loadMeasuredAt, clock.now() - 740)
})

test('a target that is leaving, or whose state is older than 3 s, receives no more requests', async (t) => {
  const { clock, tracker, router, report, choose, countDecisions } = createFixture({ targets: 3 })
  report('t0', 0, { state: 'leaving' })
  tracker.begin('t1')
  tracker.end('t1', { kind: 'refused', code: 'leaving' })
  t.deepEqual(countDecisions(50), { t2: 50 })
  await clock.advance(3_000)
  t.is(choose(), 't2')
  t.true(router.mayUse('t2'))
  await clock.advance(1)
  t.is(choose(), 'none')
  t.false(router.mayUse('t2'))
  const refused = router.choose({ key: KEY })
  t.true(refused.isErr)
  if (refused.isErr) t.like(refused.error, { code: 'no-target', outcome: 'not-run', details: { candidates: 3, leaving: 2, 'no-news': 1 } })
  t.deepEqual(router.targetsToPoll(KEY).map(({ name }) => name), ['t2'])
})

test('requests sent since a stale report are added to its load, so that a burst is not sent to a single target', async (t) => {
  const { clock, tracker, report, countDecisions } = createFixture({ targets: 2, maximumConcurrent: 64 })
  report('t0', 0, { lag: 900 })
  await clock.advance(10)
  report('t1', 20)
  const chosen = countDecisions(40, (target) => tracker.begin(target))
  t.deepEqual(chosen, { t0: 30, t1: 10 })
  await clock.advance(10)
  // A report measured after the requests were sent includes them, so they must not be counted twice.
  report('t0', 30)
  t.is(tracker.netRequestsSince('t0', clock.now()), 0)
  t.is(tracker.inFlight('t0'), 30)
})

test('property: no decision exceeds a target\'s limit, and the daemon\'s share bounds the requests sent between two reports', async (t) => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 6 }), fc.integer({ min: 1, max: 8 }), fc.integer({ min: 0, max: 9 }), async (limit, daemons, running) => {
    const { clock, tracker, report, countDecisions, targets } = createFixture({ targets: 3, maximumConcurrent: limit, daemonsRouting: daemons })
    await clock.advance(10)
    for (const { name } of targets) report(name, running)
    countDecisions(40, (target) => { if (target !== 'none') tracker.begin(target) })
    for (const { name } of targets) {
      const free = Math.max(0, limit - running)
      t.is(tracker.inFlight(name), Math.min(limit, Math.max(1, Math.floor(free / daemons))))
    }
  }), { seed: 5, numRuns: 60 })
})

test('a target that refused a request as busy is excluded until a newer report arrives or 200 ms have passed', async (t) => {
  const { clock, tracker, report, countDecisions, choose } = createFixture({ targets: 2 })
  tracker.begin('t0')
  tracker.end('t0', { kind: 'refused', code: 'busy' })
  t.deepEqual(countDecisions(20), { t1: 20 })
  await clock.advance(50)
  report('t0')
  t.truthy(countDecisions(20).t0)
  tracker.begin('t0')
  tracker.end('t0', { kind: 'refused', code: 'busy' })
  t.is(countDecisions(20).t0, undefined)
  await clock.advance(200)
  t.truthy(countDecisions(20).t0)
  t.not(choose(), 'none')
})

test('requests go to the target that has cached their prefix, despite late or missing cache events, until that target is nearly full', async (t) => {
  const { clock, router, report, choose, hitsPrefix } = createFixture({ targets: 20 })
  const event = (sequence: number, kind: 'stored' | 'evicted') => ({ sequence, model: 'letter', prefix: 'p', kind })
  router.recordCacheEvents('t7', [event(10, 'stored')])
  t.is(choose('p'), 't7')
  t.false(hitsPrefix('other'))
  router.recordCacheEvents('t7', [event(14, 'evicted')])
  // This event is older than the eviction and arrives after it.
  router.recordCacheEvents('t7', [event(12, 'stored')])
  t.false(hitsPrefix('p'))
  router.recordPrefix('t3', KEY, 'p')
  t.is(choose('p'), 't3')
  await clock.advance(10)
  report('t3', 7)
  t.false(hitsPrefix('p'))
  report('t3', 0)
  await clock.advance(10)
  report('t3', 0, { incarnation: 'i2' })
  t.false(hitsPrefix('p'), 'a new process has an empty cache')
})

test('far targets are used only when no near target is usable', async (t) => {
  const { countDecisions, report } = createFixture({ targets: 6, dataCentre: (index) => index < 3 ? 'near' : 'far' })
  t.deepEqual(Object.keys(countDecisions(100)).sort(), ['t0', 't1', 't2'])
  for (const name of ['t0', 't1', 't2']) report(name, 0, { state: 'leaving' })
  t.deepEqual(Object.keys(countDecisions(100)).sort(), ['t3', 't4', 't5'])
})

test('failing targets are ejected up to the maximum share and readmitted gradually', async (t) => {
  const { clock, tracker, router, targets, report, countDecisions } = createFixture({ targets: 10 })
  const fail = (target: string) => {
    tracker.begin(target)
    tracker.end(target, { kind: 'failure' })
  }
  for (let count = 0; count < 5; count++) for (const { name } of targets) fail(name)
  t.is(router.ejectedTargets().length, 3)
  const ejected = router.ejectedTargets()
  t.true(Object.keys(countDecisions(300)).every((name) => !ejected.includes(name)))
  const measureEjectedShare = () => {
    for (const { name } of targets) report(name)
    const chosen = countDecisions(3_000)
    return ejected.reduce((sum, name) => sum + (chosen[name] ?? 0), 0) / 3_000
  }
  await clock.advance(10_000)
  const initialShare = measureEjectedShare()
  await clock.advance(5_000)
  const partialShare = measureEjectedShare()
  await clock.advance(5_000)
  const fullShare = measureEjectedShare()
  t.true(initialShare > 0 && initialShare < partialShare && partialShare < fullShare, `${initialShare} ${partialShare} ${fullShare}`)
})

test('one slow target out of eight is ejected although the served models differ in size', (t) => {
  const { tracker, router, countDecisions } = createFixture({ targets: 8 })
  let requestCount = 0
  countDecisions(2_000, (target) => {
    const isLarge = requestCount++ % 2 === 0
    const delayMilliseconds = (isLarge ? 900 : 60) * (target === 't5' ? 8 : 1)
    tracker.begin(target)
    tracker.end(target, { kind: 'success', firstByteMilliseconds: delayMilliseconds, key: isLarge ? 'model/large' : 'model/small' })
  })
  t.deepEqual(router.ejectedTargets(), ['t5'])
  t.is(countDecisions(200).t5, undefined)
})

test('when all targets of a key fail, one is still used', (t) => {
  const { tracker, choose } = createFixture({ targets: 2 })
  for (let count = 0; count < 10; count++) {
    for (const name of ['t0', 't1']) {
      tracker.begin(name)
      tracker.end(name, { kind: 'failure' })
    }
  }
  t.not(choose(), 'none')
  t.not(choose(), 'none')
})

test('the number of reports read per decision does not grow with the number of targets, even when none is usable', (t) => {
  const reads = (targets: number, state: VmState) => {
    let count = 0
    const { report, choose } = createFixture({
      targets,
      wrapReports: (reports) => ({ ...reports, get: (target) => { count++; return reports.get(target) } })
    })
    if (state === 'leaving') for (let index = 0; index < targets; index++) report(`t${index}`, 0, { state })
    count = 0
    for (let decision = 0; decision < 100; decision++) choose()
    return count / 100
  }
  for (const state of ['live', 'leaving'] as const) {
    const readsInSmallFleet = reads(60, state)
    t.true(reads(5_900, state) <= readsInSmallFleet * 1.1 && readsInSmallFleet < 150, `${state} ${readsInSmallFleet}`)
  }
})

test('only the targets of recently requested keys are watched', async (t) => {
  const { clock, router, choose, targets } = createFixture({ targets: 2 })
  router.setCandidates('model/idle', [{ ...targets[0]!, name: 'idle' }])
  t.deepEqual(router.watchedTargets(), [])
  choose()
  t.deepEqual([...router.watchedTargets()].sort(), ['t0', 't1'])
  await clock.advance(60_001)
  t.deepEqual(router.watchedTargets(), [])
})
