import test from 'ava'
import { createManualClock } from './index.js'

test('timers run in the order of their due times, not in the order in which they were set', async (t) => {
  const clock = createManualClock()
  const order: string[] = []
  clock.setTimer(20, () => order.push('second'))
  clock.setTimer(10, () => order.push('first'))
  await clock.advance(20)
  t.deepEqual(order, ['first', 'second'])
})

test('a timer that is set by a due timer runs within the same advance', async (t) => {
  const clock = createManualClock()
  const times: number[] = []
  clock.setTimer(10, () => clock.setTimer(10, () => times.push(clock.now())))
  await clock.advance(30)
  t.deepEqual(times, [20])
  t.is(clock.now(), 30)
})

test('a sleep ends immediately when its signal aborts, and its timer is cancelled', async (t) => {
  const clock = createManualClock()
  const controller = new AbortController()
  const sleeping = clock.sleep(1_000, controller.signal)
  controller.abort()
  await sleeping
  t.is(clock.pendingTimers(), 0)
})
