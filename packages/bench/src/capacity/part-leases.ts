import { createManualClock } from '@fuchsiastage/clock'
import { createLeasedStream, rendezvousRank, type LeasedStream, type PayloadFold } from '@fuchsiastage/leased-stream'
import { createMemoryLogService, type LogService } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createDaemonRecords } from './fixtures.js'
import { fitLine, heapBytes, measureCost, roundSignificant, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'

const MEASURED_MILLISECONDS = 30_000
const DAEMONS = 32
const WATCHERS_PER_STREAM = 3
const emptyFold: PayloadFold<null> = { formatVersion: 1, empty: () => null, apply: (state) => state, encode: () => null, decode: () => null }

async function measureSize (streams: number, options: CapacityOptions): Promise<readonly number[]> {
  const clock = createManualClock()
  const memory = createMemoryLogService(clock)
  let reads = 0
  const logService: LogService = {
    append: memory.append,
    read: async (...parameters) => {
      reads++
      return await memory.read(...parameters)
    }
  }
  const { logger } = createMemoryLogger(clock)
  const before = heapBytes()
  const names = createDaemonRecords(DAEMONS).map(({ name }) => name)
  const followers: LeasedStream<null>[] = []
  for (let index = 0; index < streams; index++) {
    const stream = `claims.${index}`
    for (const daemon of names) {
      if (rendezvousRank(stream, names, daemon, WATCHERS_PER_STREAM) === undefined) continue
      followers.push(createLeasedStream({
        stream,
        daemon,
        fold: emptyFold,
        logService,
        clock,
        logger,
        rank: () => rendezvousRank(stream, names, daemon, WATCHERS_PER_STREAM),
        timing: { renewMilliseconds: 3_000, lapseMilliseconds: 9_000, rankDelayMilliseconds: 1_500, doubtMilliseconds: 6_000, snapshotEveryRecords: 1_000, snapshotEveryMilliseconds: 21_600_000 },
        pollMilliseconds: 2_000,
        retryMilliseconds: 500
      }))
    }
  }
  for (const follower of followers) follower.start()
  await clock.advance(8_000)
  const appendsBefore = memory.appendCount()
  reads = 0
  const duration = Math.max(9_000, MEASURED_MILLISECONDS * options.scale)
  const { cost } = await measureCost(() => clock.advance(duration))
  const seconds = duration / 1_000
  const result = [streams, (memory.appendCount() - appendsBefore) / seconds, reads / seconds, cost.processorMilliseconds / seconds / followers.length, (heapBytes() - before) / followers.length]
  const stopped = Promise.all(followers.map((follower) => follower.stop()))
  await clock.advance(5_000)
  await stopped
  return result
}

/** Appends, reads and cost of idle leased streams. */
export const leasesPart: CapacityPart = {
  name: 'leases',
  description: 'renewals and reads of idle leased streams',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const streams of options.scale < 1 ? [2, 4, 8] : [8, 32, 66]) rows.push(await measureSize(streams, options))
    const tables: CapacityTable[] = [
      {
        title: `leases: idle streams with ${WATCHERS_PER_STREAM} watchers each (simulated time)`,
        columns: ['streams', 'appends/s', 'reads/s', 'processor ms/s per watched stream', 'bytes per watched stream'],
        rows: rows.map((row) => row.map(roundSignificant))
      },
      {
        title: 'leases: slopes per stream',
        columns: ['figure', 'per stream', 'fixed'],
        rows: ([['appends/s', 1], ['reads/s', 2]] as const).map(([label, column]) => {
          const { slope, intercept } = fitLine(rows.map((row) => [row[0] ?? 0, row[column] ?? 0]))
          return [label, roundSignificant(slope), roundSignificant(intercept)]
        })
      }
    ]
    return tables
  }
}
