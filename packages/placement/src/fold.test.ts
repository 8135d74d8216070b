import test from 'ava'
import { createLeasedFold, LEASE_KINDS, type LeasedState } from '@fuchsiastage/leased-stream'
import type { JsonValue } from '@fuchsiastage/types'
import { foldPlacement, isSettled, RECORD_KINDS, reservationKey, type PlacementState, type Reservation } from './index.js'

const fold = createLeasedFold(foldPlacement)

type Fields = Readonly<Record<string, JsonValue>>

/** Applies records to the fold with increasing offsets and, within each epoch, increasing sequence numbers. */
function createStream () {
  let state: LeasedState<PlacementState> = fold.empty()
  let offset = 0
  const sequences = new Map<number, number>()
  const apply = (kind: string, epoch: number, author: string, fields: Fields = {}): Fields => {
    const sequence = (sequences.get(epoch) ?? 0) + 1
    sequences.set(epoch, sequence)
    const record = { recordId: `record-${offset}`, kind, formatVersion: 1, epoch, author, sequence, ...fields }
    state = fold.apply(state, record, offset++)
    return record
  }
  const repeat = (record: Fields): void => { state = fold.apply(state, record as never, offset++) }
  const acquire = (epoch: number, author: string): void => { apply(LEASE_KINDS.acquire, epoch, author) }
  const observe = (epoch: number, author: string, fields: Fields = {}): Fields => apply(RECORD_KINDS.observed, epoch, author, {
    target: 'drafter-1', previousIncarnation: null, incarnation: 'a', address: 'drafter-1:8000', role: 'drafter', dataCentre: 'van-a', fencing: 'checked', memoryMegabytes: 80_000, endedOrders: [], usableModels: [], unusableModels: [], ...fields
  })
  const intend = (epoch: number, author: string, orderId: string, fields: Fields = {}): Fields => apply(RECORD_KINDS.intent, epoch, author, {
    orderId, target: 'drafter-1', targetIncarnation: 'a', model: 'letter', baseModel: null, memoryMegabytes: 20_000, replicaLimit: 1, configurationVersion: 1, ...fields
  })
  const settle = (epoch: number, author: string, orderId: string, outcome = 'loaded'): Fields => apply(RECORD_KINDS.settlement, epoch, author, { orderId, outcome })
  const release = (epoch: number, author: string, lastOrderId: string, fields: Fields = {}): Fields => apply(RECORD_KINDS.release, epoch, author, {
    target: 'drafter-1', model: 'letter', reservationId: 'order-1', lastOrderId, fencingToken: epoch, ...fields
  })
  const placement = (): PlacementState => state.payload
  const reservation = (model = 'letter', target = 'drafter-1'): Reservation | undefined => placement().reservations.get(reservationKey(target, model))
  return { apply, repeat, acquire, observe, intend, settle, release, placement, reservation, state: () => state }
}

function createStreamWithReservation (fencing = 'checked') {
  const stream = createStream()
  stream.acquire(1, 'entry-1')
  stream.observe(1, 'entry-1', { fencing })
  const intent = stream.intend(1, 'entry-1', 'order-1')
  return { ...stream, intent }
}

test('an intent of a former epoch is ignored', (t) => {
  const stream = createStream()
  stream.acquire(1, 'entry-1')
  stream.observe(1, 'entry-1')
  stream.acquire(2, 'entry-2')
  stream.intend(1, 'entry-1', 'order-1')
  t.is(stream.placement().reservations.size, 0)
})

test('a release and an observation of a former holder are ignored even if they are otherwise valid', (t) => {
  const stream = createStreamWithReservation()
  stream.settle(1, 'entry-1', 'order-1')
  stream.acquire(2, 'entry-2')
  stream.release(1, 'entry-1', 'order-1', { fencingToken: 9 })
  stream.observe(1, 'entry-1', { previousIncarnation: 'a', incarnation: 'b' })
  t.true(stream.reservation()?.isUsable)
  t.is(stream.placement().targets.get('drafter-1')?.incarnation, 'a')
})

test('an intent that would exceed its replica limit is rejected', (t) => {
  const stream = createStreamWithReservation()
  stream.observe(1, 'entry-1', { target: 'drafter-2' })
  stream.intend(1, 'entry-1', 'order-2', { target: 'drafter-2' })
  t.is(stream.placement().reservations.size, 1)
  stream.intend(1, 'entry-1', 'order-3', { target: 'drafter-2', replicaLimit: 2 })
  t.is(stream.placement().reservations.size, 2)
})

test('an intent that would exceed the memory of the target is rejected', (t) => {
  const stream = createStreamWithReservation()
  stream.intend(1, 'entry-1', 'order-2', { model: 'review', memoryMegabytes: 60_001 })
  t.is(stream.reservation('review'), undefined)
  stream.intend(1, 'entry-1', 'order-3', { model: 'review', memoryMegabytes: 60_000 })
  t.is(stream.reservation('review')?.reservationId, 'order-3')
})

test('an intent for another incarnation or an unknown target is rejected', (t) => {
  const stream = createStreamWithReservation()
  stream.intend(1, 'entry-1', 'order-2', { model: 'review', targetIncarnation: 'b' })
  stream.intend(1, 'entry-1', 'order-3', { model: 'review', target: 'drafter-9' })
  t.is(stream.placement().reservations.size, 1)
})

test('an adapter requires its base model on the same target and prevents the release of the base model', (t) => {
  const stream = createStreamWithReservation()
  stream.intend(1, 'entry-1', 'order-2', { model: 'renewal', baseModel: 'review', memoryMegabytes: 500 })
  t.is(stream.reservation('renewal'), undefined)
  stream.intend(1, 'entry-1', 'order-3', { model: 'renewal', baseModel: 'letter', memoryMegabytes: 500 })
  t.is(stream.reservation('renewal')?.baseModel, 'letter')
  stream.settle(1, 'entry-1', 'order-1')
  stream.release(1, 'entry-1', 'order-1')
  t.not(stream.reservation(), undefined)
})

