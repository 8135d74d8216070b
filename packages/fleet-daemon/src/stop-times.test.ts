import test from 'ava'
import { deriveStopTimes } from './stop-times.js'

// A stop waited for connections of callers for longer than its grace time, and its process was killed with its requests.
test('the steps of a stop lie within its grace time, and no request is cut before its last sixth', (t) => {
  for (const graceMilliseconds of [1_000, 2_000, 3_000, 3_600, 8_000, 60_000]) {
    const { drainedAt, lastRequestAt, endsAt, exitsAt } = deriveStopTimes({ signalledAt: 500, graceMilliseconds, drainMilliseconds: 3_400 })
    t.true(drainedAt <= lastRequestAt && lastRequestAt < endsAt && endsAt < exitsAt && exitsAt < 500 + graceMilliseconds, String(graceMilliseconds))
    t.true(endsAt >= 500 + graceMilliseconds * 5 / 6 - 1e-6, String(graceMilliseconds))
  }
  t.deepEqual(deriveStopTimes({ signalledAt: 500, graceMilliseconds: 8_000, drainMilliseconds: 3_400 }), { lastLongRequestAt: 3_000, drainedAt: 3_900, lastRequestAt: 6_900, endsAt: 7_500, exitsAt: 8_100 })
})
