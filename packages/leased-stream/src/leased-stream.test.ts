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
  apply: (names, record, offset, standing) => standing === 'current' ? [...names, String(record.name)] : names,
  encode: (names) => names,
  decode: (encoded) => encoded as readonly string[]
}

function createFixture () {
  const clock = createManualClock()
  const service = createMemoryLogService(clock)
  const join = (daemon: string, rank: number) => {
    const connection = service.connect()
    let areReadsCut = false
    const unreadable = service.connect()
    unreadable.setCut(true)
    const logService = {
      ...connection,
      read: async (...parameters: Parameters<typeof connection.read>) => {
        const result = await connection.read(...parameters)
        return areReadsCut ? await unreadable.read(...parameters) : result
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
  return { clock, service, join }
}

test('one of two watchers acquires the lease and keeps it while it renews', async (t) => {
  const { clock, join } = createFixture()
  const first = join('entry-1', 0)
  const second = join('entry-2', 1)
  await clock.advance(60_000)
  t.is(first.stream.currentEpoch(), 1)
  t.is(second.stream.currentEpoch(), undefined)
  t.is(second.stream.holder(), 'entry-1')
})

test('a record of a former holder is void although its append was acknowledged', async (t) => {
  const { clock, service, join } = createFixture()
  const first = join('entry-1', 0)
  const second = join('entry-2', 1)
  await clock.advance(2_000)
  first.logService.setCut(true)
  await clock.advance(20_000)
  t.is(second.stream.currentEpoch(), 2)
  // The former holder's append arrives late, as after a pause between its check and its send.
  await service.append('names', [{ recordId: 'late', kind: 'add', formatVersion: 1, epoch: 1, author: 'entry-1', name: 'late' }])
  await second.stream.append('add', { name: 'new' }, AbortSignal.timeout(60_000))
  first.logService.setCut(false)
  await clock.advance(5_000)
  t.deepEqual(second.stream.follower.view().state.payload, ['new'])
  t.deepEqual(first.stream.follower.view().state.payload, ['new'])
})

test('a holder that cannot confirm renewals stops deciding before anybody else may acquire', async (t) => {
  const { clock, service, join } = createFixture()
  const first = join('entry-1', 0)
  await clock.advance(2_000)
  t.is(first.stream.currentEpoch(), 1)
  service.setDown(true)
  await clock.advance(timing.doubtMilliseconds)
  t.is(first.stream.currentEpoch(), undefined)
})

test('after an outage for all the old holder goes on under its epoch', async (t) => {
  const { clock, service, join } = createFixture()
  const first = join('entry-1', 0)
  const second = join('entry-2', 1)
  await clock.advance(2_000)
  service.setDown(true)
  await clock.advance(600_000)
  service.setDown(false)
  await clock.advance(5_000)
  const epochs = [first.stream.currentEpoch(), second.stream.currentEpoch()].filter((epoch) => epoch !== undefined)
  t.is(epochs.length, 1)
})

test('an append whose reply was lost is applied once', async (t) => {
  const { clock, service, join } = createFixture()
  const first = join('entry-1', 0)
  await clock.advance(2_000)
  service.loseReplies(1)
  const appending = first.stream.append('add', { name: 'once' }, AbortSignal.timeout(60_000))
  await clock.advance(5_000)
  t.is((await appending).kind, 'applied')
  t.deepEqual(first.stream.follower.view().state.payload, ['once'])
})

test('after a planned resignation the other watcher holds the lease without waiting for the lapse', async (t) => {
  const { clock, join } = createFixture()
  const first = join('entry-1', 0)
  const second = join('entry-2', 1)
  await clock.advance(2_000)
  const resigning = first.stream.resign(AbortSignal.timeout(60_000))
  await clock.advance(3_000)
  await resigning
  t.is(second.stream.currentEpoch(), 2)
})

test('a fresh reader starts from a snapshot after the first records expired', async (t) => {
  const { clock, service, join } = createFixture()
  const first = join('entry-1', 0)
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
  const fresh = join('entry-3', 2)
  await clock.advance(3_000)
  t.deepEqual(fresh.stream.follower.view().state, first.stream.follower.view().state)
})

test('a holder that can append but not read loses the lease instead of keeping it without deciding', async (t) => {
  const { clock, join } = createFixture()
  const first = join('entry-1', 0)
  const second = join('entry-2', 1)
  await clock.advance(2_000)
  first.logService.setReadsCut(true)
  await clock.advance(60_000)
  t.is(first.stream.currentEpoch(), undefined)
  t.is(second.stream.currentEpoch(), 2)
})

test('appends leave nothing behind on a signal that lives as long as the process', async (t) => {
  const { clock, join } = createFixture()
  const { stream } = join('entry-1', 0)
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

/** Entries that `AbortSignal.any` of Node.js 20 keeps in its sources. */
function dependentSignals (signal: AbortSignal): number {
  const key = Object.getOwnPropertySymbols(signal).find(({ description }) => description === 'kDependantSignals')
  return key === undefined ? 0 : (signal as unknown as Record<symbol, Set<unknown> | undefined>)[key]?.size ?? 0
}

test('records are written in the permitted format, so that daemons with older code can read them', async (t) => {
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
