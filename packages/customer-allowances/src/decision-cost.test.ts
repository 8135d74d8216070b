import { performance } from 'node:perf_hooks'
import { createManualClock } from '@fuchsiastage/clock'
import type { ServingCustomer } from '@fuchsiastage/fleet'
import test from 'ava'
import { createAllowanceClient } from './allowance-client.js'
import { createAllowanceIssuer } from './allowance-issuer.js'

const DECISIONS = 20_000
const ROUNDS = 5
const SIZES = [16, 1_000, 10_000]
/** The logarithm of 10,000 is 3.3 times that of 16; the rest is for caches of the processor and other processes. */
const MAXIMUM_GROWTH = 8

/** Returns the microseconds of one decision, with the issuer at the same daemon, and the bytes of state per customer. */
async function measure (customerCount: number): Promise<{ readonly microseconds: number, readonly bytes: number }> {
  const clock = createManualClock()
  const fleet = (): { readonly responsive: number, readonly known: number } => ({ responsive: 68, known: 68 })
  const customers = Array.from({ length: customerCount }, (_, index): ServingCustomer => ({ name: `customer-${index}`, priority: 1, allowance: { unit: 'tokens', perSecond: 1e9, burst: 1e9, plainTokens: 200 } }))
  const { signal } = new AbortController()
  globalThis.gc?.()
  const before = process.memoryUsage().heapUsed
  const issuer = createAllowanceIssuer({ clock, name: 'one', fleet, canIssue: () => true })
  const client = createAllowanceClient({
    clock, fleet, configurationVersion: () => 1, choose: () => 'one', isActive: () => true, ask: (_issuer, request) => issuer.decide(request), credit: () => 0, onUnresponsive: () => undefined, onDecision: () => undefined, random: Math.random
  })
  for (const customer of customers) await client.acquire(customer, 200, 0, signal)
  globalThis.gc?.()
  const bytes = (process.memoryUsage().heapUsed - before) / customerCount
  const rounds: number[] = []
  for (let round = 0; round < ROUNDS; round++) {
    const startedAt = performance.now()
    for (let index = 0; index < DECISIONS; index++) await client.acquire(customers[index * 7 % customerCount] as ServingCustomer, 200, 0, signal)
    rounds.push((performance.now() - startedAt) * 1_000 / DECISIONS)
  }
  return { microseconds: Math.min(...rounds), bytes }
}

test('the cost of a decision does not grow with the number of customers', async (t) => {
  await measure(16)
  const costs: number[] = []
  for (const size of SIZES) {
    const { microseconds, bytes } = await measure(size)
    t.log(`${size} customers: ${microseconds.toFixed(2)} µs per decision${globalThis.gc === undefined ? '' : `, ${bytes.toFixed(0)} bytes per customer at client and issuer together`}`)
    costs.push(microseconds)
  }
  t.true((costs.at(-1) ?? Infinity) <= MAXIMUM_GROWTH * (costs[0] ?? 0), `${costs.map((cost) => cost.toFixed(2)).join(', ')} µs`)
})
