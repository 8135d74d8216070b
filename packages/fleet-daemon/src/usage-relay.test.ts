import { createManualClock } from '@fuchsiastage/clock'
import test from 'ava'
import { createUsageRelay } from './usage-relay.js'

test('reports are merged, passed on once and count as activity for a second', async (t) => {
  const clock = createManualClock()
  const relay = createUsageRelay(clock)
  t.false(relay.isActive())
  relay.add({ demand: [['letters', 2], ['audits', 1]], inUse: ['e1@0 letters'], overloaded: ['e1@0'] })
  relay.add({ demand: [['letters', 3]], inUse: ['e1@0 letters', 'e2@0 audits'], overloaded: [] })
  t.true(relay.isActive())
  const own = { demand: [['letters', 1]] as const, inUse: [], overloaded: ['e3@0'] }
  t.snapshot(relay.merge(own))
  t.deepEqual(relay.merge({ demand: [], inUse: [], overloaded: [] }), { demand: [], inUse: [], overloaded: [] })
  await clock.advance(1_100)
  t.false(relay.isActive())
})
