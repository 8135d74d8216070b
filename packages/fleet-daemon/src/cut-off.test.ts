import { createManualClock } from '@fuchsiastage/clock'
import { createSeededRandom } from '@fuchsiastage/membership'
import test from 'ava'
import { startCutOffFleet, type LinkFault } from './simulated-cut-off.js'

const STEP_MILLISECONDS = 20
/** Time after the cut from which callers of the daemons that are cut off are to be served like the others. */
const SETTLE_MILLISECONDS = 3_000
const CUT_SECONDS = 12
const REQUESTS_PER_DAEMON = 4

interface Result {
  readonly tried: number
  readonly served: number
  readonly triedElsewhere: number
  readonly servedElsewhere: number
}

/** Cuts a share of the daemons off and counts how callers of both sides are served after the settling time. */
async function play (daemons: number, cutOffShare: number, fault: LinkFault, seed: number): Promise<Result> {
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const fleet = startCutOffFleet({ clock, daemons, targets: 8, random })
  await clock.advance(2_000)
  const cutOff = new Set(fleet.exchange.nodes.slice(0, Math.round(cutOffShare * daemons)).map(({ name }) => name))
  fleet.setFault([...cutOff], fault)
  const startedAt = clock.now()
  const sent: Array<{ readonly isCutOff: boolean, readonly isSettled: boolean, readonly outcome: ReturnType<typeof fleet.request>['outcome'] }> = []
  while (clock.now() < startedAt + CUT_SECONDS * 1_000) {
    const isSettled = clock.now() >= startedAt + SETTLE_MILLISECONDS
    for (let due = daemons * REQUESTS_PER_DAEMON * STEP_MILLISECONDS / 1_000; due > 0; due--) {
      if (random() >= due) continue
      const daemon = Math.floor(random() * daemons)
      const kind = (['safe', 'unsafe', 'stream'] as const)[Math.floor(random() * 3)] ?? 'safe'
      sent.push({ isCutOff: cutOff.has(fleet.exchange.nodes[daemon]?.name ?? ''), isSettled, outcome: fleet.request(daemon, kind).outcome })
    }
    await clock.advance(STEP_MILLISECONDS)
  }
  fleet.setFault([...cutOff], undefined)
  await clock.advance(5_000)
  fleet.stop()
  await clock.advance(1_000)
  const outcomes = await Promise.all(sent.filter(({ isSettled }) => isSettled).map(async ({ isCutOff, outcome }) => ({ isCutOff, isServed: (await outcome).kind === 'delivered' })))
  const count = (isCutOff: boolean, isServed: boolean): number => outcomes.filter((outcome) => outcome.isCutOff === isCutOff && (!isServed || outcome.isServed)).length
  return {
    tried: count(true, false),
    served: count(true, true),
    triedElsewhere: count(false, false),
    servedElsewhere: count(false, true)
  }
}

for (const daemons of [7, 79]) {
  for (const fault of ['silent', 'refusing'] as const) {
    test(`callers of daemons that are cut off from all targets are served, ${daemons} daemons, ${fault} links`, async (t) => {
      const { tried, served, triedElsewhere, servedElsewhere } = await play(daemons, 0.6, fault, 1)
      t.true(triedElsewhere > 0 && tried > 0)
      const isServedAlike = served / tried >= 2 / 3 * servedElsewhere / triedElsewhere
      const failures = tried - served
      t.true(isServedAlike || failures <= 10 + (tried + triedElsewhere) / 50, `${served} of ${tried} served there, ${servedElsewhere} of ${triedElsewhere} elsewhere`)
    })
  }
}
