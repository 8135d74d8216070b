import test from 'ava'
import { createEngineCapacity } from './engine-capacity.js'

test('nothing is known before an engine was strained', (t) => {
  const capacity = createEngineCapacity()
  capacity.observe([{ requestsPerSecond: 50, isStrained: false }])
  t.is(capacity.requestsPerSecond(), undefined)
})

test('the estimate settles between what engines serve well and what strains them', (t) => {
  const capacity = createEngineCapacity()
  for (let step = 0; step < 200; step++) {
    capacity.observe([{ requestsPerSecond: 9, isStrained: true }, { requestsPerSecond: 6, isStrained: true }, { requestsPerSecond: 4, isStrained: false }, { requestsPerSecond: 0, isStrained: true }])
  }
  const estimate = capacity.requestsPerSecond() ?? 0
  t.true(estimate >= 4 && estimate < 6.5)
})

test('an engine that serves more without strain raises the estimate', (t) => {
  const capacity = createEngineCapacity()
  capacity.observe([{ requestsPerSecond: 2, isStrained: true }])
  for (let step = 0; step < 100; step++) capacity.observe([{ requestsPerSecond: 8, isStrained: false }])
  t.true((capacity.requestsPerSecond() ?? 0) > 7)
})
