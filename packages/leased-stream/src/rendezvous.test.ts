import test from 'ava'
import { rendezvousOrder, rendezvousRank } from './index.js'

const members = Array.from({ length: 74 }, (_, index) => `entry-${String(index).padStart(4, '0')}`)
const KEY_COUNT = 5_900

// Guards against a hash that assigns some daemons many more targets or streams than others.
test('keys are spread evenly over members whose names differ in their last characters', (t) => {
  const counts = new Map(members.map((member) => [member, 0]))
  for (let index = 0; index < KEY_COUNT; index++) {
    for (const member of rendezvousOrder(`target-${String(index).padStart(5, '0')}`, members).slice(0, 2)) counts.set(member, (counts.get(member) ?? 0) + 1)
  }
  const mean = KEY_COUNT * 2 / members.length
  const deviation = Math.sqrt([...counts.values()].reduce((sum, count) => sum + (count - mean) ** 2, 0) / members.length)
  // For a uniformly random assignment the standard deviation is about the square root of the mean, 12.6.
  t.true(deviation < 1.5 * Math.sqrt(mean), `deviation ${deviation}`)
})

test('removing a member does not change the order of the others', (t) => {
  const order = rendezvousOrder('claims.7', members)
  const [first, ...others] = order
  t.deepEqual(rendezvousOrder('claims.7', members.filter((member) => member !== first)), others)
  t.is(rendezvousRank('claims.7', members, others[0] ?? '', 3), 1)
})
