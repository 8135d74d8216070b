import { createManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createMembershipController, createSeededRandom, DEFAULT_MEMBERSHIP_TIMING, type MembershipController, type MembershipMessage, type MembershipTransport } from '@fuchsiastage/membership'
import type { VmListing, VmRecord } from '@fuchsiastage/types'
import { err, ok } from 'true-myth/result'
import { daemonRecords, DESIGN, targetRecords } from './fixtures.js'
import { jsonBytes, measureCost, quantile, round, scaled, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'

const STEADY_MILLISECONDS = 10_000
const LIMIT_MILLISECONDS = 40_000
const STEP_MILLISECONDS = 250

interface Counters {
  probes: number
  indirect: number
  bytes: number
  largest: number
}

/** Creates daemons in one process that exchange messages in memory, on a manual clock. */
function createCluster (size: number, options: CapacityOptions) {
  const clock = createManualClock()
  const random = createSeededRandom(options.seed)
  const daemons = daemonRecords(size)
  const target = targetRecords(1)[0] as VmRecord
  const listing: VmListing = { vms: [...daemons, target] }
  const counters: Counters = { probes: 0, indirect: 0, bytes: 0, largest: 0 }
  const dead = new Set<string>()
  const nodes = new Map<string, MembershipController>()
  const count = (message: MembershipMessage): void => {
    const bytes = jsonBytes(message)
    counters.bytes += bytes
    counters.largest = Math.max(counters.largest, bytes)
  }
  const noAnswer = (signal: AbortSignal) => new Promise<ReturnType<typeof unreachable>>((resolve) => signal.addEventListener('abort', () => resolve(unreachable())))
  const transportOf = (from: string): MembershipTransport => ({
    probe: async (member, message, signal) => {
      counters.probes++
      count(message)
      await clock.sleep(1)
      const node = nodes.get(member.name)
      if (node === undefined || dead.has(member.name) || dead.has(from)) return await noAnswer(signal)
      const answer = node.handleProbe(message)
      count(answer)
      await clock.sleep(1)
      return ok(answer)
    },
    probeIndirect: async (via, member, signal) => {
      counters.indirect++
      const node = nodes.get(via.name)
      if (node === undefined || dead.has(via.name) || dead.has(from)) return await noAnswer(signal)
      return ok(await node.handleProbeIndirect(member))
    }
  })
  const { logger } = createMemoryLogger(clock)
  for (const self of daemons) {
    const node = createMembershipController({
      self,
      clock,
      logger: { ...logger, info: () => undefined, debug: () => undefined, warn: () => undefined },
      random: createSeededRandom(Math.floor(random() * 1e9)),
      transport: transportOf(self.name),
      readListing: async () => ok(listing),
      timing: { ...DEFAULT_MEMBERSHIP_TIMING, listMilliseconds: 10_000 }
    })
    // Payload with the position of the configuration follower, as section 6.3 of the design page describes it.
    node.attachPayload('c', { produce: () => [21_000, 1_234, 86_400_000], receive: () => undefined })
    node.attachPayload('t', { produce: () => 17, receive: () => undefined })
    nodes.set(self.name, node)
  }
  return { clock, nodes, dead, counters, target }
}

function unreachable () {
  return err(createError({ code: 'unreachable', message: 'the member did not respond', step: 'probe', status: 503 }))
}

/**
 * Advances the clock until the condition holds at all given nodes, or up to a limit. Returns the time
 * until it first held at each node, or Infinity.
 */
async function spread (cluster: ReturnType<typeof createCluster>, nodes: readonly MembershipController[], holds: (node: MembershipController) => boolean): Promise<readonly number[]> {
  const startedAt = cluster.clock.now()
  const times = new Map<MembershipController, number>()
  while (times.size < nodes.length && cluster.clock.now() - startedAt < LIMIT_MILLISECONDS) {
    await cluster.clock.advance(STEP_MILLISECONDS)
    for (const node of nodes) if (!times.has(node) && holds(node)) times.set(node, cluster.clock.now() - startedAt)
  }
  return nodes.map((node) => times.get(node) ?? Infinity)
}

async function measureSize (size: number, options: CapacityOptions): Promise<readonly number[]> {
  const cluster = createCluster(size, options)
  const { clock, nodes, dead, counters } = cluster
  for (const node of nodes.values()) node.start()
  await clock.advance(2_000)
  Object.assign(counters, { probes: 0, indirect: 0, bytes: 0, largest: 0 })
  const { cost } = await measureCost(() => clock.advance(STEADY_MILLISECONDS))
  const perDaemonSecond = (value: number): number => value / size / STEADY_MILLISECONDS * 1_000
  // Each message and each response is sent by one daemon and received by another, so its bytes count twice.
  const steady = [perDaemonSecond(counters.probes), perDaemonSecond(counters.bytes) * 2, perDaemonSecond(cost.processorMilliseconds)]

  const victim = [...nodes.keys()][Math.floor(size / 2)] ?? ''
  dead.add(victim)
  const living = [...nodes].filter(([name]) => name !== victim).map(([, node]) => node)
  Object.assign(counters, { probes: 0, indirect: 0, bytes: 0, largest: 0 })
  const failureStart = clock.now()
  const failed = await spread(cluster, living, (node) => node.members().some(({ vm, status }) => vm.name === victim && status === 'failed'))
  const failureSeconds = (clock.now() - failureStart) / 1_000
  const failureMessages = counters.probes / size / failureSeconds

  living[0]?.markTargetLeaving(cluster.target.name, 'address', cluster.target.address)
  const leaving = await spread(cluster, living, (node) => node.leavingTargets().includes(cluster.target.name))
  const stopped = Promise.all([...nodes.values()].map((node) => node.stop()))
  await clock.advance(12_000)
  await stopped
  return [size, ...steady, quantile(failed, 0), quantile(failed, 1), failureMessages, counters.largest, quantile(leaving, 0.5), quantile(leaving, 1)]
}

/** Messages, bytes and processor time of the failure detector, and how fast a failure and a leaving target become known. */
export const membershipPart: CapacityPart = {
  name: 'membership',
  description: 'failure detector and dissemination between daemons',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const size of [...new Set(scaled([8, 64, 185, DESIGN.daemons], options.scale).map((size) => Math.max(4, size)))]) rows.push(await measureSize(size, options))
    const table: CapacityTable = {
      title: 'membership: per daemon and second in the steady state (simulated time, 2 ms round trip, bytes of JSON without HTTP); then a daemon fails, then a target is marked as leaving',
      columns: ['daemons', 'probes sent', 'bytes sent+received', 'processor ms', 'failure known to first daemon ms', 'failure known to last daemon ms', 'probes sent until failure known', 'largest message bytes', 'leaving target known ms p50', 'leaving target known ms last'],
      rows: rows.map((row) => row.map(round))
    }
    return [table]
  }
}
