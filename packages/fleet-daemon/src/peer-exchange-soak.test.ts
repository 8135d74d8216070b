import { createManualClock } from '@fuchsiastage/clock'
import type { TargetEntry, TargetUpdate } from '@fuchsiastage/fleet'
import { createSeededRandom } from '@fuchsiastage/membership'
import test from 'ava'
import { advanceUntil, startSimulatedExchange, type ExchangeNode } from './simulated-exchange.js'

/** First seed and number of seeds: `EXCHANGE_SOAK_SEED=100 EXCHANGE_SOAK_SEEDS=50` runs seeds 100 to 149. */
const FIRST_SEED = Number(process.env['EXCHANGE_SOAK_SEED'] ?? 1)
const SEED_COUNT = Number(process.env['EXCHANGE_SOAK_SEEDS'] ?? 6)
const SIZES = [5, 9, 10, 18, 40, 79]
const STEPS = 25
const MAXIMUM_STEP_MILLISECONDS = 700
/** After the last fault, daemons that were silent must be found again, and the holder must be known. */
const RECOVERY_MILLISECONDS = 6_000
const STEADY_MILLISECONDS = 3_000
const TARGETS = ['e1', 'e2', 'e3']

function createEntry (id: string): TargetEntry {
  const placement = { orderCount: 0, models: [], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  return { id, startedAt: 0, service: 'drafter', address: id, dataCentre: 'a', slots: 8, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement }
}

function createUpdates (version: number): readonly TargetUpdate[] {
  return TARGETS.map((id) => ({
    key: `${id}@0`,
    placement: { orderCount: version, models: [{ name: `model-${version}`, adapters: [] }], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] },
    load: { running: version % 4, waiting: 0, cacheTokensUsed: version, cacheTokens: 1_000 },
    ageMilliseconds: 0
  }))
}

/** Injects overlapping stops, restarts, cuts and changes of the lease, ends all of them, and returns what does not hold afterwards. */
async function runSeed (seed: number): Promise<readonly string[]> {
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const size = SIZES[seed % SIZES.length] ?? 5
  const fleet = startSimulatedExchange(clock, size, random)
  const pick = (): ExchangeNode => {
    const node = fleet.nodes[Math.floor(random() * size)]
    if (node === undefined) throw new Error('the simulated fleet is empty')
    return node
  }
  let term = 1
  let version = 1
  const isHolder = ({ leaseTerm }: ExchangeNode): boolean => leaseTerm !== undefined
  const giveLease = (node: ExchangeNode): void => {
    for (const other of fleet.nodes) other.leaseTerm = undefined
    node.leaseTerm = term++
    node.updates = () => createUpdates(version)
  }
  const restart = (name: string): void => {
    fleet.restart(name)
    for (const { directory } of fleet.nodes.filter((node) => node.name === name)) for (const id of TARGETS) directory.applyEntry(id, createEntry(id))
  }
  for (const { directory } of fleet.nodes) for (const id of TARGETS) directory.applyEntry(id, createEntry(id))
  giveLease(pick())

  const cutLinks: Array<readonly [string, string]> = []
  const faults: ReadonlyArray<() => void> = [
    () => { pick().isRunning = false },
    () => { for (const node of fleet.nodes) if (random() < 0.3) node.isRunning = false },
    () => { for (const node of fleet.nodes) node.isRunning = true },
    () => restart(pick().name),
    () => { for (const { name } of [...fleet.nodes]) if (random() < 0.2) restart(name) },
    () => giveLease(pick()),
    () => { for (const node of fleet.nodes) node.leaseTerm = undefined },
    () => { version++ },
    () => {
      const isolated = pick()
      for (const { name } of fleet.nodes) {
        if (name === isolated.name || random() < 0.2) continue
        fleet.cut(isolated.name, name)
        cutLinks.push([isolated.name, name])
      }
    },
    () => { for (const [one, other] of cutLinks.splice(0)) fleet.heal(one, other) }
  ]
  for (let step = 0; step < STEPS; step++) {
    faults[Math.floor(random() * faults.length)]?.()
    await clock.advance(random() * MAXIMUM_STEP_MILLISECONDS)
  }

  for (const [one, other] of cutLinks) fleet.heal(one, other)
  for (const node of fleet.nodes) node.isRunning = true
  if (!fleet.nodes.some(isHolder)) giveLease(pick())
  version++
  const holder = fleet.nodes.find(isHolder)
  if (holder === undefined) throw new Error('no node holds the lease')
  const others = fleet.nodes.filter((node) => node !== holder)
  const isRecovered = (): boolean => others.every(({ exchange, directory, members }) =>
    exchange.holder()?.member.name === holder.name && members.others().every(({ name }) => members.isAlive(name)) &&
    TARGETS.every((id) => directory.find(`${id}@0`)?.placement.orderCount === version))
  const problems: string[] = []
  if (await advanceUntil(clock, RECOVERY_MILLISECONDS, isRecovered) === undefined) {
    for (const { name, exchange, directory, members } of others) {
      const silent = members.others().filter((member) => !members.isAlive(member.name)).length
      problems.push(`${name}: holder ${exchange.holder()?.member.name ?? 'unknown'} instead of ${holder.name}, ${silent} silent members, placement ${directory.find('e1@0')?.placement.orderCount} instead of ${version}`)
    }
  }

  // Without faults each request is reported once.
  for (const node of fleet.nodes) node.recordedDemand.clear()
  const subject = 'reported-once'
  for (const node of fleet.nodes) node.demand = [[subject, 1]]
  for (let at = 0; at < STEADY_MILLISECONDS; at += 100) {
    await clock.advance(100)
    for (const { name, exchange } of others) if (exchange.holder() === undefined) problems.push(`${name}: lost the holder without a fault`)
  }
  if (holder.recordedDemand.get(subject) !== size) problems.push(`${holder.recordedDemand.get(subject)} of ${size} requests were reported`)
  fleet.stop()
  return [...new Set(problems)]
}

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
  test(`after overlapping faults a fleet agrees on the holder, the members and the targets, seed ${seed}`, async (t) => {
    t.deepEqual(await runSeed(seed), [])
  })
}