test('a reservation with an unsettled order of a former epoch is not released, but its load can be repeated', (t) => {
  const stream = createStreamWithReservation('ignored')
  stream.acquire(2, 'entry-2')
  stream.release(2, 'entry-2', 'order-1')
  t.not(stream.reservation(), undefined)
  stream.intend(2, 'entry-2', 'order-2')
  stream.settle(2, 'entry-2', 'order-2')
  t.true(stream.reservation()?.isUsable)
  t.deepEqual(stream.reservation()?.unsettled.map(({ orderId }) => orderId), ['order-1'])
  stream.release(2, 'entry-2', 'order-2')
  t.not(stream.reservation(), undefined)
})

test('on a target that checks fencing tokens, a successful load also settles the orders of earlier epochs', (t) => {
  const stream = createStreamWithReservation('checked')
  stream.acquire(2, 'entry-2')
  stream.intend(2, 'entry-2', 'order-2')
  stream.settle(2, 'entry-2', 'order-2')
  t.true(isSettled(stream.reservation() as Reservation))
})

test('a former holder can settle only its own order, which does not make the replica usable', (t) => {
  const stream = createStreamWithReservation('ignored')
  stream.acquire(2, 'entry-2')
  stream.settle(2, 'entry-2', 'order-1')
  stream.settle(1, 'entry-3', 'order-1')
  t.is(stream.reservation()?.unsettled.length, 1)
  stream.settle(1, 'entry-1', 'order-1')
  t.is(stream.reservation()?.unsettled.length, 0)
  t.false(stream.reservation()?.isUsable)
})

test('without fencing, a second order of the same epoch cannot be added to a reservation', (t) => {
  const stream = createStreamWithReservation('ignored')
  stream.intend(1, 'entry-1', 'order-2')
  t.is(stream.reservation()?.unsettled.length, 1)
})

test('a changed incarnation settles all orders on the target and makes its replicas unusable', (t) => {
  const stream = createStreamWithReservation('ignored')
  stream.acquire(2, 'entry-2')
  stream.observe(2, 'entry-2', { previousIncarnation: 'a', incarnation: 'b', fencing: 'ignored' })
  t.true(isSettled(stream.reservation() as Reservation))
  t.false(stream.reservation()?.isUsable)
})

test('an observation is ignored if another incarnation was recorded after its read started', (t) => {
  const stream = createStreamWithReservation('ignored')
  stream.observe(1, 'entry-1', { previousIncarnation: 'a', incarnation: 'b' })
  stream.intend(1, 'entry-1', 'order-2', { targetIncarnation: 'b' })
  stream.observe(1, 'entry-1', { previousIncarnation: 'a', incarnation: 'a2' })
  t.is(stream.reservation()?.unsettled.length, 1)
  t.is(stream.placement().targets.get('drafter-1')?.incarnation, 'b')
})

test('a late duplicate of an intent creates no reservation after the original was released', (t) => {
  const stream = createStreamWithReservation()
  stream.settle(1, 'entry-1', 'order-1')
  stream.release(1, 'entry-1', 'order-1')
  t.is(stream.reservation(), undefined)
  stream.observe(1, 'entry-1')
  stream.repeat(stream.intent)
  t.is(stream.reservation(), undefined)
})

test('a late duplicate of a rejected intent stays rejected even if it would now be valid', (t) => {
  const stream = createStreamWithReservation()
  const rejected = stream.intend(1, 'entry-1', 'order-2', { model: 'review', memoryMegabytes: 80_000 })
  stream.settle(1, 'entry-1', 'order-1')
  stream.release(1, 'entry-1', 'order-1')
  stream.observe(1, 'entry-1')
  stream.repeat(rejected)
  t.is(stream.reservation('review'), undefined)
})

test('a release is ignored if a newer order was added to the reservation', (t) => {
  const stream = createStreamWithReservation()
  stream.settle(1, 'entry-1', 'order-1')
  stream.intend(1, 'entry-1', 'order-2')
  stream.settle(1, 'entry-1', 'order-2')
  stream.release(1, 'entry-1', 'order-1')
  t.not(stream.reservation(), undefined)
})

test('on a target that checks fencing tokens, a release is ignored until the target has received the token of the releasing epoch', (t) => {
  const stream = createStreamWithReservation()
  stream.settle(1, 'entry-1', 'order-1')
  stream.acquire(2, 'entry-2')
  stream.release(2, 'entry-2', 'order-1', { fencingToken: 1 })
  t.not(stream.reservation(), undefined)
  stream.release(2, 'entry-2', 'order-1', { fencingToken: 2 })
  t.is(stream.reservation(), undefined)
})

test('an observation that a target is permanently removed deletes the target and its reservations', (t) => {
  const stream = createStreamWithReservation('ignored')
  stream.observe(1, 'entry-1', { previousIncarnation: 'a', incarnation: null })
  t.is(stream.placement().reservations.size, 0)
  t.is(stream.placement().targets.size, 0)
})

test('encoding and decoding preserve the state and its encoded text', (t) => {
  const stream = createStreamWithReservation()
  stream.intend(1, 'entry-1', 'order-2', { model: 'renewal', baseModel: 'letter', memoryMegabytes: 500 })
  const encoded = fold.encode(stream.state())
  const decoded = fold.decode(JSON.parse(JSON.stringify(encoded)) as JsonValue)
  t.deepEqual(decoded, stream.state())
  t.is(JSON.stringify(fold.encode(decoded)), JSON.stringify(encoded))
})
