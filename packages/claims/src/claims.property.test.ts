import test from 'ava'
import fc from 'fast-check'
import { createSimulation, type CallResult } from './simulation.test-helper.js'

const DAEMONS = ['entry-1', 'entry-2', 'entry-3'] as const

const daemon = fc.constantFrom(...DAEMONS)
const keyNumber = fc.nat({ max: 2 })
const call = fc.record({ kind: fc.constant('call' as const), daemon, keyNumber, waitMilliseconds: fc.constantFrom(100, 3_000, 40_000), isRefusedAfterGrant: fc.boolean() })
const pause = fc.record({ kind: fc.constant('pause' as const), daemon })
const resume = fc.record({ kind: fc.constant('resume' as const), daemon })
const restart = fc.record({ kind: fc.constant('restart' as const), daemon })
const cut = fc.record({ kind: fc.constant('cut' as const), daemon, isCut: fc.boolean() })
const down = fc.record({ kind: fc.constant('down' as const), isDown: fc.boolean() })
const lose = fc.record({ kind: fc.constant('lose' as const), replies: fc.nat({ max: 2 }), requests: fc.nat({ max: 2 }) })
const slow = fc.record({ kind: fc.constant('slow' as const), request: fc.constantFrom(2, 300, 5_000, 25_000), reply: fc.constantFrom(2, 300, 5_000) })
const slowPeers = fc.record({ kind: fc.constant('slow-peers' as const), peer: fc.constantFrom(2, 150, 900) })
const expire = fc.record({ kind: fc.constant('expire' as const) })
const wait = fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.constantFrom(1, 5, 15, 25, 100, 350, 1_000, 12_000) })

const step = fc.oneof(
  { weight: 6, arbitrary: call },
  { weight: 8, arbitrary: wait },
  { weight: 2, arbitrary: pause },
  { weight: 3, arbitrary: resume },
  { weight: 1, arbitrary: restart },
  { weight: 1, arbitrary: cut },
  { weight: 1, arbitrary: down },
  { weight: 1, arbitrary: lose },
  { weight: 2, arbitrary: slow },
  { weight: 2, arbitrary: slowPeers },
  { weight: 1, arbitrary: expire }
)

test('property: under any combination of faults, a key is sent at most once, and a call reported as not-run never runs', async (t) => {
  const totals = { runs: 0, sends: 0, results: new Map<CallResult['kind'], number>() }
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 40 }), async (steps) => {
    const simulation = createSimulation(DAEMONS)
    await simulation.clock.advance(3_000)
    const keys = [1, 2, 3].map((suffix) => simulation.key(suffix))
    for (const action of steps) {
      switch (action.kind) {
        case 'call': {
          const key = keys[action.keyNumber]
          const receiver = simulation.daemon(action.daemon)
          if (key !== undefined) receiver.gate.run(() => { void receiver.call({ key, waitMilliseconds: action.waitMilliseconds, isRefusedAfterGrant: action.isRefusedAfterGrant }) })
          break
        }
        case 'pause': simulation.daemon(action.daemon).gate.pause(); break
        case 'resume': simulation.daemon(action.daemon).gate.resume(); break
        case 'restart': simulation.restart(action.daemon); break
        case 'cut': simulation.daemon(action.daemon).log.setCut(action.isCut); break
        case 'down': simulation.service.setDown(action.isDown); break
        case 'lose':
          simulation.service.loseReplies(action.replies)
          simulation.service.loseRequests(action.requests)
          break
        case 'slow':
          simulation.delays.request = action.request
          simulation.delays.reply = action.reply
          break
        case 'slow-peers': simulation.delays.peer = action.peer; break
        case 'expire': simulation.expireToSnapshot(); break
        case 'wait': await simulation.clock.advance(action.milliseconds); break
      }
    }
    await simulation.heal()
    const [firstKey] = keys
    // After all faults have ended, every call with an old key has a result, and a new key is sent once.
    const resultsBefore = simulation.callResults.length
    for (const key of [firstKey ?? '', simulation.key(9)]) {
      for (const name of DAEMONS) void simulation.daemon(name).call({ key, waitMilliseconds: 20_000 })
    }
    await simulation.clock.advance(40_000)
    const finalResults = simulation.callResults.slice(resultsBefore)
    totals.runs++
    totals.sends += simulation.sends.length
    for (const { kind } of simulation.callResults) totals.results.set(kind, (totals.results.get(kind) ?? 0) + 1)
    simulation.close()
    const violations = [...simulation.violations()]
    const newKeySends = simulation.sends.filter(({ key }) => !keys.includes(key)).length
    if (newKeySends !== 1) violations.push(`a new key was sent ${newKeySends} times after all faults had ended`)
    if (finalResults.length < 2 * DAEMONS.length) violations.push(`only ${finalResults.length} of ${2 * DAEMONS.length} final calls had a result`)
    if (violations.length > 0) throw new Error(violations.join('; '))
  }), { seed: Number(process.env.CLAIMS_SEED ?? 20_260_101), numRuns: Number(process.env.CLAIMS_RUNS ?? 60) })
  t.log(`runs ${totals.runs}, sends ${totals.sends}, results ${JSON.stringify(Object.fromEntries(totals.results))}`)
  t.true(totals.sends > totals.runs)
})
