import test from 'ava'
import type { PlacementConfiguration, PlacementTarget } from './interfaces.js'
import { reviewReservations, type ReviewInput } from './review.js'
import { EMPTY_PLACEMENT_STATE, reservationKey, type Reservation } from './state.js'

const REPLICA_COUNT = 40

function createInput (maximumReplicas: number, valueOfTarget: (target: string) => number): ReviewInput {
  const configuration: PlacementConfiguration = {
    version: 1,
    isFresh: true,
    models: new Map([['renewal-letter', { role: 'drafter', memoryMegabytes: 10, weightsMegabytes: 10 }]]),
    adapters: new Map(),
    rules: new Map([['renewal-letter', { dataCentres: ['van-a'], maximumReplicas, minimumWarm: 0 }]]),
    roles: new Map([['drafter', { kind: 'engine', fencing: 'checked', memoryMegabytes: 100, accelerators: 1, maximumConcurrent: 8 }]])
  }
  const names = Array.from({ length: REPLICA_COUNT }, (_, index) => `drafter-${index}`)
  const reservations = names.map((target): Reservation => ({ reservationId: target, lastOrderId: target, target, model: 'renewal-letter', baseModel: null, memoryMegabytes: 10, configurationVersion: 1, isUsable: true, unsettled: [] }))
  return {
    epoch: 1,
    state: { ...EMPTY_PLACEMENT_STATE, reservations: new Map(reservations.map((reservation) => [reservationKey(reservation.target, reservation.model), reservation])) },
    configuration,
    targets: new Map(names.map((name): [string, PlacementTarget] => [name, { name, address: '127.0.0.1:1', role: 'drafter', dataCentre: 'van-a', state: 'live' }])),
    hint: () => undefined,
    isRemovalBlocked: () => false,
    isQueued: () => false,
    inFlight: () => 0,
    valueOf: ({ target }) => valueOfTarget(target),
    isIdleTooLong: () => false
  }
}

// Guards against computing values inside the sort comparison, which makes a review too slow at the
// design size.
test('a review computes the value of each replica at most once, and no value if no replica is removed', (t) => {
  const valuedTargets: string[] = []
  const valueOf = (target: string): number => {
    valuedTargets.push(target)
    return Number(target.slice('drafter-'.length))
  }
  t.deepEqual(reviewReservations(createInput(REPLICA_COUNT, valueOf)), [])
  t.deepEqual(valuedTargets, [])

  const removals = reviewReservations(createInput(REPLICA_COUNT - 2, valueOf))
  t.is(valuedTargets.length, REPLICA_COUNT)
  t.deepEqual(removals.map(({ reservation, reason }) => [reservation.target, reason]), [['drafter-0', 'over-limit'], ['drafter-1', 'over-limit']])
})
