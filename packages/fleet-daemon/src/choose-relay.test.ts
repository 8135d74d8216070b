import test from 'ava'
import { chooseRelay } from './choose-relay.js'

const NAMES = Array.from({ length: 79 }, (_, index) => `entry-${index}`)

test('the square root of the daemons are relays, and the others are spread over them', (t) => {
  const reportCounts = new Map<string, number>()
  const relays = NAMES.filter((name) => {
    const relay = chooseRelay(name, NAMES, 7)
    if (relay !== undefined) reportCounts.set(relay, (reportCounts.get(relay) ?? 0) + 1)
    return relay === undefined
  })
  t.is(relays.length, 9)
  t.deepEqual([...reportCounts.keys()].sort(), [...relays].sort())
  t.true(Math.max(...reportCounts.values()) <= 3 * NAMES.length / relays.length)
})

test('other daemons become relays in another term', (t) => {
  const relaysOf = (term: number): readonly string[] => NAMES.filter((name) => chooseRelay(name, NAMES, term) === undefined)
  t.notDeepEqual(relaysOf(7), relaysOf(8))
  t.deepEqual(relaysOf(7), relaysOf(7))
})
