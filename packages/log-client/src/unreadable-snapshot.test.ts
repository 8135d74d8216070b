import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { JsonValue } from '@fuchsiastage/types'
import { createMemoryLogService, createStreamFollower, type StreamFold } from './index.js'

const countFold: StreamFold<number> = {
  formatVersion: 1,
  empty: () => 0,
  apply: (count) => count + 1,
  encode: (count) => count,
  decode: (encoded) => {
    if (typeof encoded !== 'number') throw new Error('the encoded count is not a number')
    return encoded
  }
}
const record = (recordId: string, fields: Record<string, JsonValue> = {}): JsonValue => ({ recordId, kind: 'add', formatVersion: 1, ...fields })

function createFollower () {
  const clock = createManualClock()
  const service = createMemoryLogService(clock)
  const { logger, lines } = createMemoryLogger(clock)
  const follower = createStreamFollower({ stream: 'counts', fold: countFold, logService: service, clock, logger, waitMilliseconds: 1_000, retryMilliseconds: 100 })
  return { clock, service, follower, lines }
}

test('a new follower skips a snapshot that cannot be decoded and uses the next one', async (t) => {
  const { clock, service, follower, lines } = createFollower()
  await service.append('counts', [
    record('r0'),
    record('s0', { kind: 'snapshot', throughOffset: 0, state: 'damaged' }),
    record('r1'),
    record('s1', { kind: 'snapshot', throughOffset: 2, state: 2 }),
    record('r2')
  ])
  service.expire('counts', 1)
  follower.start()
  await clock.advance(1_000)
  t.like(follower.view(), { status: 'current', state: 3, nextOffset: 5 })
  t.true(lines.some((line) => line.includes('snapshot-unreadable')))
})

test('a peer snapshot that cannot be decoded is refused', (t) => {
  const { follower } = createFollower()
  follower.offerSnapshot({ formatVersion: 1, throughOffset: 4, state: 'damaged' })
  t.like(follower.view(), { status: 'starting', nextOffset: 0 })
  follower.offerSnapshot({ formatVersion: 1, throughOffset: 4, state: 5 })
  t.like(follower.view(), { status: 'current', state: 5, nextOffset: 5 })
})
