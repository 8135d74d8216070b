import test from 'ava'
import { decideFreshness, majoritySize, type FreshnessInput, type MemberAnswer } from './index.js'

const members = ['a', 'b', 'c', 'd', 'e']
const answer = (member: string, fields: { sentAt?: number, uptime?: number, nextOffset?: number } = {}): MemberAnswer => {
  const sentAt = fields.sentAt ?? 95_000
  return { member, sentAt, receivedAt: sentAt + 2, position: { nextOffset: fields.nextOffset ?? 7, version: 3, uptimeMilliseconds: fields.uptime ?? 90_000 } }
}
const base: FreshnessInput = {
  now: 100_000,
  mode: 'serve-with-majority',
  daemon: 'a',
  startedAt: 0,
  status: 'current',
  nextOffset: 7,
  verifiedAt: 50_000,
  members,
  answers: [answer('b'), answer('c')],
  memberListDifference: 0
}
const decide = (fields: Partial<FreshnessInput>): string => {
  const decision = decideFreshness({ ...base, ...fields })
  return decision.kind === 'serve' ? `serve: ${decision.basis}` : `refuse: ${decision.reason}`
}

test('freshness decisions', (t) => {
  t.snapshot({
    'verified 10 s ago': decide({ verifiedAt: 90_000, answers: [] }),
    'verified 10.001 s ago, no responses': decide({ verifiedAt: 89_999, answers: [] }),
    'verified 50 s ago, mode refuse': decide({ mode: 'refuse' }),
    'never verified': decide({ verifiedAt: undefined }),
    'state is incomplete': decide({ status: 'incomplete', verifiedAt: 99_000 }),
    'next record has a newer format': decide({ status: 'unsupported-format', verifiedAt: 99_000 }),
    'three of five members, including this one': decide({}),
    'two of five members, including this one': decide({ answers: [answer('b')] }),
    'member lists may differ by two, three of five members': decide({ memberListDifference: 2 }),
    'member lists may differ by two, all members': decide({ memberListDifference: 2, answers: ['b', 'c', 'd', 'e'].map((member) => answer(member)) }),
    'a response to a request sent more than 10 s ago does not count': decide({ answers: [answer('b'), answer('c', { sentAt: 89_999 })] }),
    'a member that restarted after the verified read does not count': decide({ answers: [answer('b'), answer('c', { uptime: 45_000 })] }),
    'a former member does not count': decide({ answers: [answer('b'), answer('z')] }),
    'one member has more records': decide({ answers: [answer('b'), answer('c'), answer('d', { nextOffset: 8 })] }),
    'a restarted member has more records': decide({ answers: [answer('b'), answer('c'), answer('d', { nextOffset: 8, uptime: 1 })] }),
    'this daemon started after the verified read that it obtained from a peer': decide({ startedAt: 55_000 }),
    'this daemon obtained a verified read from more than 10 s before its start': decide({ startedAt: 61_000, answers: ['b', 'c', 'd', 'e'].map((member) => answer(member)) })
  })
})

test('two majorities share a member if the member lists differ by the permitted number', (t) => {
  for (let count = 1; count <= 40; count++) {
    for (const difference of [0, 1, 2]) {
      for (let replaced = 0; replaced <= Math.min(difference, count - 1); replaced++) {
        // Both lists have `count` members, and `replaced` of them are not in the other list.
        const union = count + replaced
        t.true(2 * majoritySize(count, difference) > union)
      }
    }
  }
})
