import { randomUUID } from 'node:crypto'
import { createSystemClock } from '@fuchsiastage/clock'
import { configurationFold, PATCH_KIND } from '@fuchsiastage/configuration'
import { createSeededRandom } from '@fuchsiastage/membership'
import { foldPlacement } from '@fuchsiastage/placement'
import type { ConfigurationChange, JsonValue, VmRecord } from '@fuchsiastage/types'
import { adapterName, configurationChanges, daemonRecords, DESIGN, modelCount, regionOf, targetRecords } from './fixtures.js'
import { fitLine, processorTimeOf, residentBytesOf, round, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'
import { createState, roundRecords } from './part-placement.js'
import { freeAddress, startDaemon, startFixture, type DaemonProcess, type FixtureProcess } from './processes.js'

const WARM_UP_MILLISECONDS = 4_000
const WINDOW_MILLISECONDS = 10_000
const FIXED_TARGETS = 40
const CHANGES_IN_PATCH = 4_000
const HOLDER = 'entry-0001'
/** Both regions together have 0.4 activity changes per second, so one region has 0.2; one round of a load and an unload covers two. */
const ROUNDS_PER_SECOND = 0.1
const PATCHES_PER_SECOND = 0.24
const RENEW_MILLISECONDS = 3_000
const LARGE_RETENTION = 'retention-milliseconds = 86400000'

interface Size {
  readonly daemons: number
  readonly targets: number
  readonly names: number
}

const SIZES: readonly Size[] = [
  { daemons: 37, targets: 590, names: 460 },
  { daemons: 148, targets: 2_360, names: 1_840 },
  { daemons: DESIGN.daemons, targets: DESIGN.targets, names: DESIGN.models + DESIGN.adapters }
]

function record (kind: string, fields: object): JsonValue {
  return { ...fields, recordId: randomUUID(), kind, formatVersion: 1, author: HOLDER } as JsonValue
}

/** Creates the initial contents of the streams: one snapshot each, as a starting daemon reads it. */
function initialStreams (size: Size): Readonly<Record<string, readonly JsonValue[]>> {
  const changes = configurationChanges(size.names)
  let configuration = configurationFold.empty()
  for (let index = 0; index < changes.length; index += CHANGES_IN_PATCH) {
    const patch = { patchId: randomUUID(), baseVersion: configuration.version, operator: 'capacity', note: 'initial', changes: changes.slice(index, index + CHANGES_IN_PATCH) }
    configuration = configurationFold.apply(configuration, { recordId: randomUUID(), kind: PATCH_KIND, formatVersion: 1, patch: patch as unknown as JsonValue }, index)
  }
  const region = DESIGN.regions[0]
  const state = createState(size.targets)
  const near = new Map([...state.targets].filter(([, { dataCentre }]) => regionOf(dataCentre) === region))
  const placement = { ...state, targets: near, reservations: new Map([...state.reservations].filter(([, { target }]) => near.has(target))) }
  const lease = { epoch: 3, holder: HOLDER, lastRecordOffset: 0, acquireRecordId: 'first' }
  return {
    configuration: [record('snapshot', { throughOffset: -1, state: configurationFold.encode(configuration) })],
    [`placement.${region}`]: [record('snapshot', { epoch: 3, throughOffset: -1, state: { lease, payload: foldPlacement.encode(placement) } })]
  }
}

/** Appends the records that other daemons and operators write while one daemon is measured. Returns a function that stops this. */
function startWriters (fixture: FixtureProcess, size: Size, seed: number): () => void {
  const clock = createSystemClock()
  const random = createSeededRandom(seed)
  const stream = `placement.${DESIGN.regions[0]}`
  let version = Math.ceil(configurationChanges(size.names).length / CHANGES_IN_PATCH)
  let state = createState(size.targets)
  let isStopped = false
  const every = (milliseconds: number, write: () => void): void => {
    if (isStopped) return
    write()
    clock.setTimer(milliseconds, () => every(milliseconds, write))
  }
  const append = (name: string, values: readonly JsonValue[]): void => { fixture.ask({ kind: 'append', stream: name, values }).catch(() => undefined) }
  every(RENEW_MILLISECONDS, () => append(stream, [record('lease-renew', { epoch: 3 })]))
  every(1_000 / ROUNDS_PER_SECOND / 2, () => {
    const records = roundRecords(state, random).map((entry) => ({ ...entry, author: HOLDER }))
    state = { ...state, decisionSequence: state.decisionSequence + 2 }
    for (const entry of records) append(stream, [entry as unknown as JsonValue])
  })
  every(1_000 / PATCHES_PER_SECOND, () => {
    const adapter = adapterName(Math.floor(random() * (size.names - modelCount(size.names))))
    const changes: readonly ConfigurationChange[] = [{ key: `rule/${adapter}`, value: { dataCentres: DESIGN.dataCentres, maximumReplicas: 1 + Math.floor(random() * 8), minimumWarm: 0 } }]
    append('configuration', [record(PATCH_KIND, { patch: { patchId: randomUUID(), baseVersion: version++, operator: 'capacity', note: 'limit', changes } })])
  })
  return () => { isStopped = true }
}

async function measureDaemon (size: Size, options: CapacityOptions): Promise<readonly number[]> {
  const clock = createSystemClock()
  const fixture = startFixture()
  let daemon: DaemonProcess | undefined
  let stopWriters = (): void => {}
  try {
    const logAddress = await fixture.ask<string>({ kind: 'start-log', streams: initialStreams(size) })
    const daemons = daemonRecords(size.daemons)
    const others = daemons.slice(1).map(({ name }) => name)
    const peerAddresses = await fixture.ask<readonly string[]>({ kind: 'start-peers', names: others })
    const targetAddresses = await fixture.ask<readonly string[]>({ kind: 'start-targets', count: FIXED_TARGETS })
    const [callers, peers] = [await freeAddress(), await freeAddress()]
    const vms = [
      ...daemons.map((vm, index): VmRecord => ({ ...vm, peerAddress: index === 0 ? peers : peerAddresses[index - 1] ?? '' })),
      ...targetRecords(size.targets, (index) => targetAddresses[index % FIXED_TARGETS] ?? '')
    ]
    const listAddress = await fixture.ask<string>({ kind: 'start-list', vms })
    stopWriters = startWriters(fixture, size, options.seed)
    const startedAt = clock.now()
    daemon = await startDaemon({ name: daemons[0]?.name ?? '', dataCentre: daemons[0]?.dataCentre ?? '', logAddress, listAddress, callers, peers, settings: { 'log-service': [LARGE_RETENTION, 'snapshot-every-records = 1000000'] } })
    const startMilliseconds = clock.now() - startedAt
    await fixture.ask({ kind: 'probe', address: peers, from: others, perSecond: 1 })
    await clock.sleep(WARM_UP_MILLISECONDS)
    const before = await fixture.counts()
    const processorBefore = processorTimeOf(daemon.pid)
    const windowStart = clock.now()
    await clock.sleep(Math.max(2_000, WINDOW_MILLISECONDS * options.scale))
    const seconds = (clock.now() - windowStart) / 1_000
    const processor = processorTimeOf(daemon.pid) - processorBefore
    const after = await fixture.counts()
    const of = (kind: string): number => ((after.requests[kind] ?? 0) - (before.requests[kind] ?? 0)) / seconds
    const bytes = after.received - before.received + after.sent - before.sent + after.clientReceived - before.clientReceived + after.clientSent - before.clientSent
    return [size.daemons, size.targets, size.names, processor / seconds, bytes / seconds / 1e3, residentBytesOf(daemon.pid) / 1e6, of('state'), of('list'), of('probe'), of('targetChanged'), startMilliseconds]
  } finally {
    stopWriters()
    await daemon?.stop()
    await fixture.stop()
  }
}

/** Complete daemon process without requests of callers, at three sizes of the deployment. */
export const daemonPart: CapacityPart = {
  name: 'daemon',
  description: 'idle daemon process in a deployment of the design size',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const size of options.scale < 1 ? SIZES.slice(0, 1) : SIZES) rows.push(await measureDaemon(size, options))
    const slope = (column: number) => fitLine(rows.map((row) => [row[0] ?? 0, row[column] ?? 0]))
    const tables: CapacityTable[] = [
      {
        title: 'daemon: one process (`fuchsiastage daemon`) without callers, its counterparts in another process',
        columns: ['daemons', 'targets', 'models+adapters', 'processor ms/s', 'KB/s both ways', 'resident MB', 'state reads/s', 'list reads/s', 'probes/s', 'changes pushed/s', 'ms until ready'],
        rows: rows.map((row) => row.map(round))
      },
      {
        title: 'daemon: slopes, targets and models in proportion to the daemons',
        columns: ['figure', 'per daemon', 'fixed'],
        rows: ([['processor ms/s', 3], ['KB/s', 4], ['resident MB', 5]] as const).map(([label, column]) => [label, round(slope(column).slope), round(slope(column).intercept)])
      }
    ]
    return tables
  }
}
