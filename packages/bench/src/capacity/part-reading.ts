import { randomUUID } from 'node:crypto'
import { createManualClock, createSystemClock } from '@fuchsiastage/clock'
import { configurationFold, CONFIGURATION_STREAM, PATCH_KIND } from '@fuchsiastage/configuration'
import { createHttpLogService, createStreamFollower } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { JsonValue } from '@fuchsiastage/types'
import { request } from 'undici'
import { createConfigurationChanges, DESIGN_SIZE, modelName } from './fixtures.js'
import { measureCost, quantile, roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'
import { startFixture } from './processes.js'

const WINDOW_MILLISECONDS = 10_000
/** The design has 21,000 configuration changes per day, which is 0.243 per second. */
const PATCH_INTERVAL_MILLISECONDS = 86_400_000 / 21_000
/** Number of models and adapters in the configuration. */
const NAME_COUNT = 40

async function fetchReadCount (address: string): Promise<number> {
  const { body } = await request(`http://${address}/counts`)
  return (await body.json() as { readonly reads: number }).reads
}

async function measureSize (daemons: number, options: CapacityOptions): Promise<readonly number[]> {
  const clock = createSystemClock()
  const fixture = startFixture()
  const createPatchRecord = (baseVersion: number, changes: unknown): JsonValue => ({
    recordId: randomUUID(), kind: PATCH_KIND, formatVersion: 1, patch: { patchId: randomUUID(), baseVersion, operator: 'capacity', note: 'Limit of replicas changed.', changes }
  }) as unknown as JsonValue
  const address = await fixture.request<string>({ kind: 'start-log', streams: { [CONFIGURATION_STREAM]: [createPatchRecord(0, createConfigurationChanges(NAME_COUNT))] } })
  const { logger } = createMemoryLogger(createManualClock())
  const services = Array.from({ length: daemons }, () => createHttpLogService({ url: `http://${address}`, appendTimeoutMilliseconds: 5_000, readMarginMilliseconds: 5_000 }))
  const followers = services.map((logService) => createStreamFollower({ stream: CONFIGURATION_STREAM, fold: configurationFold, logService, clock, logger, waitMilliseconds: 2_000, retryMilliseconds: 500 }))
  try {
    for (const follower of followers) follower.start()
    await Promise.all(followers.map((follower) => follower.waitForOffset(0, AbortSignal.timeout(20_000))))
    await clock.sleep(1_000)
    const readsBefore = await fetchReadCount(address)
    const before = await fixture.counts()
    const startedAt = clock.now()
    const propagationTimes: number[] = []
    const patches: Promise<void>[] = []
    let version = 1
    const appendPatch = async (): Promise<void> => {
      const sentAt = clock.now()
      const offset = await fixture.request<number>({ kind: 'append', stream: CONFIGURATION_STREAM, values: [createPatchRecord(version++, [{ key: `rule/${modelName(0)}`, value: { dataCentres: DESIGN_SIZE.dataCentres, maximumReplicas: 1 + version % 8, minimumWarm: 0 } }])] })
      await Promise.all(followers.map((follower) => follower.waitForOffset(offset, AbortSignal.timeout(20_000))))
      propagationTimes.push(clock.now() - sentAt)
    }
    const { cost } = await measureCost(async () => {
      const end = startedAt + Math.max(3_000, WINDOW_MILLISECONDS * options.scale)
      while (clock.now() < end) {
        patches.push(appendPatch())
        await clock.sleep(Math.min(PATCH_INTERVAL_MILLISECONDS, end - clock.now()))
      }
    })
    const seconds = (clock.now() - startedAt) / 1_000
    const after = await fixture.counts()
    const reads = await fetchReadCount(address) - readsBefore
    await Promise.all(patches)
    return [daemons, patches.length / seconds, reads / seconds, reads / seconds / daemons, (after.sent - before.sent + after.received - before.received) / seconds / daemons, cost.processorMilliseconds / seconds / daemons, quantile(propagationTimes, 1)]
  } finally {
    await Promise.all(followers.map((follower) => follower.stop()))
    await Promise.all(services.map((service) => service.close()))
    await fixture.stop()
  }
}

/** Long polls of the configuration stream by all daemons. */
export const readingPart: CapacityPart = {
  name: 'reading',
  description: 'reads of the configuration stream by all daemons',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const size of scaleSizes([8, 64, DESIGN_SIZE.daemons], options.scale)) rows.push(await measureSize(size, options))
    const table: CapacityTable = {
      title: 'reading: followers of `configuration` over HTTP with a long poll of 2 s, one patch every 4.1 s, all followers in one process',
      columns: ['daemons', 'patches/s', 'reads/s', 'reads/s per daemon', 'bytes/s per daemon', 'processor ms/s per daemon', 'longest ms until all daemons have a patch'],
      rows: rows.map((row) => row.map(roundSignificant))
    }
    return [table]
  }
}
