import { createManualClock } from '@fuchsiastage/clock'
import type { ServingCustomer } from '@fuchsiastage/fleet'
import test from 'ava'
import { busiestWindow, createRandom, startSimulatedAllowances, TOLERANCE, type SimulatedDaemon } from './simulated-allowances.test-helper.js'

const WINDOW_MILLISECONDS = 8_000
const MODEL_COST = 9_200
const PLAIN_COST = 200
const STEP_MILLISECONDS = 10
const FAULT_SECONDS = 24
const SIZES = [1, 2, 3, 7, 24, 68]
/** A limit is about 1.8 times the usual use, and a customer may send 7.5 times its usual amount for 6.5 s. */
const USUAL_SHARE = 1 / 1.8
const SURGE_FACTOR = 7.5
const SURGE_MILLISECONDS = 6_500
const ALWAYS_OVER = 'customer-2'

/** Tells which of the requests an undivided bucket admits that lets none wait; like a new one, it starts with half of the burst. */
function createReference (perSecond: number, burst: number): (cost: number, now: number) => boolean {
  let [level, refilledAt] = [burst / 2, 1_000]
  return (cost, now) => {
    level = Math.min(burst, level + perSecond * (now - refilledAt) / 1_000)
    refilledAt = now
    if (level < cost) return false
    level -= cost
    return true
  }
}

interface Counts { asked: number, granted: number, denied: number, unavailable: number, refusedCost: number, costRefusedByReference: number }

interface Result {
  readonly description: string
  /** Use above the rate and the burst in the busiest window, by customer, in seconds of the rate. */
  readonly excessSeconds: readonly number[]
  readonly isWithinBound: boolean
  /** Decisions on requests of the customer without surges. */
  readonly usual: Counts
}

async function run (seed: number, hasFaults: boolean): Promise<Result> {
  const clock = createManualClock()
  const random = createRandom(seed)
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)] as Item
  const size = pick(SIZES)
  const fleet = startSimulatedAllowances({ clock, size, random, lateShare: hasFaults ? 0.01 : 0 })
  // The first customer stays within its allowance, the second has one surge, and the third, in runs with faults, is always far over it.
  const customers = Array.from({ length: hasFaults ? 3 : 2 }, (_, index) => {
    const perSecond = Math.round(18_000 * (313_479 / 18_000) ** random())
    const customer: ServingCustomer = { name: `customer-${index}`, priority: undefined, allowance: { unit: 'tokens', perSecond, burst: Math.round(perSecond * pick([1, 1, 2])), plainTokens: PLAIN_COST } }
    return { customer, perSecond, hasSurges: index > 0, surgeAt: random() * 10_000, fits: createReference(perSecond, customer.allowance?.burst ?? 0) }
  })
  const usual: Counts = { asked: 0, granted: 0, denied: 0, unavailable: 0, refusedCost: 0, costRefusedByReference: 0 }
  const faults: Record<string, number> = {}
  const inject = (): void => {
    const daemon = pick(fleet.daemons)
    const kind = pick(['restart', 'stop', 'freeze', 'pause', 'cut', 'join'])
    faults[kind] = (faults[kind] ?? 0) + 1
    if (kind === 'restart' || kind === 'stop') void fleet.restart(daemon, 300 + random() * 4_000, kind === 'stop')
    else if (kind === 'freeze' || kind === 'pause') void fleet.freeze(daemon, 300 + random() * 9_000, kind === 'pause')
    else if (kind === 'join') fleet.join()
    else {
      const share = random()
      const salt = random()
      const sides = new Map<SimulatedDaemon, number>()
      fleet.partition((one) => {
        const side = sides.get(one) ?? ((salt * 7_919 * (sides.size + 1)) % 1 < share ? 1 : 0)
        sides.set(one, side)
        return side
      })
      void clock.sleep(500 + random() * 9_000).then(() => fleet.partition(undefined))
    }
  }
  await clock.advance(1_000)
  for (let elapsed = 0; elapsed < FAULT_SECONDS * 1_000; elapsed += STEP_MILLISECONDS) {
    if (hasFaults && random() < 0.005) inject()
    for (const { customer, perSecond, hasSurges, surgeAt, fits } of customers) {
      const isSurge = hasSurges && (customer.name === ALWAYS_OVER || (elapsed >= surgeAt && elapsed < surgeAt + SURGE_MILLISECONDS))
      const tokens = perSecond * USUAL_SHARE * (isSurge ? SURGE_FACTOR : hasSurges ? 1 : 0.8) * STEP_MILLISECONDS / 1_000
      for (const [cost, share, wait] of [[MODEL_COST, 0.9, 500], [PLAIN_COST, 0.1, 75]] as const) {
        for (let due = tokens * share / cost; due > 0; due--) {
          if (random() >= due) continue
          const isWithin = fits(cost, clock.now())
          void fleet.request(pick(fleet.daemons), customer, cost, wait).then((decision) => {
            if (decision === undefined || hasSurges) return
            usual.asked++
            if (!isWithin) usual.costRefusedByReference += cost
            if (decision.kind !== 'granted') usual.refusedCost += cost
            usual[decision.kind]++
          })
        }
      }
    }
    await clock.advance(STEP_MILLISECONDS)
  }
  await clock.advance(3_000)
  fleet.stop()
  await clock.advance(10_000)
  const uses = customers.map(({ customer, perSecond }) => {
    const burst = customer.allowance?.burst ?? 0
    const used = busiestWindow(fleet.executions, customer.name)
    const allowed = perSecond * WINDOW_MILLISECONDS / 1_000 + burst
    return { excess: (used - allowed) / perSecond, isWithin: used <= allowed * (1 + TOLERANCE.share) + TOLERANCE.units, perSecond, burst, used }
  })
  return {
    description: `${size} daemons, ${JSON.stringify(faults)}, ${uses.map(({ perSecond, burst, used, excess }) => `${perSecond}/${burst}: ${used} (${excess.toFixed(2)} s)`).join(', ')}`,
    excessSeconds: uses.map(({ excess }) => excess),
    isWithinBound: uses.every(({ isWithin }) => isWithin),
    usual
  }
}

const seeds = (process.env['ALLOWANCE_SEEDS'] ?? '1-4,154,160,166,194').split(',').flatMap((range) => {
  const [first = 0, last = first] = range.split('-').map(Number)
  return Array.from({ length: last - first + 1 }, (_, index) => first + index)
})

for (const seed of seeds) {
  test(`targets do not execute more than the allowance while daemons fail, seed ${seed}`, async (t) => {
    const { description, isWithinBound, usual, excessSeconds } = await run(seed, true)
    t.log(`excess ${Math.max(...excessSeconds).toFixed(2)}; usual ${JSON.stringify(usual)}; ${description}`)
    t.true(isWithinBound, description)
  })

  test(`a customer within its allowance is admitted, from the start of the fleet on, seed ${seed}`, async (t) => {
    const { description, isWithinBound, usual } = await run(seed, false)
    t.true(isWithinBound, description)
    t.log(JSON.stringify(usual))
    t.true(usual.refusedCost <= usual.costRefusedByReference, `${JSON.stringify(usual)} ${description}`)
  })
}
