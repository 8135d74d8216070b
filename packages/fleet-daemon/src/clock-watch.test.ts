import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { watchClocks } from './clock-watch.js'

test('a suspension of the process and a step of the wall clock are logged once each', async (t) => {
  const clock = createManualClock()
  const { logger, lines } = createMemoryLogger(clock)
  const stopping = new AbortController()
  let step = 0
  void watchClocks({ ...clock, wallNow: () => clock.wallNow() + step }, logger, stopping.signal)
  await clock.advance(2_000)
  step = 7_800
  await clock.advance(2_000)
  step = 5_800
  await clock.advance(2_000)
  stopping.abort()
  t.deepEqual(lines.map((line) => JSON.parse(line) as { readonly event: string, readonly milliseconds: number }).filter(({ event }) => event === 'clock-moved').map(({ milliseconds }) => milliseconds), [7_800, -2_000])
})
