import { createManualClock } from '@fuchsiastage/clock'
import { createConfigurationController, DEFAULT_CONFIGURATION_TIMING } from '@fuchsiastage/configuration'
import { createMemoryLogService } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSeededRandom } from '@fuchsiastage/membership'
import { ok } from 'true-myth/result'
import { createDaemonRecords, DESIGN_SIZE } from './fixtures.js'
import { measureCost, medianMilliseconds, roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'

const OUTAGE_MILLISECONDS = 60_000
const DECISION_COUNT = 200

async function measureSize (size: number, options: CapacityOptions): Promise<readonly number[]> {
  const clock = createManualClock()
  const logService = createMemoryLogService(clock)
  const members = createDaemonRecords(size).map(({ name }) => name)
  const daemon = members[0] ?? ''
  let positionQueries = 0
  let copyRequests = 0
  const lastVerified = { at: 0 }
  const positionOfPeer = () => ({ nextOffset: 0, version: 0, verifiedAgeMilliseconds: clock.now() - lastVerified.at, uptimeMilliseconds: clock.now() + 3_600_000 })
  const controller = createConfigurationController({
    daemon,
    logService,
    clock,
    logger: createMemoryLogger(clock).logger,
    peers: {
      members: () => members,
      position: async () => {
        positionQueries++
        await clock.sleep(2)
        return ok(positionOfPeer())
      },
      copyFrom: async () => {
        copyRequests++
        await clock.sleep(2)
        return ok({ position: positionOfPeer(), records: [] })
      }
    },
    mode: 'serve-with-majority',
    memberListDifference: 2,
    timing: DEFAULT_CONFIGURATION_TIMING,
    snapshotRank: () => undefined,
    random: createSeededRandom(options.seed)
  })
  controller.start()
  await clock.advance(5_000)
  logService.setDown(true)
  lastVerified.at = clock.now()
  await clock.advance(15_000)
  positionQueries = 0
  copyRequests = 0
  const { cost } = await measureCost(() => clock.advance(OUTAGE_MILLISECONDS))
  const decision = controller.freshness()
  if (decision.kind !== 'serve' || decision.basis !== 'majority') throw new Error(`expected a decision to serve by majority, got ${JSON.stringify(decision)}`)
  const freshnessCheckMilliseconds = medianMilliseconds(DECISION_COUNT, () => controller.checkFreshness())
  const stopped = controller.stop()
  await clock.advance(5_000)
  await stopped
  const seconds = OUTAGE_MILLISECONDS / 1_000
  return [size, positionQueries / seconds, copyRequests / seconds, cost.processorMilliseconds / seconds, freshnessCheckMilliseconds * 1_000]
}

/** Majority rounds of one daemon while the log service is down for all daemons. */
export const majorityPart: CapacityPart = {
  name: 'majority',
  description: 'majority rounds during an outage of the log service',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const size of scaleSizes([8, 64, 185, DESIGN_SIZE.daemons], options.scale)) rows.push(await measureSize(size, options))
    const table: CapacityTable = {
      title: 'majority rounds of one daemon during an outage of the log service (simulated time, calls in memory)',
      columns: ['daemons', 'position queries/s', 'copy requests/s', 'processor ms/s', 'µs/freshness check of a request'],
      rows: rows.map((row) => row.map(roundSignificant))
    }
    return [table]
  }
}
