import test from 'ava'
import fc from 'fast-check'
import { createManualClock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import { PRIORITY_CLASSES, type PriorityClass } from '@fuchsiastage/types'
import { createAdmissionController, type Admission, type AdmissionOptions, type AdmissionRequest } from './index.js'

interface AdmissionOutcome {
  readonly at: number
  readonly admission?: Admission
  readonly error?: FuchsiastageError
}

function createFixture (options: Partial<AdmissionOptions> = {}) {
  const clock = createManualClock()
  const controller = createAdmissionController({ clock, random: () => 0.5, capacity: 1, ...options })
  /** Outcomes by request. A request that was settled twice would have two. */
  const outcomes = new Map<string, AdmissionOutcome[]>()
  const admissionOrder: string[] = []
  const submit = (request: string, fields: Partial<AdmissionRequest> = {}, signal?: AbortSignal) => {
    const list: AdmissionOutcome[] = []
    outcomes.set(request, list)
    void controller.admit({ request, caller: 'c', weight: 1, priority: 'normal', deadline: clock.now() + 60_000, ...fields }, signal).then((result) => {
      if (result.isOk) admissionOrder.push(request)
      list.push(result.isOk ? { at: clock.now(), admission: result.value } : { at: clock.now(), error: result.error })
    })
  }
  const outcome = (request: string) => outcomes.get(request)?.[0]
  const code = (request: string) => outcome(request)?.error?.code ?? (outcome(request) === undefined ? 'waiting' : 'admitted')
  return { clock, controller, outcomes, admissionOrder, submit, outcome, code }
}

test('requests are dispatched by class priority and, within a class, by earliest deadline', async (t) => {
  const { clock, admissionOrder, submit, outcome } = createFixture()
  submit('first')
  submit('bulk', { priority: 'bulk' })
  submit('normal-late', { deadline: 50_000 })
  submit('normal-early', { deadline: 40_000 })
  submit('urgent', { priority: 'urgent' })
  for (let step = 0; step < 5; step++) {
    await clock.advance(10)
    outcome(admissionOrder.at(-1) ?? '')?.admission?.release()
  }
  await clock.settle()
  t.deepEqual(admissionOrder, ['first', 'urgent', 'normal-early', 'normal-late', 'bulk'])
})

test('in a burst of three times the capacity, urgent requests are dispatched first, bulk still receives 10% of the dispatches, and the other requests are refused before their deadlines', async (t) => {
  const { clock, controller, outcomes, admissionOrder, submit, outcome } = createFixture({ capacity: 10, settings: { initialServiceMilliseconds: 100, maximumWaiting: 200 } })
  const released = new Set<string>()
  const serve = () => {
    for (const name of admissionOrder) {
      if (released.has(name)) continue
      released.add(name)
      clock.setTimer(100, () => outcome(name)?.admission?.release())
    }
  }
  // The capacity is 100 requests per second. For 10 s, 300 per second arrive: 80 urgent, 120 normal and 100 bulk.
  const priorities: readonly PriorityClass[] = [...Array<PriorityClass>(8).fill('urgent'), ...Array<PriorityClass>(12).fill('normal'), ...Array<PriorityClass>(10).fill('bulk')]
  const deadlines = new Map<string, number>()
  let dispatchesWithoutBulk = 0
  let longestWithoutBulk = 0
  let bulkAlwaysWaited = true
  for (let step = 0; step < 1_000; step++) {
    const before = admissionOrder.length
    for (let count = 0; count < 3; count++) {
      const index = step * 3 + count
      const priority = priorities[(index * 7) % priorities.length] ?? 'normal'
      const deadline = clock.now() + (priority === 'bulk' ? 20_000 : 2_000)
      deadlines.set(`${priority}-${index}`, deadline)
      submit(`${priority}-${index}`, { priority, deadline })
    }
    await clock.advance(10)
    serve()
    if (step <= 50) continue
    bulkAlwaysWaited &&= controller.view().waiting.bulk > 0
    for (const name of admissionOrder.slice(before)) {
      dispatchesWithoutBulk = name.startsWith('bulk') ? 0 : dispatchesWithoutBulk + 1
      longestWithoutBulk = Math.max(longestWithoutBulk, dispatchesWithoutBulk)
    }
  }
  for (let step = 0; step < 200; step++) {
    await clock.advance(100)
    serve()
  }
  const servedShare = (priority: string) => {
    const names = [...outcomes.keys()].filter((name) => name.startsWith(priority))
    return names.filter((name) => outcome(name)?.admission !== undefined).length / names.length
  }
  t.true(bulkAlwaysWaited)
  t.is(longestWithoutBulk, 9, 'one dispatch in ten is a bulk request')
  t.true(servedShare('urgent') > 0.99, String(servedShare('urgent')))
  t.true(servedShare('bulk') >= 0.1, String(servedShare('bulk')))
  t.true(servedShare('normal') < 0.5)
  for (const [name, list] of outcomes) {
    t.is(list.length, 1)
    t.true((list[0]?.at ?? Infinity) <= (deadlines.get(name) ?? 0))
    if (list[0]?.error !== undefined) t.true((list[0].error.retryAfterMilliseconds ?? 0) >= 1_000 && list[0].error.outcome === 'not-run')
  }
})

test('a request whose estimated wait exceeds its deadline is refused immediately with a retry delay', async (t) => {
  const { clock, submit, outcome, code } = createFixture({ settings: { initialServiceMilliseconds: 1_000 } })
  submit('running')
  submit('fits', { deadline: 3_000 })
  submit('too-late', { deadline: 2_500, priority: 'bulk' })
  submit('no-time-to-run', { deadline: 1_500, expectedMilliseconds: 600 })
  await clock.settle()
  t.deepEqual(['fits', 'too-late', 'no-time-to-run'].map(code), ['waiting', 'waiting', 'deadline-not-met'])
  submit('behind', { deadline: 2_400, priority: 'bulk' })
  await clock.settle()
  t.is(code('behind'), 'waiting')
  submit('behind-all', { deadline: 3_500, priority: 'bulk' })
  await clock.settle()
  t.is(code('behind-all'), 'deadline-not-met')
  t.true((outcome('behind-all')?.error?.retryAfterMilliseconds ?? 0) >= 4_000)
  t.is(outcome('behind-all')?.at, 0)
})

test('the estimated wait follows the observed service time, so that requests for a slow target are refused early', async (t) => {
  const { clock, controller, submit, outcome, code } = createFixture({ settings: { initialServiceMilliseconds: 100 } })
  for (let count = 0; count < 30; count++) {
    submit(`slow-${count}`)
    await clock.advance(2_000)
    outcome(`slow-${count}`)?.admission?.release()
  }
  t.true(controller.view().serviceMilliseconds > 1_800)
  submit('running')
  submit('next', { deadline: clock.now() + 1_500 })
  await clock.settle()
  t.is(code('next'), 'deadline-not-met')
})

test('a waiting request is refused before its deadline when no capacity becomes free', async (t) => {
  const { clock, submit, outcome, code } = createFixture()
  submit('running')
  submit('waits', { deadline: 5_000 })
  await clock.advance(6_000)
  t.is(code('waits'), 'deadline-exceeded')
  t.is(outcome('waits')?.at, 4_980)
})

test('a request whose deadline passed while the process was suspended is refused although capacity becomes free', async (t) => {
  const manual = createManualClock()
  let suspendedMilliseconds = 0
  const controller = createAdmissionController({ clock: { ...manual, now: () => manual.now() + suspendedMilliseconds }, random: () => 0.5, capacity: 1 })
  const request = { request: 'r', caller: 'c', weight: 1, priority: 'normal', deadline: 5_000 } as const
  const running = await controller.admit(request)
  const waiting = controller.admit(request)
  await manual.settle()
  suspendedMilliseconds = 6_000
  if (running.isOk) running.value.release()
  const result = await waiting
  t.is(result.isErr && result.error.code, 'deadline-exceeded')
})

test('when the capacity is reduced, only the requests that can no longer be dispatched in time are refused, immediately', async (t) => {
  const { clock, controller, submit, outcome, code } = createFixture({ capacity: 10, settings: { initialServiceMilliseconds: 1_000 } })
  for (let count = 0; count < 10; count++) submit(`running-${count}`)
  submit('soon', { deadline: 1_000 })
  submit('later', { deadline: 15_000 })
  await clock.advance(100)
  controller.setCapacity(1)
  await clock.settle()
  t.deepEqual(['soon', 'later'].map(code), ['deadline-not-met', 'waiting'])
  t.is(outcome('soon')?.at, 100)
})

test('a full queue evicts its least urgent request for a more urgent one and reserves slots for bulk', async (t) => {
  const { clock, submit, code } = createFixture({ settings: { maximumWaiting: 10, initialServiceMilliseconds: 1 } })
  submit('running')
  for (let count = 0; count < 9; count++) submit(`normal-${count}`, { deadline: 50_000 + count })
  submit('bulk-late', { priority: 'bulk', deadline: 59_000 })
  submit('bulk-early', { priority: 'bulk', deadline: 58_000 })
  submit('normal-last', { deadline: 59_000 })
  submit('urgent', { priority: 'urgent' })
  await clock.settle()
  t.deepEqual(['bulk-late', 'bulk-early', 'normal-last', 'normal-8', 'normal-7', 'urgent'].map(code),
    ['queue-full', 'waiting', 'queue-full', 'queue-full', 'waiting', 'waiting'])
})

test('callers share a class by weight even when one of them always has the earliest deadlines', async (t) => {
  const { clock, admissionOrder, submit, outcome } = createFixture({ settings: { initialServiceMilliseconds: 1 } })
  for (let count = 0; count < 100; count++) {
    submit(`a-${count}`, { caller: 'a', weight: 1, deadline: 30_000 })
    submit(`b-${count}`, { caller: 'b', weight: 3, deadline: 60_000 })
  }
  for (let step = 0; step < 80; step++) {
    await clock.advance(1)
    outcome(admissionOrder.at(-1) ?? '')?.admission?.release()
  }
  const served = admissionOrder.filter((name) => name.startsWith('b')).length
  t.true(served >= 50 && served <= 62, String(served))
})

test('the rate and concurrency of each caller are limited, and a rate refusal returns the exact retry delay', async (t) => {
  const { clock, controller: { limits } } = createFixture()
  const acquire = (caller = 'a') => limits.acquire(caller, { maximumConcurrent: 3, requestsPerSecond: 2 })
  const permits = [acquire(), acquire()]
  const refused = acquire()
  t.true(refused.isErr && refused.error.status === 429 && refused.error.retryAfterMilliseconds === 500)
  t.true(acquire('b').isOk)
  await clock.advance(500)
  t.true(acquire().isOk)
  await clock.advance(5_000)
  t.true(acquire().isErr, 'three requests of the caller are in flight')
  for (const permit of permits) {
    if (!permit.isOk) continue
    permit.value.release()
    permit.value.release()
  }
  t.is(limits.inFlight('a'), 1)
  t.true(acquire().isOk)
})

test('draining serves the waiting and running requests and refuses new ones', async (t) => {
  const { clock, controller, submit, outcome, code } = createFixture()
  submit('running')
  submit('waiting')
  let drained = false
  void controller.drain().then(() => { drained = true })
  submit('late')
  await clock.settle()
  t.deepEqual(['running', 'waiting', 'late'].map(code), ['admitted', 'waiting', 'leaving'])
  outcome('running')?.admission?.release()
  await clock.settle()
  t.is(code('waiting'), 'admitted')
  t.false(drained)
  outcome('waiting')?.admission?.release()
  await clock.settle()
  t.true(drained)
})

test('property: every request is settled exactly once, no later than its deadline, and the running requests never exceed the capacity', async (t) => {
  const step = fc.record({
    kind: fc.constantFrom('submit', 'submit', 'submit', 'submit', 'release', 'release', 'cancel', 'capacity', 'drain'),
    wait: fc.constantFrom(0, 0, 1, 50, 400),
    priority: fc.constantFrom(...PRIORITY_CLASSES),
    caller: fc.constantFrom('a', 'b', 'c'),
    time: fc.integer({ min: 0, max: 4_000 }),
    pick: fc.nat(50)
  })
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 80 }), async (steps) => {
    const { clock, controller, outcomes, submit, admissionOrder } = createFixture({ capacity: 3, settings: { maximumWaiting: 6, initialServiceMilliseconds: 200 } })
    const deadlines = new Map<string, number>()
    const signals = new Map<string, AbortController>()
    const admitted = () => [...outcomes].filter(([, list]) => list[0]?.admission !== undefined).map(([name]) => name)
    const released = new Set<string>()
    for (const [index, { kind, wait, priority, caller, time, pick }] of steps.entries()) {
      const name = `${index}`
      if (kind === 'submit') {
        const abort = new AbortController()
        signals.set(name, abort)
        deadlines.set(name, clock.now() + time)
        submit(name, { priority, caller, deadline: clock.now() + time }, abort.signal)
      } else if (kind === 'release') {
        const running = admitted().filter((other) => !released.has(other))
        const chosen = running[pick % Math.max(1, running.length)]
        if (chosen !== undefined) {
          released.add(chosen)
          outcomes.get(chosen)?.[0]?.admission?.release()
        }
      } else if (kind === 'cancel') {
        [...signals.values()][pick % Math.max(1, signals.size)]?.abort()
      } else if (kind === 'capacity') {
        controller.setCapacity(pick % 5)
      } else if (pick === 0) {
        void controller.drain()
      }
      const runningBefore = controller.view().running
      await clock.advance(wait)
      t.true(controller.view().running <= Math.max(runningBefore, controller.view().capacity))
      t.is(controller.view().running, admitted().length - released.size)
    }
    await clock.advance(5_000)
    for (const [name, list] of outcomes) {
      t.is(list.length, 1)
      t.true((list[0]?.at ?? Infinity) <= (deadlines.get(name) ?? 0))
    }
    t.is(new Set(admissionOrder).size, admissionOrder.length)
    t.deepEqual(controller.view().waiting, { urgent: 0, normal: 0, bulk: 0 })
    t.is(clock.pendingTimers(), 0)
  }), { seed: 9, numRuns: 150 })
})
