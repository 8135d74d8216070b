import { createManualClock } from '@fuchsiastage/clock'
import test from 'ava'
import fastCheck from 'fast-check'
import { chooseConnectionsToClose, chooseHeadsToClose, createBlockPool, createBodyBuffer, createClientMemory, deriveClientCapacity, type ClientCapacity, type ReceivingHold } from './index.js'

const BLOCK = 65_536
const CAPACITY: ClientCapacity = { bodyBytes: 20 * BLOCK, largeBodyBytes: 16 * BLOCK, responseBytes: 1_000, copyBytes: 1_000, headBytes: 1_000, maximumUnfinishedBodies: 8, maximumConnections: 10 }

test('the limits of the smallest, a usual and the largest machine', (t) => {
  t.snapshot(deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 }))
  t.snapshot(deriveClientCapacity({ memoryMegabytes: 320, fileDescriptors: 4_000 }))
  t.snapshot(deriveClientCapacity({ memoryMegabytes: 602, fileDescriptors: 10_250 }))
})

test('every machine has room for a body of the default limit and for hundreds of connections', (t) => {
  for (const memoryMegabytes of [100, 160, 602]) {
    const { largeBodyBytes, maximumConnections } = deriveClientCapacity({ memoryMegabytes, fileDescriptors: 2_200 })
    t.true(largeBodyBytes >= 4_194_304)
    t.true(maximumConnections >= 500)
  }
})

interface Begun { readonly hold: ReceivingHold | undefined, readonly isShed: () => boolean }

function begin (memory: ReturnType<typeof createClientMemory>): Begun {
  let isShed = false
  return { hold: memory.receiveBody(() => { isShed = true }), isShed: () => isShed }
}

test('a large body that makes no progress is given up in favour of another one', async (t) => {
  const clock = createManualClock()
  const memory = createClientMemory(clock, CAPACITY)
  const stalled = begin(memory)
  t.true(stalled.hold?.receive(10 * BLOCK))
  await clock.advance(1_000)
  const other = begin(memory)
  t.true(other.hold?.receive(10 * BLOCK))
  t.true(stalled.isShed())
  t.false(stalled.hold?.receive(1))
  stalled.hold?.release()
  t.is(memory.usage().bodyBytes, 10 * BLOCK)
})

test('a body that trickles is given up like one that makes no progress', async (t) => {
  const clock = createManualClock()
  const memory = createClientMemory(clock, CAPACITY)
  const trickling = begin(memory)
  t.true(trickling.hold?.receive(10 * BLOCK))
  await clock.advance(900)
  t.true(trickling.hold?.receive(1))
  await clock.advance(100)
  t.true(begin(memory).hold?.receive(10 * BLOCK))
  t.true(trickling.isShed())
})

test('while all large bodies make progress, the newest one is given up', (t) => {
  const memory = createClientMemory(createManualClock(), CAPACITY)
  const [first, second, third] = [begin(memory), begin(memory), begin(memory)]
  t.true(first.hold?.receive(6 * BLOCK))
  t.true(second.hold?.receive(6 * BLOCK))
  t.false(third.hold?.receive(6 * BLOCK))
  t.true(first.hold?.receive(6 * BLOCK))
  t.deepEqual([first, second].map(({ isShed }) => isShed()), [false, true])
  t.is(memory.usage().bodyBytes, 12 * BLOCK)
})

test('a body that is complete is not given up, and small bodies have memory that large ones do not get', (t) => {
  const memory = createClientMemory(createManualClock(), CAPACITY)
  const complete = begin(memory)
  t.true(complete.hold?.receive(16 * BLOCK))
  complete.hold?.complete()
  t.false(begin(memory).hold?.receive(2 * BLOCK))
  t.true(begin(memory).hold?.receive(BLOCK))
  t.false(complete.isShed())
  complete.hold?.release()
  t.true(begin(memory).hold?.receive(2 * BLOCK))
})

test('a small body takes the place of a large one that is not complete', (t) => {
  const memory = createClientMemory(createManualClock(), { ...CAPACITY, largeBodyBytes: CAPACITY.bodyBytes })
  const large = begin(memory)
  t.true(large.hold?.receive(20 * BLOCK))
  const small = begin(memory)
  t.true(small.hold?.receive(1))
  t.true(large.isShed())
})

test('too many bodies that are not complete are refused until one makes no progress', async (t) => {
  const clock = createManualClock()
  const memory = createClientMemory(clock, CAPACITY)
  const bodies = Array.from({ length: CAPACITY.maximumUnfinishedBodies }, () => begin(memory))
  t.is(begin(memory).hold, undefined)
  await clock.advance(1_000)
  t.not(begin(memory).hold, undefined)
  t.is(bodies.filter(({ isShed }) => isShed()).length, 1)
})

