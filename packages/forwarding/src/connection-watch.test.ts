import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { watchConnection, type ConnectionWatch } from './connection-watch.js'
import { createTargetReachability, type TargetReachability } from './target-reachability.js'

interface Fixture {
  readonly clock: ManualClock
  readonly reachability: TargetReachability
  readonly watch: ConnectionWatch
  readonly calls: string[]
  readonly cutOff: () => Promise<void>
}

function createFixture (maximumSilenceMilliseconds?: number): Fixture {
  const clock = createManualClock()
  const reachability = createTargetReachability({ clock, logger: createMemoryLogger(clock).logger, usableCount: () => 1 })
  const calls: string[] = []
  const watch = watchConnection({ clock, reachability, maximumSilenceMilliseconds, onSlowConnect: () => calls.push('slow'), onCutOff: () => calls.push('cut off') })
  const cutOff = async (): Promise<void> => {
    reachability.recordUnreached('t1@0', clock.now())
    await clock.settle()
  }
  return { clock, reachability, watch, calls, cutOff }
}

test('a connection that takes long is reported, and given up as soon as this daemon is known to be cut off', async (t) => {
  const { clock, calls, cutOff } = createFixture()
  await clock.advance(99)
  t.deepEqual(calls, [])
  await clock.advance(1)
  t.deepEqual(calls, ['slow'])
  await cutOff()
  t.deepEqual(calls, ['slow', 'cut off'])
})

test('a request that must not be sent again waits for its target, however long the connection is silent', async (t) => {
  const { clock, watch, calls, cutOff } = createFixture()
  watch.recordConnected()
  await cutOff()
  await clock.advance(60_000)
  t.deepEqual(calls, [])
})

test('a silent connection is given up only while this daemon is cut off, and one that goes on is not', async (t) => {
  const silent = createFixture(1_000)
  silent.watch.recordConnected()
  await silent.clock.advance(5_000)
  t.deepEqual(silent.calls, [])
  await silent.cutOff()
  t.deepEqual(silent.calls, ['cut off'])

  const lively = createFixture(1_000)
  lively.watch.recordConnected()
  await lively.cutOff()
  for (let event = 0; event < 10; event++) {
    await lively.clock.advance(500)
    lively.watch.recordBytes()
  }
  t.deepEqual(lively.calls, [])
  await lively.clock.advance(1_000)
  t.deepEqual(lively.calls, ['cut off'])
})

// A daemon without processor time took connections that were established for slow ones, counted itself as cut off, and broke off requests.
test('what has arrived while this process was busy counts before its time limits', async (t) => {
  const connecting = createFixture()
  setImmediate(connecting.watch.recordConnected)
  await connecting.clock.advance(400)
  t.deepEqual(connecting.calls, [])

  const answering = createFixture(1_000)
  answering.watch.recordConnected()
  await answering.clock.advance(3_000)
  answering.reachability.recordUnreached('t1@0', answering.clock.now())
  setImmediate(answering.watch.recordBytes)
  await answering.clock.settle()
  t.deepEqual(answering.calls, [])
})

test('a connection that ended is not watched any more', async (t) => {
  const { clock, watch, calls, cutOff } = createFixture(1_000)
  watch.stop()
  await cutOff()
  await clock.advance(5_000)
  t.deepEqual(calls, [])
})
