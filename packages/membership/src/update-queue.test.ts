import test from 'ava'
import type { MembershipUpdate } from './index.js'
import { createUpdateQueue, maximumSends } from './update-queue.js'

const update = (index: number): MembershipUpdate => ['s', `entry-${index}`, 0]

test('the number of updates in a message is limited', (t) => {
  const queue = createUpdateQueue({ maximumUpdates: 12, maximumBytes: 10_000 })
  for (let index = 0; index < 100; index++) queue.add(update(index))
  t.is(queue.take(100).length, 12)
})

test('the size of the updates in a message is limited', (t) => {
  const queue = createUpdateQueue({ maximumUpdates: 1_000, maximumBytes: 200 })
  for (let index = 0; index < 100; index++) queue.add(update(index))
  const taken = queue.take(100)
  t.true(taken.length > 0)
  t.true(Buffer.byteLength(JSON.stringify(taken)) <= 201)
})

test('each update is sent 3 log2(n) times, also when more updates are queued than fit into one message', (t) => {
  const queue = createUpdateQueue({ maximumUpdates: 4, maximumBytes: 10_000 })
  for (let index = 0; index < 10; index++) queue.add(update(index))
  const counts = new Map<string, number>()
  for (let message = 0; message < 1_000; message++) {
    for (const [, name] of queue.take(8)) counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  t.is(maximumSends(8), 9)
  t.deepEqual([...counts.values()], Array.from({ length: 10 }, () => 9))
  t.is(queue.size(), 0)
})

test('a newer status of a member replaces an older one in the queue', (t) => {
  const queue = createUpdateQueue({ maximumUpdates: 12, maximumBytes: 10_000 })
  queue.add(['s', 'entry-1', 0])
  queue.add(['a', 'entry-1', 1])
  t.deepEqual(queue.take(8), [['a', 'entry-1', 1]])
})
