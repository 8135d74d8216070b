import test from 'ava'
import { chooseEntries, observersOf, type Member, type MemberStatus } from './index.js'
import { makeVm } from './cluster.test-helper.js'

const member = (index: number, status: MemberStatus = 'alive', isLeaving = status === 'leaving'): Member =>
  ({ vm: makeVm(`entry-${index}`, index), status, isLeaving, incarnation: 0 })

const eightMembers = Array.from({ length: 8 }, (unused, index) => member(index))

test('every daemon chooses the same four entry daemons for a caller, one in each of four data centres', (t) => {
  const entries = chooseEntries(eightMembers, '10.9.0.7', 4)
  t.is(entries.length, 4)
  t.is(new Set(entries.map(({ dataCentre }) => dataCentre)).size, 4)
  t.deepEqual(chooseEntries([...eightMembers].reverse(), '10.9.0.7', 4), entries)
})

test('suspect, failed and leaving daemons are not chosen as entry daemons', (t) => {
  const membersOfEachStatus = [member(0, 'suspect'), member(1, 'failed'), member(2, 'leaving'), member(3, 'suspect', true), member(4)]
  t.deepEqual(chooseEntries(membersOfEachStatus, '10.9.0.7', 4).map(({ address }) => address), [member(4).vm.address])
})

test('callers are spread evenly over all daemons', (t) => {
  const counts = new Map<string, number>()
  for (let index = 0; index < 2_000; index++) {
    for (const { address } of chooseEntries(eightMembers, `10.9.${index >> 8}.${index & 255}`, 4)) counts.set(address, (counts.get(address) ?? 0) + 1)
  }
  t.is(counts.size, 8)
  t.true(Math.min(...counts.values()) > 850 && Math.max(...counts.values()) < 1_150)
})

test('the two observers of a target are in its data centre or, when it has too few live daemons, in its region', (t) => {
  const target = makeVm('drafter-1', 0, 'drafter')
  t.deepEqual([...observersOf(target, eightMembers)].sort(), ['entry-0', 'entry-4'])
  const membersWithOneInDataCentre = eightMembers.map((one) => one.vm.name === 'entry-4' ? member(4, 'failed') : one)
  t.is(observersOf(target, membersWithOneInDataCentre)[0], 'entry-0')
  t.is(observersOf(target, membersWithOneInDataCentre).length, 2)
  const membersWithNoneInDataCentre = membersWithOneInDataCentre.filter(({ vm }) => vm.name !== 'entry-0')
  t.is(observersOf(target, membersWithNoneInDataCentre).length, 2)
  t.deepEqual(observersOf({ ...target, region: 'th-north' }, eightMembers), [])
})
