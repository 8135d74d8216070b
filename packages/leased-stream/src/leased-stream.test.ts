import { getEventListeners } from 'node:events'
import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogService } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createLeasedStream, type LeaseTiming, type PayloadFold } from './index.js'

const timing: LeaseTiming = {
  renewMilliseconds: 3_000,
  lapseMilliseconds: 9_000,
  rankDelayMilliseconds: 1_500,
  doubtMilliseconds: 6_000,
  snapshotEveryRecords: 20,
  snapshotEveryMilliseconds: 60_000
}

const namesFold: PayloadFold<readonly string[]> = {
  formatVersion: 1,
  empty: () => [],
  apply: (names, record, offset, authorStatus) => authorStatus === 'current' ? [...names, String(record.name)] : names,
  encode: (names) => names,
  decode: (encoded) => encoded as readonly string[]
}

function createFixture () {
  const clock = createManualClock()
  const service = createMemoryLogService(clock)
  const startDaemon = (daemon: string, rank: number) => {
    const connection = service.connect()
    let areReadsCut = false
    const disconnected = service.connect()
    disconnected.setCut(true)
    const logService = {
      ...connection,
      read: async (...parameters: Parameters<typeof connection.read>) => {
        const result = await connection.read(...parameters)
        return areReadsCut ? await disconnected.read(...parameters) : result
      },
      setReadsCut: (cut: boolean) => { areReadsCut = cut }
    }
    const stream = createLeasedStream({
      stream: 'names',
      daemon,
      fold: namesFold,
      logService,
      clock,
      logger: createMemoryLogger(clock, daemon).logger,
      timing,
      pollMilliseconds: 1_000,
      retryMilliseconds: 200,
      rank: () => rank
    })
    stream.start()
    return { stream, logService }
  }
  return { clock, service, startDaemon }
}

test('exactly one of two daemons acquires the lease and keeps it by renewing', async (t) => {
  const { clock, startDaemon } = createFixture()
  const first = startDaemon('entry-1', 0)
  const second = startDaemon('entry-2', 1)
  await clock.advance(60_000)
  t.is(first.stream.currentEpoch(), 1)
  t.is(second.stream.currentEpoch(), undefined)
  t.is(second.stream.holder(), 'entry-1')
})

test('a record that a former holder appends after losing the lease is ignored by every reader', async (t) => {
  const { clock, service, startDaemon } = createFixture()
  const first = startDaemon('entry-1', 0)
  const second = startDaemon('entry-2', 1)
  await clock.advance(2_000)
  first.logService.setCut(true)
  await clock.advance(20_000)
  t.is(second.stream.currentEpoch(), 2)
  // The append of the former holder arrives late, as if its process had been suspended between checking the lease and sending.
  await service.append('names', [{ recordId: 'late', kind: 'add', formatVersion: 1, epoch: 1, author: 'entry-1', name: 'late' }])
  await second.stream.append('add', { name: 'new' }, AbortSignal.timeout(60_000))
  first.logService.setCut(false)
  await clock.advance(5_000)
  t.deepEqual(second.stream.follower.view().state.payload, ['new'])
  t.deepEqual(first.stream.follower.view().state.payload, ['new'])
})

test('a holder that cannot confirm renewals stops deciding before another daemon may acquire the lease', async (t) => {
  const { clock, service, startDaemon } = createFixture()
  const first = startDaemon('entry-1', 0)
  await clock.advance(2_000)
  t.is(first.stream.currentEpoch(), 1)
  service.setDown(true)
  await clock.advance(timing.doubtMilliseconds)
  t.is(first.stream.currentEpoch(), undefined)
})

test('after a log outage that affects every daemon, exactly one daemon holds the lease', async (t) => {
  const { clock, service, startDaemon } = createFixture()
  const first = startDaemon('entry-1', 0)
  const second = startDaemon('entry-2', 1)
  await clock.advance(2_000)
  service.setDown(true)
  await clock.advance(600_000)
  service.setDown(false)
  await clock.advance(5_000)
  const epochs = [first.stream.currentEpoch(), second.stream.currentEpoch()].filter((epoch) => epoch !== undefined)
  t.is(epochs.length, 1)
})

