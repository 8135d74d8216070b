import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createBrittleTargets } from './index.js'

test('a brittle time belongs to a start of a target, and ends with a response without it, but not with one to an older request', async (t) => {
  const clock = createManualClock()
  const begun: string[] = []
  const brittle = createBrittleTargets({ clock, logger: createMemoryLogger(clock).logger, isKnown: () => true, onBrittle: (target) => begun.push(target) })
  await clock.advance(100)
  brittle.recordAnswer('t1@0', 5, 50)
  t.is(brittle.rejectionsOf('t1@0'), 5)
  t.is(brittle.rejectionsOf('t1@1'), undefined)
  brittle.recordAnswer('t1@0', undefined, 60)
  t.is(brittle.rejectionsOf('t1@0'), 5)
  await clock.advance(100)
  brittle.recordAnswer('t1@0', undefined, 150)
  t.is(brittle.rejectionsOf('t1@0'), undefined)
  t.deepEqual(begun, ['t1@0'])
})

test('daemons learn of brittle targets from each other, also that no rejection is allowed', (t) => {
  const clock = createManualClock()
  const { logger } = createMemoryLogger(clock)
  const [one, other] = [0, 1].map(() => createBrittleTargets({ clock, logger, isKnown: () => true, onBrittle: () => undefined }))
  one?.recordAnswer('t1@0', 0, 0)
  other?.applyUpdates(one?.recentUpdates() ?? [])
  t.is(other?.rejectionsOf('t1@0'), 0)
  t.is(other?.count(), 1)
})
