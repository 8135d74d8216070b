import { createManualClock } from '@fuchsiastage/clock'
import type { ServingRoute, ServingService, TargetEntry } from '@fuchsiastage/fleet'
import type { ForwardOutcome } from '@fuchsiastage/forwarding'
import { createSeededRandom } from '@fuchsiastage/membership'
import test from 'ava'
import { emptyBody, startSimulatedFleet, STATUS_TURNED_AWAY, targetHeaders } from './simulated-fleet.js'

const SERVICE: ServingService = { name: 'ledger', healthPath: '/health', maximumConnections: 1_000, engine: undefined }
const OBJECTIVE_MILLISECONDS = 200
const ROUTE: ServingRoute = { name: 'plain', host: 'h', prefix: '/', requestKind: { kind: 'safe' }, timeoutMilliseconds: undefined, objectiveMilliseconds: OBJECTIVE_MILLISECONDS, priority: 0, maximumTargets: 2, services: [{ service: SERVICE.name, weight: 1 }] }
const SLOTS = 6
/** Requests that wait at a target; it turns others away. */
const WAITING_PLACES = 6
const WORK_MILLISECONDS = 60
const COLD_MILLISECONDS = 3_000
const COLD_FACTOR = 3
const PLAYED_MILLISECONDS = 5_000
const STEP_MILLISECONDS = 10

interface Load {
  readonly daemons: number
  /** Targets that have been running for long. */
  readonly warmTargets: number
  readonly requestsPerSecond: number
  readonly isSlowAtFirst: boolean
  /** Whether the new target states its start, without which it has no pace. */
  readonly statesStart: boolean
}

interface Result {
  /** Share of the requests that got their response within the objective. */
  readonly inTime: number
  readonly rejected: number
  /** Requests that the new target turned away. */
  readonly turnedAway: number
  /** Requests that the new target served. */
  readonly served: number
  /** Part of the new target's slots that was in use. */
  readonly utilisation: number
  /** Largest number of requests at the new target in its first 300 ms. */
  readonly firstPeak: number
}

function entryOf (id: string, startedAt: number): TargetEntry {
  const placement = { orderCount: 0, models: [], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  return { id, startedAt, service: SERVICE.name, address: id, dataCentre: 'a', slots: SLOTS, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement }
}

/** Adds a target to a fleet under load, and returns what callers get from then on. */
async function play ({ daemons, warmTargets, requestsPerSecond, isSlowAtFirst, statesStart }: Load): Promise<Result> {
  const clock = createManualClock()
  const random = createSeededRandom(7)
  const warm = Array.from({ length: warmTargets }, (_, index) => entryOf(`warm-${index}`, 0))
  const slots = new Map<string, { running: number, readonly waiting: Array<() => void> }>()
  let newStartedAt = Infinity
  let turnedAway = 0
  let served = 0
  let firstPeak = 0
  let workMilliseconds = 0

  const fleet = startSimulatedFleet({
    clock,
    size: daemons,
    random,
    service: SERVICE,
    routes: [ROUTE],
    entries: () => warm,
    answer: async ({ address, requestId, onConnected }) => {
      onConnected()
      const isNew = address === 'new'
      const target = slots.get(address) ?? { running: 0, waiting: [] }
      slots.set(address, target)
      if (target.running >= SLOTS && target.waiting.length >= WAITING_PLACES) {
        if (isNew) turnedAway++
        return { kind: 'answer', status: STATUS_TURNED_AWAY, rawHeaders: targetHeaders({ requestId }), body: emptyBody(), close: () => undefined }
      }
      if (target.running < SLOTS) target.running++
      else await new Promise<void>((resolve) => target.waiting.push(resolve))
      if (isNew && clock.now() - newStartedAt < 300) firstPeak = Math.max(firstPeak, target.running + target.waiting.length)
      const isCold = isNew && isSlowAtFirst && clock.now() - newStartedAt < COLD_MILLISECONDS
      const milliseconds = WORK_MILLISECONDS * (0.75 + 0.5 * random()) * (isCold ? COLD_FACTOR : 1)
      await clock.sleep(milliseconds)
      if (isNew) {
        served++
        workMilliseconds += milliseconds
      }
      const next = target.waiting.shift()
      if (next === undefined) target.running--
      else next()
      return { kind: 'answer', status: 200, rawHeaders: targetHeaders({ requestId }), body: emptyBody(), close: () => undefined }
    }
  })

  const load = async (milliseconds: number): Promise<ReadonlyArray<{ readonly outcome: ForwardOutcome, readonly milliseconds: number }>> => {
    const requests: Array<Promise<{ readonly outcome: ForwardOutcome, readonly milliseconds: number }>> = []
    for (let at = 0; at < milliseconds; at += STEP_MILLISECONDS) {
      for (let due = requestsPerSecond * STEP_MILLISECONDS / 1_000; due > 0; due--) {
        if (random() >= due) continue
        const sentAt = clock.now()
        requests.push(fleet.request(Math.floor(random() * daemons), { path: '/x', deadlineMilliseconds: 2_000 }).then((outcome) => ({ outcome, milliseconds: clock.now() - sentAt })))
      }
      await clock.advance(STEP_MILLISECONDS)
    }
    await clock.advance(2_000)
    return await Promise.all(requests)
  }

  await clock.advance(1_000)
  await load(1_500)
  newStartedAt = clock.now()
  for (const { directory } of fleet.exchange.nodes) directory.applyEntry('new', entryOf('new', statesStart ? clock.wallNow() : 0))
  const results = await load(PLAYED_MILLISECONDS)
  fleet.stop()
  const inTime = results.filter(({ outcome, milliseconds }) => outcome.kind === 'delivered' && milliseconds <= OBJECTIVE_MILLISECONDS).length / results.length
  return { inTime, rejected: results.filter(({ outcome }) => outcome.kind !== 'delivered').length, turnedAway, served, utilisation: workMilliseconds / SLOTS / PLAYED_MILLISECONDS, firstPeak }
}

const CASES = [7, 63].flatMap((daemons) => [true, false].map((isSlowAtFirst) => ({ daemons, warmTargets: 4, requestsPerSecond: 280, isSlowAtFirst })))
for (const load of CASES) {
  // The failure: all daemons send their requests to a new target at once, or leave it idle after it has become as fast as the others.
  test.serial(`a new target that is ${load.isSlowAtFirst ? 'slow at first' : 'fast at once'} is neither flooded nor left idle by ${load.daemons} daemons`, async (t) => {
    const before = await play({ ...load, statesStart: false })
    const paced = await play({ ...load, statesStart: true })
    t.log(`without a pace ${JSON.stringify(before)}`)
    t.log(`with its pace ${JSON.stringify(paced)}`)
    t.true(paced.inTime >= before.inTime)
    t.is(paced.rejected, 0)
    t.true(paced.turnedAway <= 3)
    t.true(paced.firstPeak <= SLOTS)
    t.true(paced.utilisation >= (load.isSlowAtFirst ? 0.5 : 0.75) * before.utilisation)
  })
}
