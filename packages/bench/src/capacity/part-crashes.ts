import { createManualClock } from '@fuchsiastage/clock'
import { startCrashingFleet, type CrashingFleetRequest, type DeadlyCause } from '@fuchsiastage/fleet-daemon'
import { createSeededRandom } from '@fuchsiastage/membership'
import { roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart } from './measure.js'

const DEADLY_PART = 'deadly'
const DEADLY_BODY = 'deadly'
/** Sound requests per second at each daemon, and deadly ones at all of them together. */
const REQUESTS_PER_DAEMON = 1
const DEADLY_PER_SECOND = 4
/** Engines for each daemon; the design size has 16, of which a deadly prompt reaches as few. */
const ENGINES_PER_DAEMON = 0.5
const STEP_MILLISECONDS = 20
/** Gossip about members that have just been discovered ends within this time. */
const START_MILLISECONDS = 13_000
const CALM_SECONDS = 5

const CAUSES: Readonly<Record<DeadlyCause['kind'], { readonly cause: DeadlyCause, readonly request: CrashingFleetRequest, readonly found: 'prompt' | 'request' }>> = {
  'prompt-part': { cause: { kind: 'prompt-part', part: DEADLY_PART }, request: { sharedParts: ['system', 'caller', DEADLY_PART] }, found: 'prompt' },
  request: { cause: { kind: 'request', body: DEADLY_BODY }, request: { sharedParts: ['system', 'caller'], body: DEADLY_BODY }, found: 'request' }
}

async function measureCrashes (daemons: number, kind: DeadlyCause['kind'], { seed, scale }: CapacityOptions): Promise<readonly number[]> {
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const { cause, request, found } = CAUSES[kind]
  const fleet = startCrashingFleet({ clock, daemons, targets: Math.max(4, Math.round(daemons * ENGINES_PER_DAEMON)), random, cause })
  const { nodes } = fleet.exchange
  await clock.advance(START_MILLISECONDS)
  let foundEverywhereAt: number | undefined
  const load = async (seconds: number, deadlyPerSecond: number): Promise<readonly number[]> => {
    const before = nodes.map(({ bytes }) => bytes)
    for (let step = 0; step < seconds * 1_000 / STEP_MILLISECONDS; step++) {
      const send = (perSecond: number, create: () => CrashingFleetRequest): void => {
        for (let due = perSecond * STEP_MILLISECONDS / 1_000; due > 0; due--) if (random() < due) void fleet.request(Math.floor(random() * daemons), create())
      }
      send(daemons * REQUESTS_PER_DAEMON, () => ({ sharedParts: ['system', `caller-${Math.floor(random() * 100)}`] }))
      send(deadlyPerSecond, () => request)
      await clock.advance(STEP_MILLISECONDS)
      if (foundEverywhereAt === undefined && nodes.every(({ quarantine }) => quarantine.count(found) > 0)) foundEverywhereAt = clock.now()
    }
    return nodes.map(({ bytes }, index) => (bytes - (before[index] ?? 0)) / seconds)
  }
  const calm = await load(CALM_SECONDS, 0)
  const troubled = await load(Math.max(4, Math.round(10 * scale)), DEADLY_PER_SECOND)
  const quarantined = await load(CALM_SECONDS, DEADLY_PER_SECOND)
  const thirdCrashAt = fleet.deadlyCrashes[2] ?? clock.now()
  fleet.stop()
  await clock.advance(START_MILLISECONDS)
  const foundAfter = foundEverywhereAt === undefined ? Infinity : foundEverywhereAt - thirdCrashAt
  return [daemons, fleet.deadlyCrashes.length, foundAfter, ...[calm, troubled, quarantined].map((bytes) => Math.max(...bytes) / 1_000)]
}

/** How fast all daemons find a prompt part or a request that crashes engines, and what the exchange about it costs. */
export const fleetCrashesPart: CapacityPart = {
  name: 'fleet-crashes',
  description: 'quarantine of a prompt part, and of a request that comes again, that crash engines, on the users\' platform',
  run: async (options) => {
    const measure = async (kind: DeadlyCause['kind']): Promise<readonly (readonly number[])[]> => {
      const rows: (readonly number[])[] = []
      for (const daemons of scaleSizes([18, 79, 185, 370], options.scale)) rows.push(await measureCrashes(daemons, kind, options))
      return rows.map((row) => row.map(roundSignificant))
    }
    const columns = ['daemons', 'crashes', 'found after ms', 'calm KB/s', 'crashes KB/s', 'afterwards KB/s']
    return [{
      title: 'fleet-crashes: crashes at prompts, milliseconds from the third crash until all daemons reject the part, KB a second at the busiest daemon before the crashes, during them and afterwards (simulated time)',
      columns,
      rows: await measure('prompt-part')
    }, {
      title: 'fleet-crashes: the same for one request that comes again',
      columns,
      rows: await measure('request')
    }]
  }
}
