import { createManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createMembershipController, createSeededRandom, DEFAULT_MEMBERSHIP_TIMING, type MembershipController, type MembershipMessage, type MembershipTransport } from '@fuchsiastage/membership'
import type { VmListing, VmRecord } from '@fuchsiastage/types'
import { err, ok } from 'true-myth/result'
import { createDaemonRecords, DESIGN_SIZE, createTargetRecords } from './fixtures.js'
import { jsonBytes, measureCost, quantile, roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'

const STEADY_STATE_MILLISECONDS = 10_000
const PROPAGATION_LIMIT_MILLISECONDS = 40_000
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
  const daemons = createDaemonRecords(size)
  const target = createTargetRecords(1)[0] as VmRecord
  const listing: VmListing = { vms: [...daemons, target] }
  const counters: Counters = { probes: 0, indirect: 0, bytes: 0, largest: 0 }
  const failedNames = new Set<string>()
  const nodes = new Map<string, MembershipController>()
  const countMessage = (message: MembershipMessage): void => {
    const bytes = jsonBytes(message)
    counters.bytes += bytes
    counters.largest = Math.max(counters.largest, bytes)
  }
  const waitUntilAborted = (signal: AbortSignal) => new Promise<ReturnType<typeof createUnreachableError>>((resolve) => signal.addEventListener('abort', () => resolve(createUnreachableError())))
  const transportOf = (from: string): MembershipTransport => ({
    probe: async (member, message, signal) => {
      counters.probes++
      countMessage(message)
      await clock.sleep(1)
      const node = nodes.get(member.name)
      if (node === undefined || failedNames.has(member.name) || failedNames.has(from)) return await waitUntilAborted(signal)
      const response = node.handleProbe(message)
      countMessage(response)
      await clock.sleep(1)
      return ok(response)
    },
    probeIndirect: async (via, member, signal) => {
      counters.indirect++
      const node = nodes.get(via.name)
      if (node === undefined || failedNames.has(via.name) || failedNames.has(from)) return await waitUntilAborted(signal)
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
      timing: { ...DEFAULT_MEMBERSHIP_TIMING, listIntervalMilliseconds: 10_000 }
    })
    // Payload with the position of the configuration follower, as section 6.3 of the design page describes it.
    node.attachPayload('c', { produce: () => [21_000, 1_234, 86_400_000], receive: () => undefined })
    node.attachPayload('t', { produce: () => 17, receive: () => undefined })
    nodes.set(self.name, node)
  }
  return { clock, nodes, failedNames, counters, target }
}

function createUnreachableError () {
  return err(createError({ code: 'unreachable', message: 'the member did not respond', step: 'probe', status: 503 }))
}

/**
 * Advances the clock until the condition holds at all given nodes, or up to a limit. Returns the time
 * until it first held at each node, or Infinity where it did not hold within the limit.
 */
async function measurePropagation (cluster: ReturnType<typeof createCluster>, nodes: readonly MembershipController[], condition: (node: MembershipController) => boolean): Promise<readonly number[]> {
  const startedAt = cluster.clock.now()
  const times = new Map<MembershipController, number>()
  while (times.size < nodes.length && cluster.clock.now() - startedAt < PROPAGATION_LIMIT_MILLISECONDS) {
    await cluster.clock.advance(STEP_MILLISECONDS)
    for (const node of nodes) if (!times.has(node) && condition(node)) times.set(node, cluster.clock.now() - startedAt)
  }
  return nodes.map((node) => times.get(node) ?? Infinity)
}

async function measureSize (size: number, options: CapacityOptions): Promise<readonly number[]> {
  const cluster = createCluster(size, options)
  const { clock, nodes, failedNames, counters } = cluster
  for (const node of nodes.values()) node.start()
  await clock.advance(2_000)
  Object.assign(counters, { probes: 0, indirect: 0, bytes: 0, largest: 0 })
  const { cost } = await measureCost(() => clock.advance(STEADY_STATE_MILLISECONDS))
  const perDaemonSecond = (value: number): number => value / size / STEADY_STATE_MILLISECONDS * 1_000
  // Each message and each response is sent by one daemon and received by another, so its bytes count twice.
  const steady = [perDaemonSecond(counters.probes), perDaemonSecond(counters.bytes) * 2, perDaemonSecond(cost.processorMilliseconds)]

  const failedName = [...nodes.keys()][Math.floor(size / 2)] ?? ''
  failedNames.add(failedName)
  const remainingNodes = [...nodes].filter(([name]) => name !== failedName).map(([, node]) => node)
  Object.assign(counters, { probes: 0, indirect: 0, bytes: 0, largest: 0 })
  const failureStart = clock.now()
  const failureTimes = await measurePropagation(cluster, remainingNodes, (node) => node.members().some(({ vm, status }) => vm.name === failedName && status === 'failed'))
  const failureSeconds = (clock.now() - failureStart) / 1_000
  const failureMessages = counters.probes / size / failureSeconds

  remainingNodes[0]?.markTargetLeaving(cluster.target.name, 'address', cluster.target.address)
  const leavingTimes = await measurePropagation(cluster, remainingNodes, (node) => node.leavingTargets().includes(cluster.target.name))
  const stopped = Promise.all([...nodes.values()].map((node) => node.stop()))
  await clock.advance(12_000)
  await stopped
  return [size, ...steady, quantile(failureTimes, 0), quantile(failureTimes, 1), failureMessages, counters.largest, quantile(leavingTimes, 0.5), quantile(leavingTimes, 1)]
}

/** Messages, bytes and processor time of the failure detector, and how fast a failure and a leaving target become known. */
export const membershipPart: CapacityPart = {
  name: 'membership',
  description: 'failure detector and dissemination between daemons',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const size of [...new Set(scaleSizes([8, 64, 185, DESIGN_SIZE.daemons], options.scale).map((size) => Math.max(4, size)))]) rows.push(await measureSize(size, options))
    const table: CapacityTable = {
      title: 'membership: per daemon and second in the steady state (simulated time, 2 ms round trip, bytes of JSON without HTTP); then a daemon fails, then a target is marked as leaving',
      columns: ['daemons', 'probes sent', 'bytes sent+received', 'processor ms', 'failure known to first daemon ms', 'failure known to last daemon ms', 'probes sent until failure known', 'largest message bytes', 'leaving target known ms p50', 'leaving target known ms last'],
      rows: rows.map((row) => row.map(roundSignificant))
    }
    return [table]
  }
}
