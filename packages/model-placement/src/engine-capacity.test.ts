import test from 'ava'
import { createEngineCapacity } from './engine-capacity.js'

test('nothing is known before an engine was strained', (t) => {
  const capacity = createEngineCapacity()
  capacity.observe([{ work: 50, isStrained: false }])
  t.is(capacity.requestsPerSecond(1), undefined)
})

test('the estimate settles between what engines serve well and what strains them', (t) => {
  const capacity = createEngineCapacity()
  for (let step = 0; step < 200; step++) {
    capacity.observe([{ work: 9, isStrained: true }, { work: 6, isStrained: true }, { work: 4, isStrained: false }, { work: 0, isStrained: true }])
  }
  const estimate = capacity.requestsPerSecond(1) ?? 0
  t.true(estimate >= 4 && estimate < 6.5)
})

test('an engine that serves more without strain raises the estimate', (t) => {
  const capacity = createEngineCapacity()
  capacity.observe([{ work: 2, isStrained: true }])
  for (let step = 0; step < 100; step++) capacity.observe([{ work: 8, isStrained: false }])
  t.true((capacity.requestsPerSecond(1) ?? 0) > 7)
})

test('a model of twice the size gets half the requests', (t) => {
  const capacity = createEngineCapacity()
  capacity.observe([{ work: 6 * 16_000, isStrained: true }])
  t.is(capacity.requestsPerSecond(16_000), 6)
  t.is(capacity.requestsPerSecond(32_000), 3)
})
