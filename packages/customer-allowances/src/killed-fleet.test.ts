import { createManualClock } from '@fuchsiastage/clock'
import type { ServingCustomer } from '@fuchsiastage/fleet'
import test from 'ava'
import { busiestWindow, createRandom, startSimulatedAllowances, TOLERANCE, type MemberKnowledge } from './simulated-allowances.test-helper.js'

const PER_SECOND = 100_000
const BURST = 100_000
const MODEL_COST = 9_200
const PLAIN_COST = 200
/** What the customer sends, as a multiple of its rate. */
const DEMAND_FACTOR = 4.2
const STEP_MILLISECONDS = 10
const CALM_MILLISECONDS = 9_000
const DOWN_MILLISECONDS = 600
const ALONE_MILLISECONDS = 6_000
const CUSTOMER: ServingCustomer = { name: 'customer-0', priority: undefined, allowance: { unit: 'tokens', perSecond: PER_SECOND, burst: BURST, plainTokens: PLAIN_COST } }

interface Outcome {
  readonly mostUsed: number
  /** Requests granted while the daemons were alone, and after they had found each other. */
  readonly grantedAlone: number
  readonly grantedTogether: number
}

/** Kills all daemons of a fleet; each of them is alone for some seconds after its restart, and then meets the others. */
async function killFleet (size: number, knowledge: MemberKnowledge): Promise<Outcome> {
  const clock = createManualClock()
  const random = createRandom(size)
  const fleet = startSimulatedAllowances({ clock, size, random })
  let granted = 0
  const send = async (milliseconds: number): Promise<number> => {
    const before = granted
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      for (const [cost, share, wait] of [[MODEL_COST, 0.9, 500], [PLAIN_COST, 0.1, 75]] as const) {
        for (let due = DEMAND_FACTOR * PER_SECOND * share / cost * STEP_MILLISECONDS / 1_000; due > 0; due--) {
          const daemon = fleet.daemons[Math.floor(random() * size)]
          if (daemon === undefined || random() >= due) continue
          void fleet.request(daemon, CUSTOMER, cost, wait).then((decision) => { if (decision?.kind === 'granted') granted++ })
        }
      }
      await clock.advance(STEP_MILLISECONDS)
    }
    return granted - before
  }
  await clock.advance(1_000)
  await send(CALM_MILLISECONDS)
  fleet.partition((daemon) => fleet.daemons.indexOf(daemon))
  void fleet.killAll(DOWN_MILLISECONDS, knowledge)
  await send(DOWN_MILLISECONDS)
  const grantedAlone = await send(ALONE_MILLISECONDS)
  for (const daemon of fleet.daemons) daemon.knowledge = 'read'
  fleet.partition(undefined)
  const grantedTogether = await send(ALONE_MILLISECONDS)
  fleet.stop()
  await clock.advance(10_000)
  return { mostUsed: busiestWindow(fleet.executions, CUSTOMER.name), grantedAlone, grantedTogether }
}

const ALLOWED = (PER_SECOND * TOLERANCE.windowMilliseconds / 1_000 + BURST) * (1 + TOLERANCE.share) + TOLERANCE.units

for (const size of [1, 2, 7, 24, 68]) {
  for (const knowledge of ['read', 'stated', 'unknown'] as const) {
    // Each daemon counted itself as the whole fleet, and started with half of the burst.
    test(`${size} daemons that are alone after a kill of all, with the members ${knowledge}, grant no more than the allowance together`, async (t) => {
      const { mostUsed, grantedAlone, grantedTogether } = await killFleet(size, knowledge)
      t.log(`${mostUsed} of ${ALLOWED} tokens, ${grantedAlone} requests granted alone, ${grantedTogether} together`)
      t.true(mostUsed <= ALLOWED, `${mostUsed} of ${ALLOWED}`)
      t.true(grantedTogether > 0)
      // Nothing tells a daemon that knows neither members nor their number which part is its own.
      t.is(grantedAlone > 0, knowledge !== 'unknown')
    })
  }
}
