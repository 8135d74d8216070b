import test from 'ava'
import { createEngineCapacity } from './engine-capacity.js'

test('the capacity is undefined until an engine has been overloaded', (t) => {
  const capacity = createEngineCapacity()
  capacity.observe([{ weightedRate: 50, isOverloaded: false }])
  t.is(capacity.requestsPerSecond(1), undefined)
})

test('the estimate converges between the rates that engines sustain and the rates that overload them', (t) => {
  const capacity = createEngineCapacity()
  for (let step = 0; step < 200; step++) {
    capacity.observe([{ weightedRate: 9, isOverloaded: true }, { weightedRate: 6, isOverloaded: true }, { weightedRate: 4, isOverloaded: false }, { weightedRate: 0, isOverloaded: true }])
  }
  const estimate = capacity.requestsPerSecond(1) ?? 0
  t.true(estimate >= 4 && estimate < 6.5)
})

test('an engine that sustains a higher rate raises the estimate', (t) => {
  const capacity = createEngineCapacity()
  capacity.observe([{ weightedRate: 2, isOverloaded: true }])
  for (let step = 0; step < 100; step++) capacity.observe([{ weightedRate: 8, isOverloaded: false }])
  t.true((capacity.requestsPerSecond(1) ?? 0) > 7)
})

test('the capacity for a model of twice the size is half the requests', (t) => {
  const capacity = createEngineCapacity()
  capacity.observe([{ weightedRate: 6 * 16_000, isOverloaded: true }])
  t.is(capacity.requestsPerSecond(16_000), 6)
  t.is(capacity.requestsPerSecond(32_000), 3)
})
