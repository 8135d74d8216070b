import { createManualClock } from '@fuchsiastage/clock'
import { startLimitedFleet } from '@fuchsiastage/fleet-daemon'
import { createSeededRandom } from '@fuchsiastage/membership'
import { roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart } from './measure.js'

/** Requests per second that the target accepts. */
const LIMIT_PER_SECOND = 2
/** Requests per second at each daemon; all of them need the limited target. */
const REQUESTS_PER_DAEMON = 2
const STEP_MILLISECONDS = 20
const START_MILLISECONDS = 3_000
/** Time in which each daemon learns of the limit and asks for a permit once. */
const LEARNING_SECONDS = 6

async function measureLimits (daemons: number, { seed, scale }: CapacityOptions): Promise<readonly number[]> {
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const fleet = startLimitedFleet({ clock, size: daemons, targets: [{ id: 'limited', perSecond: LIMIT_PER_SECOND }], random })
  await clock.advance(START_MILLISECONDS)
  const load = async (seconds: number): Promise<void> => {
    for (let step = 0; step < seconds * 1_000 / STEP_MILLISECONDS; step++) {
      for (let due = daemons * REQUESTS_PER_DAEMON * STEP_MILLISECONDS / 1_000; due > 0; due--) {
        if (random() < due) void fleet.request(Math.floor(random() * daemons), random() < 0.5 ? 0 : 3)
      }
      await clock.advance(STEP_MILLISECONDS)
    }
  }
  await load(LEARNING_SECONDS)
  const callsBefore = fleet.exchange.nodes.map(({ permitCalls }) => permitCalls)
  const arrivalsBefore = fleet.arrivals.length
  const from = clock.now()
  const seconds = Math.max(4, Math.round(20 * scale))
  await load(seconds)
  const calls = Math.max(...fleet.exchange.nodes.map(({ permitCalls }, index) => permitCalls - (callsBefore[index] ?? 0)))
  const arrivals = fleet.arrivals.length - arrivalsBefore
  const busiest = fleet.busiestWindow('limited', from)
  fleet.stop()
  await clock.advance(START_MILLISECONDS)
  return [daemons, daemons * REQUESTS_PER_DAEMON, calls / seconds, arrivals / seconds, busiest]
}

/** Calls to the issuer of permits for a target that limits its requests, and what the target gets. */
export const fleetLimitsPart: CapacityPart = {
  name: 'fleet-limits',
  description: 'permits for the only target of a service, which accepts 2 requests a second, on the users\' platform',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const daemons of scaleSizes([18, 79, 185, 370], options.scale)) rows.push(await measureLimits(daemons, options))
    return [{
      title: 'fleet-limits: calls to the issuer and requests at the target (simulated time)',
      columns: ['daemons', 'requests/s offered', 'issuer calls/s', 'requests/s at the target', 'most in 4 s'],
      rows: rows.map((row) => row.map(roundSignificant))
    }]
  }
}
