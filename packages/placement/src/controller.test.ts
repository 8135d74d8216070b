import test from 'ava'
import { isClean, reservationsOf } from './index.js'
import { createRegion } from './test-support/region.js'

const one = { engines: [{ name: 'drafter-1' }], models: { letter: 20_000 }, rules: { letter: {} } } as const

test('a burst of requests for one cold model gives one load', async (t) => {
  const region = createRegion({ engines: [{ name: 'drafter-1' }, { name: 'drafter-2' }], models: { letter: 20_000 }, rules: { letter: { maximumReplicas: 2 } } })
  await region.clock.advance(2_000)
  const answers = Array.from({ length: 200 }, () => region.want('letter'))
  t.true(answers.every(({ kind }) => kind === 'expected'))
  await region.clock.advance(10_000)
  t.is(region.loadedOn('letter').length, 1)
  t.is([...region.engines.values()].reduce((sum, engine) => sum + engine.loadsStarted('letter'), 0), 1)
  t.is(region.want('letter').kind, 'ready')
  t.is(region.daemons[1]?.controller.directory.replicasOf('letter').get('van-a')?.length, 1)
  t.deepEqual(region.violations(), [])
})
