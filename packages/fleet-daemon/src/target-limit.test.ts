import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import type { ForwardOutcome } from '@fuchsiastage/forwarding'
import { createSeededRandom } from '@fuchsiastage/membership'
import test from 'ava'
import { startLimitedFleet, type LimitedFleet, type SimulatedTarget } from './simulated-limits.js'

/** Time in which a fleet is to keep to a limit after the target has first stated it. */
const SETTLE_MILLISECONDS = 3_000
const STEP_MILLISECONDS = 20
/** Control budget of a daemon, and processor time of one call at its receiver (docs/CAPACITY.md). */
const CONTROL_MILLISECONDS_PER_SECOND = 39
const CALL_PROCESSOR_MILLISECONDS = 1.2

/** What a target accepts within four seconds: one and a half times its limit, and five more. */
function allowedWithinFourSeconds (perSecond: number): number {
  return 1.5 * perSecond * 4 + 5
}

interface Run {
  readonly clock: ManualClock
  readonly fleet: LimitedFleet
  readonly limited: SimulatedTarget
  /** Sends requests to random daemons at the given rate and returns how they ended. */
  readonly load: (seconds: number, requestsPerSecond: number) => Promise<readonly ForwardOutcome[]>
}

async function startRun (size: number, perSecond: number | undefined, otherTargets: number, seed = 1): Promise<Run> {
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const limited: SimulatedTarget = { id: 'limited', perSecond }
  const others = Array.from({ length: otherTargets }, (_, index): SimulatedTarget => ({ id: `t${index}`, perSecond: undefined }))
  const fleet = startLimitedFleet({ clock, size, targets: [limited, ...others], random })
  await clock.advance(2_000)
  const load: Run['load'] = async (seconds, requestsPerSecond) => {
    const outcomes: Array<Promise<ForwardOutcome>> = []
    for (let step = 0; step < seconds * 1000 / STEP_MILLISECONDS; step++) {
      for (let due = requestsPerSecond * STEP_MILLISECONDS / 1000; due > 0; due--) {
        if (random() < due) outcomes.push(fleet.request(Math.floor(random() * size), random() < 0.5 ? 0 : 3))
      }
      await clock.advance(STEP_MILLISECONDS)
    }
    await clock.advance(10_000)
    return await Promise.all(outcomes)
  }
  return { clock, fleet, limited, load }
}

for (const size of [7, 79]) {
  test(`a target gets no more requests than its limit from ${size} daemons together`, async (t) => {
    const { clock, fleet, load } = await startRun(size, 1, 3)
    const from = clock.now() + SETTLE_MILLISECONDS
    await load(12, 80)
    fleet.stop()
    const busiest = fleet.busiestWindow('limited', from)
    t.true(busiest <= allowedWithinFourSeconds(1), `${busiest} requests in 4 s`)
  })
}

test('daemons that have relayed no limit themselves keep to it as well', async (t) => {
  const { clock, fleet, load } = await startRun(79, 1, 3)
  const from = clock.now() + SETTLE_MILLISECONDS
  await load(12, 80)
  fleet.stop()
  const times = fleet.arrivals.filter(({ target, at }) => target === 'limited' && at >= from).map(({ at }) => at)
  const busiest = Math.max(0, ...times.map((start) => times.filter((at) => at >= start && at < start + 4_000).length))
  t.true(busiest <= allowedWithinFourSeconds(1), `${busiest} requests in 4 s`)
})

for (const perSecond of [0.2, 1, 2.5, 20]) {
  test(`the only target of a service serves the ${perSecond} requests a second that it accepts, and the others are refused at once or after their turn`, async (t) => {
    const { fleet, load } = await startRun(7, perSecond, 0)
    await load(4, 4 * perSecond)
    const seconds = 20
    const startedAt = fleet.arrivals.length
    const outcomes = await load(seconds, 4 * perSecond + 4)
    fleet.stop()
    const served = outcomes.filter(({ kind }) => kind === 'delivered').length
    t.is(served, fleet.arrivals.length - startedAt)
    // Requests wait for up to their objective of 2 s after the load has ended, and two may come without a gap.
    t.true(served >= 0.9 * perSecond * seconds && served <= perSecond * (seconds + 2) + 2, `${served} served`)
    const refusals = outcomes.filter((outcome) => outcome.kind === 'refused')
    t.is(refusals.length + served, outcomes.length)
    t.true(refusals.every(({ reason, retryAfterMilliseconds }) => reason === 'target-limit-reached' && retryAfterMilliseconds > 0))
  })
}

test('urgent requests get more of the turns at a limited target than others', async (t) => {
  const { clock, fleet } = await startRun(7, 2, 0)
  const random = createSeededRandom(3)
  const outcomes: Record<0 | 3, Array<Promise<ForwardOutcome>>> = { 0: [], 3: [] }
  for (let step = 0; step < 400; step++) {
    const priority = step % 2 === 0 ? 0 : 3
    outcomes[priority].push(fleet.request(Math.floor(random() * 7), priority))
    await clock.advance(100)
  }
  await clock.advance(10_000)
  fleet.stop()
  const served = async (priority: 0 | 3): Promise<number> => (await Promise.all(outcomes[priority])).filter(({ kind }) => kind === 'delivered').length
  t.true(await served(0) > 2 * await served(3), `${await served(0)} urgent, ${await served(3)} others`)
})

test('a target that ends its limit gets its share of the requests again', async (t) => {
  const { fleet, limited, load } = await startRun(7, 1, 1)
  await load(8, 40)
  limited.perSecond = undefined
  await load(3, 40)
  const before = fleet.arrivals.length
  await load(5, 40)
  fleet.stop()
  const recent = fleet.arrivals.slice(before)
  t.true(recent.filter(({ target }) => target === 'limited').length > recent.length / 4)
})

test('the calls to the issuer of permits fit into the control budget of a daemon', async (t) => {
  const { fleet, load } = await startRun(79, 1, 0)
  const before = fleet.exchange.nodes.map(({ permitCalls }) => permitCalls)
  const seconds = 10
  await load(seconds, 400)
  fleet.stop()
  const busiest = Math.max(...fleet.exchange.nodes.map(({ permitCalls }, index) => permitCalls - (before[index] ?? 0))) / seconds
  t.true(busiest * CALL_PROCESSOR_MILLISECONDS <= CONTROL_MILLISECONDS_PER_SECOND, `${busiest} calls a second`)
})

test('no permit is granted while its issuer does not respond', async (t) => {
  const { clock, fleet, load } = await startRun(2, 1, 1)
  await load(5, 20)
  fleet.exchange.cut('entry-000', 'entry-001')
  const before = fleet.arrivals.length
  const outcomes = [0, 1].map(async (daemon) => await fleet.request(daemon))
  await clock.advance(1_000)
  fleet.stop()
  t.deepEqual((await Promise.all(outcomes)).map(({ kind }) => kind), ['delivered', 'delivered'])
  t.true(fleet.arrivals.slice(before).filter(({ target }) => target === 'limited').length <= 1)
})
