import { randomUUID } from 'node:crypto'
import { createManualClock, createSystemClock } from '@fuchsiastage/clock'
import { configurationFold, CONFIGURATION_STREAM, indexConfiguration, PATCH_KIND, type ConfigurationState } from '@fuchsiastage/configuration'
import { createMemoryLogService, createStreamFollower, SNAPSHOT_KIND, type StreamRecord } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSeededRandom } from '@fuchsiastage/membership'
import type { ConfigurationChange, JsonValue } from '@fuchsiastage/types'
import { adapterName, createConfigurationChanges, DESIGN_SIZE, modelCount } from './fixtures.js'
import { fitLine, heapBytes, jsonBytes, measureCost, medianMilliseconds, roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'

const PATCH_COUNT = 1_000
/** Share of patches based on an older version, which the fold applies with a three-way merge. */
const REBASED_SHARE = 0.2
/** Below the 5,000 changes that the schema of a patch permits. */
const CHANGES_PER_PATCH = 4_000

function createPatchRecord (baseVersion: number, changes: readonly ConfigurationChange[]): StreamRecord {
  const patchId = randomUUID()
  return { recordId: randomUUID(), kind: PATCH_KIND, formatVersion: 1, author: 'entry-0001', patch: { patchId, baseVersion, operator: 'capacity', note: 'Limit of replicas changed.', changes } as unknown as JsonValue }
}

async function measureSize (nameCount: number, options: CapacityOptions): Promise<readonly number[]> {
  const random = createSeededRandom(options.seed)
  const initial = createConfigurationChanges(nameCount)
  const before = heapBytes()
  let state: ConfigurationState = configurationFold.empty()
  for (let index = 0; index < initial.length; index += CHANGES_PER_PATCH) {
    // A deep copy: the fixtures share their values, but the memory of the document has to include all of them.
    const changes = JSON.parse(JSON.stringify(initial.slice(index, index + CHANGES_PER_PATCH))) as ConfigurationChange[]
    state = configurationFold.apply(state, createPatchRecord(state.version, changes), state.version)
  }
  if (state.document.size !== initial.length) throw new Error(`the initial configuration was rejected: ${state.rejected[0]?.reason}`)
  const documentBytes = heapBytes() - before
  indexConfiguration(state.document)
  const withIndexBytes = heapBytes() - before
  const initialState = configurationFold.encode(state)
  const initialVersion = state.version
  const adapters = Math.max(1, nameCount - modelCount(nameCount))
  const records: StreamRecord[] = []
  const patches = Math.max(50, Math.round(PATCH_COUNT * options.scale))
  let recordBytes = 0
  const { cost: foldCost } = await measureCost(() => {
    for (let index = 0; index < patches; index++) {
      const key = `rule/${adapterName(Math.floor(random() * adapters))}`
      const baseVersion = random() < REBASED_SHARE ? Math.max(initialVersion, state.version - 3) : state.version
      const record = createPatchRecord(baseVersion, [{ key, value: { dataCentres: DESIGN_SIZE.dataCentres, maximumReplicas: 1 + Math.floor(random() * 8), minimumWarm: 0 } }])
      records.push(record)
      state = configurationFold.apply(state, record, index + 1)
    }
  })
  recordBytes = records.reduce((sum, record) => sum + jsonBytes(record), 0) / patches
  const indexMilliseconds = medianMilliseconds(20, () => indexConfiguration(new Map(state.document)))
  const encoded = configurationFold.encode(state)
  const snapshotBytes = jsonBytes(encoded)
  const compareMilliseconds = medianMilliseconds(5, () => JSON.stringify(encoded) === JSON.stringify(configurationFold.encode(state)))
  const replayMilliseconds = await measureReplay(initialState, records)
  return [nameCount, initial.length, foldCost.processorMilliseconds / patches, indexMilliseconds, recordBytes, documentBytes / initial.length, withIndexBytes / 1e6, jsonBytes(state.history) / 1e6, snapshotBytes / 1e6, compareMilliseconds, replayMilliseconds]
}

/** Measures the start of a new daemon, which reads the newest snapshot and as many records as are written between two snapshots. */
async function measureReplay (state: JsonValue, records: readonly StreamRecord[]): Promise<number> {
  const clock = createSystemClock()
  const logService = createMemoryLogService(clock)
  const snapshot = { recordId: randomUUID(), kind: SNAPSHOT_KIND, formatVersion: 1, throughOffset: 0, state } as unknown as StreamRecord
  await logService.append(CONFIGURATION_STREAM, [{}, snapshot as unknown as JsonValue, ...records as unknown as JsonValue[]])
  logService.expire(CONFIGURATION_STREAM, 1)
  const follower = createStreamFollower({ stream: CONFIGURATION_STREAM, fold: configurationFold, logService, clock, logger: createMemoryLogger(createManualClock()).logger, waitMilliseconds: 10, retryMilliseconds: 1 })
  const { cost } = await measureCost(async () => {
    follower.start()
    await follower.waitForOffset(records.length + 1, AbortSignal.timeout(50_000))
  })
  const { version } = follower.view().state
  await follower.stop()
  // A few rebased patches conflict when the configuration is small.
  if (version < records.length * 0.9) throw new Error(`too few records were applied: only ${version} versions were replayed`)
  return cost.processorMilliseconds
}

/** Fold, index, memory, snapshot and start-up of a configuration follower. */
export const configurationPart: CapacityPart = {
  name: 'configuration',
  description: 'configuration fold, index, snapshot and replay',
  run: async (options) => {
    const sizes = scaleSizes([500, 2_000, DESIGN_SIZE.models + DESIGN_SIZE.adapters], options.scale)
    const rows: (readonly number[])[] = []
    for (const size of sizes) rows.push(await measureSize(size, options))
    const table: CapacityTable = {
      title: `configuration: one rule changed by each patch, ${REBASED_SHARE * 100}% rebased, up to 1,000 versions kept`,
      columns: ['models+adapters', 'keys', 'fold ms/patch', 'index ms/version', 'bytes/record', 'document bytes/key', 'document+index MB', 'history MB of JSON', 'snapshot MB', 'snapshot compare ms', 'replay ms (snapshot + 1,000 records)'],
      rows: rows.map((row) => row.map(roundSignificant))
    }
    const slopes: CapacityTable = {
      title: 'configuration: slopes per key',
      columns: ['figure', 'per 1,000 keys', 'fixed'],
      rows: ([['fold ms/patch', 2], ['index ms/version', 3], ['snapshot MB', 8], ['replay ms', 10]] as const).map(([label, column]) => {
        const { slope, intercept } = fitLine(rows.map((row) => [row[1] ?? 0, row[column] ?? 0]))
        return [label, roundSignificant(slope * 1_000), roundSignificant(intercept)]
      })
    }
    return [table, slopes]
  }
}
