import test from 'ava'
import { createKeepWarmPolicy, DEFAULT_KEEP_WARM_SETTINGS, probabilityWithin, type GapHistory, type KeepWarmParts } from './index.js'

const MINUTE = 60_000

const policyWith = (parts: Partial<KeepWarmParts> = {}) =>
  createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, parts: { ...DEFAULT_KEEP_WARM_SETTINGS.parts, ...parts } })

const regular = (gap: number, requests: number, policy = policyWith()): { history: GapHistory, lastAt: number } => {
  let history: GapHistory | undefined
  for (let index = 0; index < requests; index++) history = policy.observe(history, index * gap)
  return { history: history as GapHistory, lastAt: (requests - 1) * gap }
}

const subject = (history: GapHistory | undefined, idleSince: number) =>
  ({ history, idleSince, coldStartMilliseconds: 30_000, memoryShare: 0.5 })

test('a replica requested every minute is kept between its requests and unloaded long after the last', (t) => {
  const policy = policyWith()
  const { history, lastAt } = regular(MINUTE, 30)
  t.false(policy.shouldUnload(subject(history, lastAt), lastAt + MINUTE / 2))
  t.true(policy.shouldUnload(subject(history, lastAt), lastAt + 600 * MINUTE))
})

test('a heavier idle weight unloads a replica that a heavier cold-start weight keeps', (t) => {
  const { history, lastAt } = regular(20 * MINUTE, 30)
  const saving = createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, idleWeight: 1 })
  const fast = createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, coldStartWeight: 10 })
  t.true(saving.shouldUnload(subject(history, lastAt), lastAt + MINUTE))
  t.false(fast.shouldUnload(subject(history, lastAt), lastAt + MINUTE))
})

test('without the look-ahead a replica whose requests come every 10 minutes is unloaded too early', (t) => {
  const { history, lastAt } = regular(10 * MINUTE, 40)
  t.false(policyWith().shouldUnload(subject(history, lastAt), lastAt + MINUTE))
  t.true(policyWith({ lookAhead: false }).shouldUnload(subject(history, lastAt), lastAt + MINUTE))
})

test('a model with a regular gap is preloaded shortly before the next request and not right after the last', (t) => {
  const policy = policyWith()
  const { history, lastAt } = regular(180 * MINUTE, 20)
  t.false(policy.shouldPreload(subject(history, lastAt), lastAt + 5 * MINUTE))
  t.true(policy.shouldPreload(subject(history, lastAt), lastAt + 175 * MINUTE))
  t.false(policyWith({ preload: false }).shouldPreload(subject(history, lastAt), lastAt + 175 * MINUTE))
})

test('the value for eviction is lower for the replica whose next request is less likely', (t) => {
  const policy = policyWith()
  const often = regular(5 * MINUTE, 20)
  const rarely = regular(600 * MINUTE, 20)
  const now = MINUTE
  t.true(policy.valueOf(subject(often.history, 0), now) > policy.valueOf(subject(rarely.history, 0), now))
})

test('without per-model gaps the fixed idle time alone decides', (t) => {
  const policy = policyWith({ perModelGaps: false })
  const { history } = regular(MINUTE, 30)
  t.false(policy.shouldUnload(subject(history, 0), 599_999))
  t.true(policy.shouldUnload(subject(history, 0), 600_000))
  t.true(policy.valueOf(subject(history, 0), 10) > policy.valueOf(subject(history, 0), 1_000))
})

test('with decay a model that changed its rhythm is judged by the new one', (t) => {
  const change = (policy: ReturnType<typeof policyWith>): number => {
    let { history, lastAt } = regular(600 * MINUTE, 200, policy)
    for (let index = 0; index < 150; index++) {
      lastAt += MINUTE
      history = policy.observe(history, lastAt)
    }
    return probabilityWithin(history, 0, 2 * MINUTE, policy.settings)
  }
  t.true(change(policyWith()) > change(policyWith({ decay: false })))
})

test('the prior keeps one short gap from being taken as certainty', (t) => {
  const withPrior = policyWith()
  const withoutPrior = policyWith({ prior: false })
  const { history } = regular(MINUTE, 2)
  t.true(probabilityWithin(history, 0, 2 * MINUTE, withPrior.settings) < 0.8)
  t.is(probabilityWithin(history, 0, 2 * MINUTE, withoutPrior.settings), 1)
})

test('a replica is not unloaded before the requests that waited for it can have used it', (t) => {
  const policy = createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, idleWeight: 1_000 })
  t.false(policy.shouldUnload(subject(undefined, 0), DEFAULT_KEEP_WARM_SETTINGS.minimumIdleMilliseconds - 1))
  t.true(policy.shouldUnload(subject(undefined, 0), DEFAULT_KEEP_WARM_SETTINGS.minimumIdleMilliseconds))
})
