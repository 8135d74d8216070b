import { createManualClock } from '@fuchsiastage/clock'
import type { KnownTarget } from '@fuchsiastage/fleet'
import { createTargetSpeeds } from '@fuchsiastage/target-pace'
import test from 'ava'
import { createChoiceSpread } from './choice-spread.js'
import { chooseTarget } from './choose-target.js'
import { createInFlightTracker } from './in-flight.js'
import { createPrefixTracker } from './prefix-tracker.js'
import { createOverloadedTargets } from './overloaded-targets.js'

const ENGINE = { models: new Map(), megabytes: 80_000, adapterPlaces: 8, batchSlots: 96, cacheTokens: 200_000, storeLoadsPerSecond: 2 }
const SERVICE = { name: 'drafter', healthPath: '/', maximumConnections: 100, engine: ENGINE }
const DEMAND = { model: 'letters', adapter: undefined, promptTokens: 9_190, maximumOutputTokens: 50, promptParts: [{ id: 'shared', tokens: 6_300 }, { id: 'own', tokens: 2_890 }] }

function targetOf (id: string): KnownTarget {
  const placement = { orderCount: 0, models: [{ name: 'letters', adapters: [] }], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  const entry = { id, startedAt: 0, service: 'drafter', address: `${id}:1`, dataCentre: 'a', slots: 96, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement }
  return { key: `${id}@0`, entry, placement, load: undefined, loadMeasuredAt: undefined, leavesAt: undefined }
}

test('an overloaded target receives requests only when no other target is available, even if it has cached their prompt', async (t) => {
  const clock = createManualClock()
  const overloadedTargets = createOverloadedTargets(clock)
  const prefixes = createPrefixTracker()
  const targets = [targetOf('one'), targetOf('other')]
  prefixes.record('one@0', DEMAND)
  const choose = (candidates: readonly KnownTarget[]): string | undefined => chooseTarget({
    service: SERVICE,
    demand: DEMAND,
    candidates,
    dataCentre: 'a',
    inFlight: createInFlightTracker(clock),
    prefixes,
    isOverloaded: overloadedTargets.has,
    isLimited: () => false,
    weight: () => 1,
    clock,
    speeds: createTargetSpeeds(clock),
    spread: createChoiceSpread({ clock, random: () => 0, daemonCount: () => 1 }),
    route: 'model',
    objectiveMilliseconds: 1_000
  })?.target.key
  t.is(choose(targets), 'one@0')
  overloadedTargets.record('one@0')
  t.is(choose(targets), 'other@0')
  t.is(choose(targets.slice(0, 1)), 'one@0')
  t.deepEqual(overloadedTargets.list(), ['one@0'])
  await clock.advance(2_000)
  t.is(choose(targets), 'one@0')
  t.deepEqual(overloadedTargets.list(), [])
})