test('the memory of all bodies stays within the budget and is given back, whatever arrives', (t) => {
  const action = fastCheck.record({ body: fastCheck.nat(20), bytes: fastCheck.oneof(fastCheck.nat(20_000), fastCheck.nat(6 * BLOCK)), kind: fastCheck.constantFrom('receive', 'receive', 'receive', 'complete', 'release', 'wait') })
  fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(action, { maxLength: 200 }), async (actions) => {
    const clock = createManualClock()
    const memory = createClientMemory(clock, CAPACITY)
    const bodies = new Map<number, Begun>()
    for (const { body, bytes, kind } of actions) {
      const begun = bodies.get(body) ?? begin(memory)
      bodies.set(body, begun)
      if (kind === 'receive') begun.hold?.receive(bytes)
      if (kind === 'complete') begun.hold?.complete()
      if (kind === 'release') {
        begun.hold?.release()
        bodies.delete(body)
      }
      if (kind === 'wait') await clock.advance(400)
      const { bodyBytes, unfinishedBodies } = memory.usage()
      if (bodyBytes > CAPACITY.bodyBytes || unfinishedBodies > CAPACITY.maximumUnfinishedBodies) return false
    }
    for (const { hold } of bodies.values()) hold?.release()
    return memory.usage().bodyBytes === 0 && memory.usage().unfinishedBodies === 0
  }), { numRuns: 200 })
  t.pass()
})

test('responses are held up to their limit, and a single copy of a body is always granted', (t) => {
  const memory = createClientMemory(createManualClock(), CAPACITY)
  const release = memory.holdResponse(600)
  t.is(memory.holdResponse(500), undefined)
  release?.()
  release?.()
  t.is(memory.usage().responseBytes, 0)
  t.not(memory.holdResponse(500), undefined)
  const releaseCopies = memory.holdCopies(5_000)
  t.not(releaseCopies, undefined)
  t.is(memory.holdCopies(1), undefined)
  releaseCopies?.()
  t.not(memory.holdCopies(1), undefined)
})

test('a body is the same in one piece and in many, and its blocks are used again', (t) => {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.nat(100_000), { maxLength: 12 }), (lengths) => {
    let blocks = 0
    const pool = createBlockPool()
    const buffer = createBodyBuffer({ ...pool, acquire: () => { blocks++; return pool.acquire() }, release: (block) => { blocks--; pool.release(block) } })
    const pieces = lengths.map((length, index) => Buffer.alloc(length, `${index}-piece`))
    pieces.forEach(buffer.append)
    const { bytes, free } = buffer.take()
    const isSame = bytes.equals(Buffer.concat(pieces))
    free()
    return isSame && blocks === 0
  }), { numRuns: 50 })
  t.pass()
})

test('a large body that is freed is empty', (t) => {
  const buffer = createBodyBuffer(createBlockPool())
  buffer.append(Buffer.alloc(100_000, 'x'))
  const { bytes, free } = buffer.take()
  t.is(bytes.toString(), 'x'.repeat(100_000))
  free()
  t.is(bytes.length, 0)
})

test('connections that clients may still reuse are not closed for new ones', (t) => {
  const state = { activeRequests: 0, hasServed: true, headBytes: 0 }
  const connections = [
    ['reused', { ...state, waitingSince: 8_000 }],
    ['idle', { ...state, waitingSince: 7_999 }],
    ['active', { ...state, activeRequests: 1, waitingSince: 0 }],
    ['new', { ...state, hasServed: false, waitingSince: 19_000 }],
    ['unused', { ...state, hasServed: false, waitingSince: 18_000 }]
  ] as const
  t.deepEqual(chooseConnectionsToClose(connections, 20_000, { idleMilliseconds: 15_000, maximumCount: 5 }), ['idle', 'unused'])
  t.deepEqual(chooseConnectionsToClose(connections, 20_000, { idleMilliseconds: 15_000, maximumCount: 1 }), ['idle'])
})

// With many kept-alive connections, all new ones were refused for up to 12 s. A new one brings a request, an idle one hardly in the same millisecond.
test('connections that were idle for a second make place for new ones if there are no others', (t) => {
  const state = { activeRequests: 0, hasServed: true }
  const connections = [
    ['recent', { ...state, waitingSince: 19_500 }],
    ['idle', { ...state, waitingSince: 18_500 }],
    ['longer', { ...state, waitingSince: 15_000 }],
    ['active', { ...state, activeRequests: 1, waitingSince: 10_000 }],
    ['new', { ...state, hasServed: false, waitingSince: 19_500 }]
  ] as const
  t.deepEqual(chooseConnectionsToClose(connections, 20_000, { idleMilliseconds: 15_000, maximumCount: 5 }), ['longer', 'idle'])
})

test('the largest unfinished heads are closed when all together are too large', (t) => {
  const connections = [['a', { headBytes: 500 }], ['b', { headBytes: 900 }], ['c', { headBytes: 10 }]] as const
  t.deepEqual(chooseHeadsToClose(connections, 1_410), [])
  t.deepEqual(chooseHeadsToClose(connections, 600), ['b'])
})
