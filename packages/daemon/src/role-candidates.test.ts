import type { Member } from '@fuchsiastage/membership'
import type { VmRecord } from '@fuchsiastage/types'
import test from 'ava'
import { createRoleCandidates } from './role-candidates.js'

const createMember = (name: string): Member => ({
  vm: { name, role: 'entry', region: 'bc-coast', dataCentre: 'van-a', address: '10.0.0.1:8080', state: 'live' }, status: 'alive', isLeaving: false, incarnation: 0
})
const targets = Array.from({ length: 500 }, (_, index): VmRecord =>
  ({ name: `drafter-${index}`, role: 'drafter', region: 'bc-coast', dataCentre: 'van-a', address: '10.0.1.1:8000', state: 'live' }))

// Guards against reading and comparing the members again for each target of a pass.
test('one pass over the targets reads the members a fixed number of times', (t) => {
  let readCount = 0
  const members = ['entry-1', 'entry-2', 'entry-3'].map(createMember)
  const candidates = createRoleCandidates({
    members: () => {
      readCount++
      return members
    },
    liveDaemons: () => {
      readCount++
      return members.map(({ vm }) => vm.name)
    }
  })
  const observersOf = candidates.observerLookup()
  for (const target of targets) t.is(observersOf(target).length, 2)
  t.true(readCount <= 4, `${readCount} times`)
})

test('a new observer lookup reflects a change of the members', (t) => {
  let members = ['entry-1', 'entry-2', 'entry-3'].map(createMember)
  const candidates = createRoleCandidates({ members: () => members, liveDaemons: () => members.map(({ vm }) => vm.name) })
  const [target] = targets
  if (target === undefined) return t.fail('no target')
  const [first] = candidates.observerLookup()(target)
  members = members.filter(({ vm }) => vm.name !== first)
  t.false(candidates.observerLookup()(target).includes(first ?? ''))
})
