import test from 'ava'
import fc from 'fast-check'
import { createSimulation, type Answer } from './simulation.test-helper.js'

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

test('whatever fails together, a key is sent at most once and not-run is true for good', async (t) => {
  const totals = { runs: 0, sends: 0, answers: new Map<Answer['kind'], number>() }
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 40 }), async (steps) => {
    const simulation = createSimulation(DAEMONS)
    await simulation.clock.advance(3_000)
    const keys = [1, 2, 3].map((suffix) => simulation.key(suffix))
    for (const action of steps) {
      switch (action.kind) {
        case 'call': {
          const key = keys[action.keyNumber]
          const target = simulation.daemon(action.daemon)
          if (key !== undefined) target.gate.run(() => { void target.call({ key, waitMilliseconds: action.waitMilliseconds, isRefusedAfterGrant: action.isRefusedAfterGrant }) })
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
    // After all faults have ended every key still has one answer, and a new key is served.
    const answersBefore = simulation.answers.length
    for (const key of [firstKey ?? '', simulation.key(9)]) {
      for (const name of DAEMONS) void simulation.daemon(name).call({ key, waitMilliseconds: 20_000 })
    }
    await simulation.clock.advance(40_000)
    const late = simulation.answers.slice(answersBefore)
    totals.runs++
    totals.sends += simulation.sends.length
    for (const { kind } of simulation.answers) totals.answers.set(kind, (totals.answers.get(kind) ?? 0) + 1)
    simulation.close()
    const faults = [...simulation.violations()]
    const newKey = simulation.sends.filter(({ key }) => !keys.includes(key)).length
    if (newKey !== 1) faults.push(`a new key was sent ${newKey} times after all faults had ended`)
    if (late.length < 2 * DAEMONS.length) faults.push(`only ${late.length} of ${2 * DAEMONS.length} last calls were answered`)
    if (faults.length > 0) throw new Error(faults.join('; '))
  }), { seed: Number(process.env.CLAIMS_SEED ?? 20_260_101), numRuns: Number(process.env.CLAIMS_RUNS ?? 60) })
  t.log(`runs ${totals.runs}, sends ${totals.sends}, answers ${JSON.stringify(Object.fromEntries(totals.answers))}`)
  t.true(totals.sends > totals.runs)
})
