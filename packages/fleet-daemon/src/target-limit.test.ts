import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import type { ForwardOutcome } from '@fuchsiastage/forwarding'
import { createSeededRandom } from '@fuchsiastage/membership'
import test from 'ava'
import { startLimitedFleet, type LimitedFleet, type SimulatedTarget } from './simulated-limits.js'

/** Time in which a fleet is to keep to a limit after the target has first stated it. */
const SETTLE_MILLISECONDS = 3_000
const STEP_MILLISECONDS = 20

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
  test.failing(`a target gets no more requests than its limit from ${size} daemons together`, async (t) => {
    const { clock, fleet, load } = await startRun(size, 1, 3)
    const from = clock.now() + SETTLE_MILLISECONDS
    await load(12, 80)
    fleet.stop()
    const busiest = fleet.busiestWindow('limited', from)
    t.true(busiest <= allowedWithinFourSeconds(1), `${busiest} requests in 4 s`)
  })
}