test('an append whose response was lost is applied exactly once', async (t) => {
  const { clock, service, startDaemon } = createFixture()
  const first = startDaemon('entry-1', 0)
  await clock.advance(2_000)
  service.loseReplies(1)
  const appending = first.stream.append('add', { name: 'once' }, AbortSignal.timeout(60_000))
  await clock.advance(5_000)
  t.is((await appending).kind, 'applied')
  t.deepEqual(first.stream.follower.view().state.payload, ['once'])
})

test('after a resignation the other daemon acquires the lease without waiting for it to lapse', async (t) => {
  const { clock, startDaemon } = createFixture()
  const first = startDaemon('entry-1', 0)
  const second = startDaemon('entry-2', 1)
  await clock.advance(2_000)
  const resigning = first.stream.resign(AbortSignal.timeout(60_000))
  await clock.advance(3_000)
  await resigning
  t.is(second.stream.currentEpoch(), 2)
})

test('a new reader starts from a snapshot after the first records have expired', async (t) => {
  const { clock, service, startDaemon } = createFixture()
  const first = startDaemon('entry-1', 0)
  await clock.advance(2_000)
  for (let index = 0; index < 30; index++) {
    const appending = first.stream.append('add', { name: `name-${index}` }, AbortSignal.timeout(60_000))
    await clock.advance(300)
    await appending
  }
  await clock.advance(10_000)
  const snapshots = service.contents('names').filter(({ value }) => (value as { kind: string }).kind === 'snapshot')
  t.true(snapshots.length > 0)
  service.expire('names', Number((snapshots[0]?.value as { throughOffset: number }).throughOffset) + 1)
  const fresh = startDaemon('entry-3', 2)
  await clock.advance(3_000)
  t.deepEqual(fresh.stream.follower.view().state, first.stream.follower.view().state)
})

test('a holder that can append but not read loses the lease to a daemon that can do both', async (t) => {
  const { clock, startDaemon } = createFixture()
  const first = startDaemon('entry-1', 0)
  const second = startDaemon('entry-2', 1)
  await clock.advance(2_000)
  first.logService.setReadsCut(true)
  await clock.advance(60_000)
  t.is(first.stream.currentEpoch(), undefined)
  t.is(second.stream.currentEpoch(), 2)
})

// Guards against a memory leak: each append that links a long-lived signal must remove its listeners from it.
test('appends leave no listeners or dependent signals on a process-wide signal', async (t) => {
  const { clock, startDaemon } = createFixture()
  const { stream } = startDaemon('entry-1', 0)
  await clock.advance(2_000)
  const { signal } = new AbortController()
  for (let index = 0; index < 5; index++) {
    const appending = stream.append('add', { name: `name-${index}` }, signal)
    await clock.advance(300)
    await appending
  }
  t.is(getEventListeners(signal, 'abort').length, 0)
  t.is(dependentSignals(signal), 0)
  await stream.stop()
})

/** Number of dependent signals that `AbortSignal.any` of Node.js 20 registers on its source signal. */
function dependentSignals (signal: AbortSignal): number {
  const key = Object.getOwnPropertySymbols(signal).find(({ description }) => description === 'kDependantSignals')
  return key === undefined ? 0 : (signal as unknown as Record<symbol, Set<unknown> | undefined>)[key]?.size ?? 0
}

test('records are written in the permitted format, so that daemons with older code can read them during an upgrade', async (t) => {
  const clock = createManualClock()
  const service = createMemoryLogService(clock)
  const stream = createLeasedStream({
    stream: 'names',
    daemon: 'entry-1',
    fold: { ...namesFold, formatVersion: 2 },
    logService: service,
    clock,
    logger: createMemoryLogger(clock, 'entry-1').logger,
    timing,
    pollMilliseconds: 1_000,
    retryMilliseconds: 200,
    permittedFormat: () => 1,
    rank: () => 0
  })
  stream.start()
  await clock.advance(2_000)
  const formats = service.contents('names').map(({ value }) => (value as { formatVersion: number }).formatVersion)
  t.true(formats.length > 0)
  t.true(formats.every((format) => format === 1))
})
