import { createManualClock } from '@fuchsiastage/clock'
import { createConfigurationController, DEFAULT_CONFIGURATION_TIMING } from '@fuchsiastage/configuration'
import { createMemoryLogService } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSeededRandom } from '@fuchsiastage/membership'
import { ok } from 'true-myth/result'
import { daemonRecords, DESIGN } from './fixtures.js'
import { measureCost, medianMilliseconds, round, scaled, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'

const OUTAGE_MILLISECONDS = 60_000
const DECISIONS = 200

async function measureSize (size: number, options: CapacityOptions): Promise<readonly number[]> {
  const clock = createManualClock()
  const logService = createMemoryLogService(clock)
  const members = daemonRecords(size).map(({ name }) => name)
  const daemon = members[0] ?? ''
  let questions = 0
  let pulls = 0
  const verifiedUntil = { at: 0 }
  const positionOfPeer = () => ({ nextOffset: 0, version: 0, verifiedAgeMilliseconds: clock.now() - verifiedUntil.at, uptimeMilliseconds: clock.now() + 3_600_000 })
  const controller = createConfigurationController({
    daemon,
    logService,
    clock,
    logger: createMemoryLogger(clock).logger,
    peers: {
      members: () => members,
      position: async () => {
        questions++
        await clock.sleep(2)
        return ok(positionOfPeer())
      },
      copyFrom: async () => {
        pulls++
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
  verifiedUntil.at = clock.now()
  await clock.advance(15_000)
  questions = 0
  pulls = 0
  const { cost } = await measureCost(() => clock.advance(OUTAGE_MILLISECONDS))
  const decision = controller.freshness()
  if (decision.kind !== 'serve' || decision.basis !== 'majority') throw new Error(`expected a decision to serve by majority, got ${JSON.stringify(decision)}`)
  const decideMilliseconds = medianMilliseconds(DECISIONS, () => controller.checkFreshness())
  const stopped = controller.stop()
  await clock.advance(5_000)
  await stopped
  const seconds = OUTAGE_MILLISECONDS / 1_000
  return [size, questions / seconds, pulls / seconds, cost.processorMilliseconds / seconds, decideMilliseconds * 1_000]
}

/** Majority rounds of one daemon while the log service is down for all daemons. */
export const majorityPart: CapacityPart = {
  name: 'majority',
  description: 'majority rounds during an outage of the log service',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const size of scaled([8, 64, 185, DESIGN.daemons], options.scale)) rows.push(await measureSize(size, options))
    const table: CapacityTable = {
      title: 'majority rounds of one daemon during an outage of the log service (simulated time, calls in memory)',
      columns: ['daemons', 'position queries/s', 'copy requests/s', 'processor ms/s', 'µs/freshness check of a request'],
      rows: rows.map((row) => row.map(round))
    }
    return [table]
  }
}
