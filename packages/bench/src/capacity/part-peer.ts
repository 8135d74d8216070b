import { createPeerClient, type PeerClient } from '@fuchsiastage/peer'
import { createSystemClock } from '@fuchsiastage/clock'
import { createEngineClient, createVmListClient } from '@fuchsiastage/target-client'
import { createDaemonRecords, DESIGN_SIZE, createTargetRecords } from './fixtures.js'
import { FIXTURE_PEER_KEY } from './fixture-key.js'
import { countSocketBytes, heapBytes, jsonBytes, measureCost, processorTimeOf, quantile, roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'
import { startFixture, type FixtureProcess } from './processes.js'

const CALL_COUNT = 1_500
const CONCURRENT_CALLS = 8

interface CallCost {
  readonly senderMicroseconds: number
  readonly receiverMicroseconds: number
  readonly sentBytes: number
  readonly receivedBytes: number
  readonly p50Milliseconds: number
}

/** Repeats a call and measures the processor time of both processes and the bytes on the wire. */
async function measureCalls (fixture: FixtureProcess, calls: number, call: (index: number) => Promise<void>): Promise<CallCost> {
  const clock = createSystemClock()
  await Promise.all(Array.from({ length: CONCURRENT_CALLS * 8 }, (_, index) => call(index)))
  const before = await fixture.counts()
  const receiverMillisecondsBefore = processorTimeOf(fixture.pid)
  const durations: number[] = []
  const { cost } = await measureCost(async () => {
    let next = 0
    const worker = async (): Promise<void> => {
      while (next < calls) {
        const startedAt = clock.now()
        await call(next++)
        durations.push(clock.now() - startedAt)
      }
    }
    await Promise.all(Array.from({ length: CONCURRENT_CALLS }, worker))
  })
  const receiverMilliseconds = processorTimeOf(fixture.pid) - receiverMillisecondsBefore
  const after = await fixture.counts()
  return {
    senderMicroseconds: cost.processorMilliseconds * 1_000 / calls,
    receiverMicroseconds: receiverMilliseconds * 1_000 / calls,
    sentBytes: (after.received - before.received) / calls,
    receivedBytes: (after.sent - before.sent) / calls,
    p50Milliseconds: quantile(durations, 0.5)
  }
}

async function assertOk (call: Promise<{ readonly isOk: boolean }>): Promise<void> {
  if (!(await call).isOk) throw new Error('a measured call returned an error')
}

const CALL_COLUMNS = ['processor µs at the sender', 'processor µs at the receiver', 'bytes sent', 'bytes received', 'ms p50']

function createCallRow (label: string | number, { senderMicroseconds, receiverMicroseconds, sentBytes, receivedBytes, p50Milliseconds }: CallCost): readonly (string | number)[] {
  return [label, ...[senderMicroseconds, receiverMicroseconds, sentBytes, receivedBytes, p50Milliseconds].map(roundSignificant)]
}

/** tRPC calls between two processes on loopback. */
export const peerPart: CapacityPart = {
  name: 'peer',
  description: 'tRPC call between two processes',
  run: async (options) => {
    const fixture = startFixture()
    const client: PeerClient = createPeerClient({ key: FIXTURE_PEER_KEY, defaultTimeoutMilliseconds: 5_000 })
    try {
      const [address = ''] = await fixture.request<readonly string[]>({ kind: 'start-peers', names: ['entry-0001'] })
      const calls = Math.max(100, Math.round(CALL_COUNT * options.scale))
      const update = ['s', 'entry-0123', 3] as const
      const probe = (updates: number) => async (): Promise<void> => await assertOk(client.call('probe', address, (api, signal) =>
        api.probe.mutate({ from: 'entry-0000', incarnation: 0, isLeaving: false, updates: Array.from({ length: updates }, (): ['s', string, number] => [...update]), payload: { c: [21_000, 1_234, 86_400_000], t: 17 } }, { signal })))
      const position = async (): Promise<void> => await assertOk(client.call('position', address, (api, signal) => api.configurationPosition.query({ from: 'entry-0000' }, { signal })))
      const reports = (count: number) => async (): Promise<void> => await assertOk(client.call('reports', address, (api, signal) =>
        api.targetReports.mutate({ targets: Array.from({ length: count }, (_, index) => `target-${String(index).padStart(5, '0')}`) }, { signal })))
      const claim = async (index: number): Promise<void> => await assertOk(client.call('claim', address, (api, signal) =>
        api.claim.mutate({ partition: 7, message: { caller: 'caller-17', key: `019b76da-a800-7000-8000-${String(index).padStart(12, '0')}`, fingerprint: 'x'.repeat(16), claimId: `entry-0000/00000000-0000-4000-8000-000000000000/${index}`, waitMilliseconds: 5_000 } }, { signal })))
      const rows = [
        createCallRow('probe, no updates', await measureCalls(fixture, calls, probe(0))),
        createCallRow('probe, 12 updates', await measureCalls(fixture, calls, probe(12))),
        createCallRow('configurationPosition', await measureCalls(fixture, calls, position)),
        createCallRow('targetReports, 4 targets', await measureCalls(fixture, calls, reports(4))),
        createCallRow('targetReports, 16 targets', await measureCalls(fixture, calls, reports(16))),
        createCallRow('targetReports, 64 targets', await measureCalls(fixture, calls, reports(64))),
        createCallRow('claim', await measureCalls(fixture, calls, claim))
      ]
      return [{ title: `peer: one tRPC call, ${CONCURRENT_CALLS} concurrent calls over persistent connections`, columns: ['call', ...CALL_COLUMNS], rows }]
    } finally {
      await client.close()
      await fixture.stop()
    }
  }
}

/** Reads of target states by the daemon that observes the targets. */
export const observationPart: CapacityPart = {
  name: 'observation',
  description: 'reads of target states by their observer',
  run: async (options) => {
    const fixture = startFixture()
    const clock = createSystemClock()
    const engine = createEngineClient({ clock, connectTimeoutMilliseconds: 1_000, maximumAnswerBytes: 1e6, stateTimeoutMilliseconds: 5_000, firstByteMilliseconds: 5_000 })
    try {
      const rows: (readonly (string | number)[])[] = []
      for (const targets of scaleSizes([16, 32, 64], options.scale)) {
        const addresses = await fixture.request<readonly string[]>({ kind: 'start-targets', count: targets })
        const rounds = Math.max(3, Math.round(40 * options.scale))
        const cost = await measureCalls(fixture, rounds * targets, async (index) => await assertOk(engine.readState(addresses[index % targets] ?? '')))
        rows.push(createCallRow(targets, cost))
      }
      return [{ title: 'observation: one read of the complete engine state of section 15 of the design page', columns: ['targets', ...CALL_COLUMNS], rows }]
    } finally {
      await engine.close()
      await fixture.stop()
    }
  }
}

async function measureList (daemons: number, targets: number, options: CapacityOptions): Promise<readonly (string | number)[]> {
  const fixture = startFixture()
  const clock = createSystemClock()
  const vms = [...createDaemonRecords(daemons), ...createTargetRecords(targets)]
  const before = heapBytes()
  const address = await fixture.request<string>({ kind: 'start-list', vms })
  const client = createVmListClient({ clock, address, timeoutMilliseconds: 5_000, maximumAnswerBytes: 16 * 1024 * 1024 })
  const bytes = countSocketBytes()
  try {
    const reads = Math.max(2, Math.round(20 * options.scale))
    await client.read()
    let listing: unknown
    const firstBytes = bytes.totals().clientRead
    const { cost } = await measureCost(async () => {
      for (let read = 0; read < reads; read++) {
        const result = await client.read()
        if (result.isErr) throw result.error
        listing = result.value
      }
    })
    const received = (bytes.totals().clientRead - firstBytes) / reads
    const { cost: compareCost } = await measureCost(() => { for (let read = 0; read < reads; read++) JSON.stringify(listing) })
    const memory = heapBytes() - before
    const processor = (cost.processorMilliseconds + compareCost.processorMilliseconds) / reads
    return [daemons, targets, roundSignificant(received), roundSignificant(received / (daemons + targets)), roundSignificant(cost.processorMilliseconds / reads), roundSignificant(compareCost.processorMilliseconds / reads), roundSignificant(processor), roundSignificant((memory + jsonBytes(listing)) / 1e6)]
  } finally {
    bytes.stop()
    await client.close()
    await fixture.stop()
  }
}

/** Processor time, bytes and memory of one read of the VM list. */
export const listPart: CapacityPart = {
  name: 'vm-list',
  description: 'read of the VM list',
  run: async (options) => {
    const rows: (readonly (string | number)[])[] = []
    for (const [daemons, targets] of [[37, 590], [185, 2_950], [DESIGN_SIZE.daemons, DESIGN_SIZE.targets]] as const) {
      rows.push(await measureList(Math.max(2, Math.round(daemons * options.scale)), Math.max(2, Math.round(targets * options.scale)), options))
    }
    const table: CapacityTable = {
      title: 'vm-list: one read with decoding and the comparison with the previous listing',
      columns: ['daemons', 'targets', 'bytes/read', 'bytes/VM', 'read+decode processor ms', 'compare ms', 'processor ms/read', 'memory of the listing and its text MB'],
      rows
    }
    return [table]
  }
}
