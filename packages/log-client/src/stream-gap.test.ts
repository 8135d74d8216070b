import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { JsonValue } from '@fuchsiastage/types'
import { createMemoryLogService, createStreamFollower, type StreamFold } from './index.js'

const countFold: StreamFold<number> = { formatVersion: 1, empty: () => 0, apply: (count) => count + 1, encode: (count) => count, decode: (encoded) => encoded as number }
const record = (recordId: string): JsonValue => ({ recordId, kind: 'add', formatVersion: 1 })

async function createFollowerBehindGap () {
  const clock = createManualClock()
  const service = createMemoryLogService(clock)
  const connection = service.connect()
  const { logger } = createMemoryLogger(clock)
  const follower = createStreamFollower({ stream: 'counts', fold: countFold, logService: connection, clock, logger, waitMilliseconds: 1_000, retryMilliseconds: 100 })
  await service.append('counts', [record('r0'), record('r1')])
  follower.start()
  await clock.advance(500)
  connection.setCut(true)
  await clock.advance(2_000)
  await service.append('counts', [record('r2'), record('r3'), record('r4')])
  service.expire('counts', 4)
  connection.setCut(false)
  await clock.advance(1_000)
  return { clock, follower }
}

test('a follower whose next records expired without a snapshot continues with the records of a peer', async (t) => {
  const { clock, follower } = await createFollowerBehindGap()
  t.like(follower.view(), { status: 'incomplete', nextOffset: 2 })
  follower.offerRecords({ records: [{ offset: 2, value: record('r2') }, { offset: 3, value: record('r3') }], nextOffset: 4, verifiedAt: undefined })
  await clock.advance(1_000)
  t.like(follower.view(), { status: 'current', state: 5, nextOffset: 5 })
  t.not(follower.view().verifiedAt, undefined)
})

test('records of a peer that do not close the gap leave the state unchanged', async (t) => {
  const { follower } = await createFollowerBehindGap()
  follower.offerRecords({ records: [{ offset: 3, value: record('r3') }], nextOffset: 4, verifiedAt: undefined })
  follower.offerRecords({ records: [], nextOffset: 2, verifiedAt: 0 })
  t.like(follower.view(), { status: 'incomplete', state: 2, nextOffset: 2 })
})
