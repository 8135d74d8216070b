import test from 'ava'
import { INITIAL_RECORD, mergeRecord, type MemberRecord } from './member-records.js'
import type { MemberCode } from './messages.js'

function merge (...updates: ReadonlyArray<readonly [MemberCode, number]>): MemberRecord {
  return updates.reduce<MemberRecord>((record, [code, incarnation]) => mergeRecord(record, code, incarnation) ?? record, INITIAL_RECORD)
}

test('within one incarnation the most severe status wins, in whatever order the updates arrive', (t) => {
  t.is(merge(['s', 0], ['a', 0]).code, 's')
  t.is(merge(['f', 0], ['s', 0], ['l', 0], ['a', 0]).code, 'f')
  t.is(merge(['a', 0], ['f', 0]).code, 'f')
})

test('an update with a higher incarnation replaces any status, one with a lower incarnation is ignored', (t) => {
  t.deepEqual(merge(['f', 3], ['a', 4]), { incarnation: 4, code: 'a', isLeaving: false })
  t.deepEqual(merge(['a', 4], ['f', 3]), { incarnation: 4, code: 'a', isLeaving: false })
})

test('a leaving member stays leaving while it is suspect, until it is alive with a higher incarnation', (t) => {
  t.true(merge(['l', 1], ['s', 1]).isLeaving)
  t.true(merge(['l', 1], ['s', 1], ['l', 2]).isLeaving)
  t.false(merge(['l', 1], ['s', 1], ['a', 2]).isLeaving)
})
