import { createManualClock } from '@fuchsiastage/clock'
import test from 'ava'
import fc from 'fast-check'
import { createTargetSpeeds, type TargetSpeeds } from './index.js'

const GROUP = 'chat first-event'

/** Records times of targets whose work takes the given factors, with noise, and with more queued requests at odd rounds. */
function learn (speeds: TargetSpeeds, factors: readonly number[], rounds: number, noise: (index: number) => number = () => 1): void {
  for (let round = 0; round < rounds; round++) {
    for (const [index, factor] of factors.entries()) {
      const requests = round % 2 * 7
      const promptTokens = 1_000 * (1 + round % 3)
      const milliseconds = factor * (50 + promptTokens / 10) * (1 + requests / 10) * noise(round * factors.length + index)
      speeds.recordTime(`t${index}`, { group: GROUP, milliseconds, promptTokens, requests })
    }
  }
}

test('the ratio of a slow and a fast target is learned from prompts and queues of different lengths', (t) => {
  const speeds = createTargetSpeeds(createManualClock())
  learn(speeds, [1, 1, 1, 1.8, 0.8], 60)
  t.true(speeds.relativeTime('t3') > 1.35 && speeds.relativeTime('t3') < 1.8, `${speeds.relativeTime('t3')}`)
  t.true(speeds.relativeTime('t4') < 0.9)
  t.true(speeds.relativeTime('t0') < 1.05)
  t.true(Math.abs((speeds.usualMilliseconds(GROUP, 2_000) ?? 0) - 360) < 60)
})

test('equal targets keep the ratio of 1 in most cases, however their times vary', (t) => {
  fc.assert(fc.property(fc.array(fc.double({ min: 0.4, max: 2.5, noNaN: true }), { minLength: 300, maxLength: 300 }), (noise) => {
    const speeds = createTargetSpeeds(createManualClock())
    learn(speeds, [1, 1, 1, 1, 1], 60, (index) => noise[index] ?? 1)
    const ratios = [0, 1, 2, 3, 4].map((index) => speeds.relativeTime(`t${index}`))
    return ratios.filter((ratio) => ratio === 1).length >= 3 && ratios.every((ratio) => ratio > 0.7 && ratio < 1.4)
  }), { numRuns: 50, seed: 1 })
  t.pass()
})

test('a few samples, a single target and old samples are no evidence', async (t) => {
  const clock = createManualClock()
  const speeds = createTargetSpeeds(clock)
  learn(speeds, [1, 3], 3)
  t.deepEqual([speeds.relativeTime('t0'), speeds.relativeTime('t1'), speeds.relativeTime('unknown')], [1, 1, 1])
  const alone = createTargetSpeeds(clock)
  learn(alone, [3], 100)
  t.is(alone.relativeTime('t0'), 1)
  learn(speeds, [1, 3], 60)
  t.true(speeds.relativeTime('t1') > 1.3)
  await clock.advance(200_000)
  t.is(speeds.relativeTime('t1'), 1)
})

test('a stated figure counts against the usual figure of its target, and only for a short time', async (t) => {
  const clock = createManualClock()
  const speeds = createTargetSpeeds(clock)
  speeds.recordStated('t0', 2)
  t.true(speeds.relativeTime('t0') > 1.5)
  await clock.advance(150)
  const faded = speeds.relativeTime('t0')
  t.true(faded > 1.1 && faded < 1.5, `${faded}`)
  await clock.advance(150)
  t.is(speeds.relativeTime('t0'), 1)
  // A target that always states the same figure is not slower now than it was when its times were learned.
  for (let index = 0; index < 200; index++) speeds.recordStated('t1', 2)
  t.true(speeds.relativeTime('t1') < 1.03)
})
