import test from 'ava'
import fc from 'fast-check'
import { createReplicaDirectory } from './directory.js'
import {
  changeReservations, EMPTY_PLACEMENT_STATE, reservationKey, reservationsByModel, reservationsOf, reservationsOn, unsettledReservations, type PlacementState, type Reservation
} from './state.js'

const TARGETS = ['drafter-1', 'drafter-2', 'drafter-3']
const MODELS = ['renewal-letter', 'clause-review', 'estate-letter']

const change = fc.record({
  target: fc.constantFrom(...TARGETS),
  model: fc.constantFrom(...MODELS),
  isDeleted: fc.boolean(),
  isUsable: fc.boolean(),
  isSettled: fc.boolean(),
  memoryMegabytes: fc.double({ min: 0.1, max: 100, noNaN: true })
})

const targets: PlacementState['targets'] = new Map(TARGETS.map((target, index) =>
  [target, { target, incarnation: `${target}#1`, address: '127.0.0.1:1', role: 'drafter', dataCentre: index === 0 ? 'van-a' : 'kam-a', fencing: 'checked', memoryMegabytes: 1_000 }]))

const sorted = (reservations: readonly Reservation[]): readonly string[] => reservations.map(({ target, model }) => reservationKey(target, model)).sort()

// Guards against daemons with different placement states: an index updated record by record must equal
// the index that a daemon builds from a snapshot.
test('an index updated incrementally equals an index built from the full state', (t) => {
  fc.assert(fc.property(fc.array(fc.array(change, { maxLength: 3 }), { maxLength: 30 }), (records) => {
    let state: PlacementState = { ...EMPTY_PLACEMENT_STATE, targets }
    const directory = createReplicaDirectory(() => state)
    let counter = 0
    for (const changes of records) {
      const reservations = changeReservations(state, changes.map(({ target, model, isDeleted, isUsable, isSettled, memoryMegabytes }) => ({
        target,
        model,
        reservation: isDeleted
          ? undefined
          : {
              reservationId: `r${++counter}`, lastOrderId: `r${counter}`, target, model, baseModel: null, memoryMegabytes, configurationVersion: 1, isUsable, unsettled: isSettled ? [] : [{ orderId: `r${counter}`, author: 'entry-1', epoch: 1 }]
            }
      })))
      state = { ...state, reservations }
      const rebuilt: PlacementState = { ...state, reservations: new Map(reservations) }
      const fresh = createReplicaDirectory(() => rebuilt)
      for (const target of TARGETS) {
        // Floating-point sums of memory depend on the order within a group, so the order must be the same.
        t.deepEqual(reservationsOn(state, target), reservationsOn(rebuilt, target))
        t.deepEqual(directory.modelsOn(target), fresh.modelsOn(target))
        t.is(directory.freeMegabytes(target), fresh.freeMegabytes(target))
      }
      for (const model of MODELS) {
        t.deepEqual(reservationsOf(state, model), reservationsOf(rebuilt, model))
        t.deepEqual(directory.replicasOf(model), fresh.replicasOf(model))
        t.is(directory.replicaCount(model), fresh.replicaCount(model))
      }
      t.deepEqual([...reservationsByModel(state).keys()].sort(), [...reservationsByModel(rebuilt).keys()].sort())
      t.deepEqual(sorted(unsettledReservations(state)), sorted(unsettledReservations(rebuilt)))
    }
  }), { numRuns: 100, seed: 17 })
})

// Guards against a stale directory cache after a new observation has changed the incarnation or data centre of a target.
test('the directory returns the new incarnation of a target whose reservations did not change', (t) => {
  const reservation: Reservation = { reservationId: 'r1', lastOrderId: 'r1', target: 'drafter-1', model: 'renewal-letter', baseModel: null, memoryMegabytes: 10, configurationVersion: 1, isUsable: true, unsettled: [] }
  let state: PlacementState = { ...EMPTY_PLACEMENT_STATE, targets, reservations: new Map([[reservationKey('drafter-1', 'renewal-letter'), reservation]]) }
  const directory = createReplicaDirectory(() => state)
  t.is(directory.replicasOf('renewal-letter').get('van-a')?.[0]?.targetIncarnation, 'drafter-1#1')
  const drafter = state.targets.get('drafter-1')
  if (drafter === undefined) return t.fail('the target is missing')
  state = { ...state, targets: new Map([...state.targets, ['drafter-1', { ...drafter, incarnation: 'drafter-1#2' }]]) }
  t.is(directory.replicasOf('renewal-letter').get('van-a')?.[0]?.targetIncarnation, 'drafter-1#2')
})
