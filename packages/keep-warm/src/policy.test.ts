import test from 'ava'
import { createKeepWarmPolicy, DEFAULT_KEEP_WARM_SETTINGS, probabilityWithin, type GapHistory, type KeepWarmFeatures } from './index.js'

const MINUTE = 60_000

const policyWith = (features: Partial<KeepWarmFeatures> = {}) =>
  createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, features: { ...DEFAULT_KEEP_WARM_SETTINGS.features, ...features } })

const regularRequests = (gap: number, requests: number, policy = policyWith()): { history: GapHistory, lastAt: number } => {
  let history: GapHistory | undefined
  for (let index = 0; index < requests; index++) history = policy.observe(history, index * gap)
  return { history: history as GapHistory, lastAt: (requests - 1) * gap }
}

const subject = (history: GapHistory | undefined, idleSince: number) =>
  ({ history, idleSince, coldStartMilliseconds: 30_000, memoryShare: 0.5 })

test('a replica requested every minute is kept between its requests and unloaded long after the last one', (t) => {
  const policy = policyWith()
  const { history, lastAt } = regularRequests(MINUTE, 30)
  t.false(policy.shouldUnload(subject(history, lastAt), lastAt + MINUTE / 2))
  t.true(policy.shouldUnload(subject(history, lastAt), lastAt + 600 * MINUTE))
})

test('a replica that is kept with a high cold-start weight is unloaded with a high idle weight', (t) => {
  const { history, lastAt } = regularRequests(20 * MINUTE, 30)
  const idleAverse = createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, idleWeight: 1 })
  const coldStartAverse = createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, coldStartWeight: 10 })
  t.true(idleAverse.shouldUnload(subject(history, lastAt), lastAt + MINUTE))
  t.false(coldStartAverse.shouldUnload(subject(history, lastAt), lastAt + MINUTE))
})

test('without the look-ahead, a replica requested every 10 minutes is unloaded too early', (t) => {
  const { history, lastAt } = regularRequests(10 * MINUTE, 40)
  t.false(policyWith().shouldUnload(subject(history, lastAt), lastAt + MINUTE))
  t.true(policyWith({ lookAhead: false }).shouldUnload(subject(history, lastAt), lastAt + MINUTE))
})

test('a model requested at regular intervals is preloaded shortly before the next request, not directly after the last', (t) => {
  const policy = policyWith()
  const { history, lastAt } = regularRequests(180 * MINUTE, 20)
  t.false(policy.shouldPreload(subject(history, lastAt), lastAt + 5 * MINUTE))
  t.true(policy.shouldPreload(subject(history, lastAt), lastAt + 175 * MINUTE))
  t.false(policyWith({ preload: false }).shouldPreload(subject(history, lastAt), lastAt + 175 * MINUTE))
})

test('the retention value is lower for the replica whose next request is less likely', (t) => {
  const policy = policyWith()
  const frequent = regularRequests(5 * MINUTE, 20)
  const infrequent = regularRequests(600 * MINUTE, 20)
  const now = MINUTE
  t.true(policy.retentionValue(subject(frequent.history, 0), now) > policy.retentionValue(subject(infrequent.history, 0), now))
})

test('without per-model gaps, only the fixed idle time decides about unloading', (t) => {
  const policy = policyWith({ perModelGaps: false })
  const { history } = regularRequests(MINUTE, 30)
  t.false(policy.shouldUnload(subject(history, 0), 599_999))
  t.true(policy.shouldUnload(subject(history, 0), 600_000))
  t.true(policy.retentionValue(subject(history, 0), 10) > policy.retentionValue(subject(history, 0), 1_000))
})

test('with decay, the new gaps of a model whose request pattern changed outweigh the old ones', (t) => {
  const probabilityAfterChange = (policy: ReturnType<typeof policyWith>): number => {
    let { history, lastAt } = regularRequests(600 * MINUTE, 200, policy)
    for (let index = 0; index < 150; index++) {
      lastAt += MINUTE
      history = policy.observe(history, lastAt)
    }
    return probabilityWithin(history, 0, 2 * MINUTE, policy.settings)
  }
  t.true(probabilityAfterChange(policyWith()) > probabilityAfterChange(policyWith({ decay: false })))
})

test('the prior prevents a single short gap from being taken as certainty', (t) => {
  const withPrior = policyWith()
  const withoutPrior = policyWith({ prior: false })
  const { history } = regularRequests(MINUTE, 2)
  t.true(probabilityWithin(history, 0, 2 * MINUTE, withPrior.settings) < 0.8)
  t.is(probabilityWithin(history, 0, 2 * MINUTE, withoutPrior.settings), 1)
})

test('a replica is not unloaded before the requests that waited for its load had time to use it', (t) => {
  const policy = createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, idleWeight: 1_000 })
  t.false(policy.shouldUnload(subject(undefined, 0), DEFAULT_KEEP_WARM_SETTINGS.minimumIdleMilliseconds - 1))
  t.true(policy.shouldUnload(subject(undefined, 0), DEFAULT_KEEP_WARM_SETTINGS.minimumIdleMilliseconds))
})
