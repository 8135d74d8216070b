import type { ServingConfiguration } from '@fuchsiastage/fleet'
import test from 'ava'
import { answer, createFixture, entryOf, SAFE, type Fixture, type FixtureOptions } from './forwarder-fixture.test-helper.js'

type Change = (configuration: ServingConfiguration) => ServingConfiguration

const withoutRoutes: Change = (configuration) => ({ ...configuration, version: 2, routes: [] })
const withoutServices: Change = (configuration) => ({ ...withoutRoutes(configuration), services: new Map() })
const withTimeout = (timeoutMilliseconds: number): Change => (configuration) => ({ ...configuration, version: 2, routes: configuration.routes.map((route) => ({ ...route, timeoutMilliseconds })) })

/** Creates a forwarder whose configuration changes while its requests are in progress. */
function createChanging (change: Change, options: Partial<FixtureOptions>): Fixture & { readonly change: () => void } {
  let isChanged = false
  const fixture = createFixture({ kind: SAFE, answers: [answer(200)], configure: (configuration) => isChanged ? change(configuration) : configuration, ...options })
  return { ...fixture, change: () => { isChanged = true } }
}

for (const [name, change] of [['no route', withoutRoutes], ['no service', withoutServices], ['a shorter timeout', withTimeout(100)], ['a longer timeout', withTimeout(5_000)]] as const) {
  test(`a request that waits for a placement or for a paused target is answered although a new configuration has ${name} for it`, async (t) => {
    let place: () => void = () => undefined
    const placed = new Promise<void>((resolve) => { place = resolve })
    const waiting = createChanging(change, { entries: [entryOf('t1', 'drafter')], awaitPlacement: async () => await placed.then(() => ({ kind: 'ready', target: 't1@0' })) })
    const outcome = waiting.run('/model/x')
    await waiting.clock.settle()
    waiting.change()
    await waiting.clock.advance(200)
    place()
    t.deepEqual(await outcome, { kind: 'delivered', status: 200 })

    const paused = createChanging(change, { entries: [entryOf('t1', 'ledger')], answers: [answer(503, [], { headers: ['not-executed', 'pause=60'] }), answer(200)] })
    const resent = paused.run()
    await paused.clock.settle()
    paused.change()
    await paused.clock.advance(200)
    t.deepEqual(await resent, { kind: 'delivered', status: 200 })
  })

  test(`a request that its target has not answered ends with a response at the timeout that it began with although a new configuration has ${name} for it`, async (t) => {
    const silent = createChanging(change, { answers: ['unresponsive'] })
    let isEnded = false
    const outcome = silent.run().finally(() => { isEnded = true })
    await silent.clock.settle()
    silent.change()
    await silent.clock.advance(790)
    t.false(isEnded)
    await silent.clock.advance(10)
    t.like(await outcome, { kind: 'unknown', status: 504 })
  })
}
