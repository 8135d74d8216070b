import { randomUUID } from 'node:crypto'
import { createSystemClock } from '@fuchsiastage/clock'
import { configurationFold, PATCH_KIND } from '@fuchsiastage/configuration'
import { createSeededRandom } from '@fuchsiastage/membership'
import { foldPlacement } from '@fuchsiastage/placement'
import type { ConfigurationChange, JsonValue, VmRecord } from '@fuchsiastage/types'
import { adapterName, createConfigurationChanges, createDaemonRecords, DESIGN_SIZE, modelCount, regionOf, createTargetRecords } from './fixtures.js'
import { fitLine, processorTimeOf, residentBytesOf, roundSignificant, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'
import { createPlacementState, createRoundRecords } from './part-placement.js'
import { freeAddress, startDaemon, startFixture, type DaemonProcess, type FixtureProcess } from './processes.js'

const WARM_UP_MILLISECONDS = 4_000
const WINDOW_MILLISECONDS = 10_000
/** Number of HTTP servers in the fixture process. All target records share their addresses. */
const TARGET_SERVERS = 40
const CHANGES_PER_PATCH = 4_000
const HOLDER = 'entry-0001'
/** Both regions together have 0.4 activity changes per second, so one region has 0.2; one round of a load and an unload covers two. `startWriters` writes rounds at twice this rate. */
const ROUNDS_PER_SECOND = 0.1
const PATCHES_PER_SECOND = 0.24
const RENEW_MILLISECONDS = 3_000
const LONG_RETENTION = 'retention-milliseconds = 86400000'

interface DeploymentSize {
  readonly daemons: number
  readonly targets: number
  /** Number of models and adapters. */
  readonly nameCount: number
}

const SIZES: readonly DeploymentSize[] = [
  { daemons: 37, targets: 590, nameCount: 460 },
  { daemons: 148, targets: 2_360, nameCount: 1_840 },
  { daemons: DESIGN_SIZE.daemons, targets: DESIGN_SIZE.targets, nameCount: DESIGN_SIZE.models + DESIGN_SIZE.adapters }
]

function createRecord (kind: string, fields: object): JsonValue {
  return { ...fields, recordId: randomUUID(), kind, formatVersion: 1, author: HOLDER } as JsonValue
}

/** Creates the initial contents of the streams: one snapshot each, as a starting daemon reads it. */
function createInitialStreams (size: DeploymentSize): Readonly<Record<string, readonly JsonValue[]>> {
  const changes = createConfigurationChanges(size.nameCount)
  let configuration = configurationFold.empty()
  for (let index = 0; index < changes.length; index += CHANGES_PER_PATCH) {
    const patch = { patchId: randomUUID(), baseVersion: configuration.version, operator: 'capacity', note: 'initial', changes: changes.slice(index, index + CHANGES_PER_PATCH) }
    configuration = configurationFold.apply(configuration, { recordId: randomUUID(), kind: PATCH_KIND, formatVersion: 1, patch: patch as unknown as JsonValue }, index)
  }
  const region = DESIGN_SIZE.regions[0]
  const state = createPlacementState(size.targets)
  const regionTargets = new Map([...state.targets].filter(([, { dataCentre }]) => regionOf(dataCentre) === region))
  const placement = { ...state, targets: regionTargets, reservations: new Map([...state.reservations].filter(([, { target }]) => regionTargets.has(target))) }
  const lease = { epoch: 3, holder: HOLDER, lastRecordOffset: 0, acquireRecordId: 'first' }
  return {
    configuration: [createRecord('snapshot', { throughOffset: -1, state: configurationFold.encode(configuration) })],
    [`placement.${region}`]: [createRecord('snapshot', { epoch: 3, throughOffset: -1, state: { lease, payload: foldPlacement.encode(placement) } })]
  }
}

/** Appends the records that other daemons and operators write while one daemon is measured. Returns a function that stops this. */
function startWriters (fixture: FixtureProcess, size: DeploymentSize, seed: number): () => void {
  const clock = createSystemClock()
  const random = createSeededRandom(seed)
  const stream = `placement.${DESIGN_SIZE.regions[0]}`
  let version = Math.ceil(createConfigurationChanges(size.nameCount).length / CHANGES_PER_PATCH)
  let state = createPlacementState(size.targets)
  let isStopped = false
  const repeat = (milliseconds: number, write: () => void): void => {
    if (isStopped) return
    write()
    clock.setTimer(milliseconds, () => repeat(milliseconds, write))
  }
  const append = (name: string, values: readonly JsonValue[]): void => { fixture.request({ kind: 'append', stream: name, values }).catch(() => undefined) }
  repeat(RENEW_MILLISECONDS, () => append(stream, [createRecord('lease-renew', { epoch: 3 })]))
  repeat(1_000 / ROUNDS_PER_SECOND / 2, () => {
    const records = createRoundRecords(state, random).map((entry) => ({ ...entry, author: HOLDER }))
    state = { ...state, decisionSequence: state.decisionSequence + 2 }
    for (const entry of records) append(stream, [entry as unknown as JsonValue])
  })
  repeat(1_000 / PATCHES_PER_SECOND, () => {
    const adapter = adapterName(Math.floor(random() * (size.nameCount - modelCount(size.nameCount))))
    const changes: readonly ConfigurationChange[] = [{ key: `rule/${adapter}`, value: { dataCentres: DESIGN_SIZE.dataCentres, maximumReplicas: 1 + Math.floor(random() * 8), minimumWarm: 0 } }]
    append('configuration', [createRecord(PATCH_KIND, { patch: { patchId: randomUUID(), baseVersion: version++, operator: 'capacity', note: 'limit', changes } })])
  })
  return () => { isStopped = true }
}

async function measureDaemon (size: DeploymentSize, options: CapacityOptions): Promise<readonly number[]> {
  const clock = createSystemClock()
  const fixture = startFixture()
  let daemon: DaemonProcess | undefined
  let stopWriters = (): void => {}
  try {
    const logAddress = await fixture.request<string>({ kind: 'start-log', streams: createInitialStreams(size) })
    const daemons = createDaemonRecords(size.daemons)
    const peerNames = daemons.slice(1).map(({ name }) => name)
    const peerAddresses = await fixture.request<readonly string[]>({ kind: 'start-peers', names: peerNames })
    const targetAddresses = await fixture.request<readonly string[]>({ kind: 'start-targets', count: TARGET_SERVERS })
    const [callerAddress, peerAddress] = [await freeAddress(), await freeAddress()]
    const vms = [
      ...daemons.map((vm, index): VmRecord => ({ ...vm, peerAddress: index === 0 ? peerAddress : peerAddresses[index - 1] ?? '' })),
      ...createTargetRecords(size.targets, (index) => targetAddresses[index % TARGET_SERVERS] ?? '')
    ]
    const listAddress = await fixture.request<string>({ kind: 'start-list', vms })
    stopWriters = startWriters(fixture, size, options.seed)
    const startedAt = clock.now()
    daemon = await startDaemon({ name: daemons[0]?.name ?? '', dataCentre: daemons[0]?.dataCentre ?? '', logAddress, listAddress, callerAddress, peerAddress, settings: { 'log-service': [LONG_RETENTION, 'snapshot-every-records = 1000000'] } })
    const startMilliseconds = clock.now() - startedAt
    await fixture.request({ kind: 'probe', address: peerAddress, from: peerNames, perSecond: 1 })
    await clock.sleep(WARM_UP_MILLISECONDS)
    const before = await fixture.counts()
    const processorBefore = processorTimeOf(daemon.pid)
    const windowStart = clock.now()
    await clock.sleep(Math.max(2_000, WINDOW_MILLISECONDS * options.scale))
    const seconds = (clock.now() - windowStart) / 1_000
    const processor = processorTimeOf(daemon.pid) - processorBefore
    const after = await fixture.counts()
    const ratePerSecond = (kind: string): number => ((after.requests[kind] ?? 0) - (before.requests[kind] ?? 0)) / seconds
    const bytes = after.received - before.received + after.sent - before.sent + after.clientReceived - before.clientReceived + after.clientSent - before.clientSent
    return [size.daemons, size.targets, size.nameCount, processor / seconds, bytes / seconds / 1e3, residentBytesOf(daemon.pid) / 1e6, ratePerSecond('state'), ratePerSecond('list'), ratePerSecond('probe'), ratePerSecond('targetChanged'), startMilliseconds]
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
        rows: rows.map((row) => row.map(roundSignificant))
      },
      {
        title: 'daemon: slopes, targets and models in proportion to the daemons',
        columns: ['figure', 'per daemon', 'fixed'],
        rows: ([['processor ms/s', 3], ['KB/s', 4], ['resident MB', 5]] as const).map(([label, column]) => [label, roundSignificant(slope(column).slope), roundSignificant(slope(column).intercept)])
      }
    ]
    return tables
  }
}
