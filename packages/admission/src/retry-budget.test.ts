import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { backoffDelay, createRetryBudget } from './index.js'

test('when every request fails, retries are limited to a tenth of the requests and do not multiply the load', async (t) => {
  const clock = createManualClock()
  const budget = createRetryBudget({ clock })
  let retries = 0
  for (let request = 0; request < 6_000; request++) {
    budget.recordRequest('drafter')
    for (let retry = 0; retry < 2; retry++) if (budget.tryRetry('drafter')) retries++
    await clock.advance(10)
  }
  t.true(retries > 400 && retries <= 620, String(retries))
})

test('a role with few requests may retry three times in 10 s, and each role has its own budget', async (t) => {
  const clock = createManualClock()
  const budget = createRetryBudget({ clock })
  const tries = (role: string) => Array.from({ length: 5 }, () => budget.tryRetry(role))
  t.deepEqual(tries('drafter'), [true, true, true, false, false])
  t.deepEqual(tries('ledger'), [true, true, true, false, false])
  await clock.advance(9_900)
  t.false(budget.tryRetry('drafter'))
  await clock.advance(1_100)
  t.true(budget.tryRetry('drafter'))
})

test('the backoff delay grows exponentially up to its maximum, with jitter over the full range', (t) => {
  const settings = { baseMilliseconds: 50, maximumMilliseconds: 1_000 }
  t.deepEqual([0, 1, 2, 10].map((attempt) => backoffDelay(attempt, settings, () => 0.5)), [25, 50, 100, 500])
  t.is(backoffDelay(3, settings, () => 0), 0)
})
