import { createManualClock } from '@fuchsiastage/clock'
import { createSeededRandom } from '@fuchsiastage/membership'
import type { RequestTraits } from '@fuchsiastage/request-quarantine'
import test from 'ava'
import { startSimulatedExchange, type SimulatedExchange } from './simulated-exchange.js'

const PROMPT: RequestTraits = { parts: ['system', 'deadly'], fingerprint: 'f' }
const PLAIN: RequestTraits = { parts: [], fingerprint: 'same' }
const DAEMONS = 20

/** Starts a fleet whose first daemon observes three crashes at the same prompt or request, and waits until a trial is due at all daemons. */
async function startFleet (traits = PROMPT, trialMilliseconds = 60_000): Promise<{ readonly exchange: SimulatedExchange, readonly tryEverywhere: () => Promise<readonly boolean[]> }> {
  const clock = createManualClock()
  const exchange = startSimulatedExchange(clock, DAEMONS, createSeededRandom(1))
  await clock.advance(2_000)
  const [observer] = exchange.nodes
  for (const target of ['e1', 'e2', 'e3']) {
    const sentAt = clock.now()
    await clock.advance(100)
    observer?.quarantine.recordLoss({ target, service: 'drafter', traits: traits === PLAIN ? PLAIN : { ...traits, fingerprint: target }, sentAt, hasBegun: true })
    observer?.quarantine.recordUnreachable(target)
    for (let served = 0; served < 3; served++) observer?.quarantine.recordServed('drafter', { parts: ['system'], fingerprint: `sound-${served}` })
  }
  await clock.advance(trialMilliseconds)
  const tryEverywhere = async (): Promise<readonly boolean[]> => {
    const answers = exchange.nodes.map(async ({ trials }) => await trials.acquire(traits, new AbortController().signal))
    await clock.advance(1_000)
    return await Promise.all(answers)
  }
  return { exchange, tryEverywhere }
}

test('of requests at all daemons at the same time, one is tried', async (t) => {
  const { exchange, tryEverywhere } = await startFleet()
  t.deepEqual(exchange.nodes.map(({ quarantine }) => quarantine.check(PROMPT).kind), Array.from({ length: DAEMONS }, () => 'trial'))
  t.is((await tryEverywhere()).filter((isGranted) => isGranted).length, 1)
  t.is((await tryEverywhere()).filter((isGranted) => isGranted).length, 0)
  exchange.stop()
})

test('no request is tried while the daemon that grants trials does not respond', async (t) => {
  const { exchange, tryEverywhere } = await startFleet()
  for (const [index, { name }] of exchange.nodes.entries()) for (const other of exchange.nodes.slice(index + 1)) exchange.cut(name, other.name)
  t.true((await tryEverywhere()).filter((isGranted) => isGranted).length <= 1)
  exchange.stop()
})

test('of a request that comes again at all daemons at the same time, one is tried', async (t) => {
  const { exchange, tryEverywhere } = await startFleet(PLAIN, 300_000)
  t.deepEqual(exchange.nodes.map(({ quarantine }) => quarantine.check(PLAIN).kind), Array.from({ length: DAEMONS }, () => 'trial'))
  t.is((await tryEverywhere()).filter((isGranted) => isGranted).length, 1)
  exchange.stop()
})
