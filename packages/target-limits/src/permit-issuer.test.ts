import { createManualClock } from '@fuchsiastage/clock'
import test from 'ava'
import { createPermitIssuer } from './index.js'

const TARGET = 'e1@0'

test('permits are spaced by the rate', (t) => {
  const permits = createPermitIssuer(createManualClock())
  const decisions = Array.from({ length: 4 }, () => permits.issue({ target: TARGET, requestsPerSecond: 2, maximumWaitMilliseconds: 1_000 }))
  t.snapshot(decisions)
})

test('a denied request reserves no time', (t) => {
  const permits = createPermitIssuer(createManualClock())
  permits.issue({ target: TARGET, requestsPerSecond: 2, maximumWaitMilliseconds: 0 })
  for (let attempt = 0; attempt < 3; attempt++) t.deepEqual(permits.issue({ target: TARGET, requestsPerSecond: 2, maximumWaitMilliseconds: 100 }), { kind: 'denied', retryAfterMilliseconds: 500 })
  t.deepEqual(permits.issue({ target: TARGET, requestsPerSecond: 2, maximumWaitMilliseconds: 500 }), { kind: 'granted', waitMilliseconds: 500 })
})

test('an issuer that was idle grants no more than two permits at once', async (t) => {
  const clock = createManualClock()
  const permits = createPermitIssuer(clock)
  const issueNow = () => permits.issue({ target: TARGET, requestsPerSecond: 1, maximumWaitMilliseconds: 0 }).kind
  issueNow()
  await clock.advance(60_000)
  t.deepEqual([issueNow(), issueNow(), issueNow()], ['granted', 'granted', 'denied'])
})

test('a target that accepts nothing still gets a request every ten seconds, so that it can end its limit', async (t) => {
  const clock = createManualClock()
  const permits = createPermitIssuer(clock)
  const issueNow = () => permits.issue({ target: TARGET, requestsPerSecond: 0, maximumWaitMilliseconds: 0 }).kind
  t.is(issueNow(), 'granted')
  await clock.advance(9_999)
  t.is(issueNow(), 'denied')
  await clock.advance(1)
  t.is(issueNow(), 'granted')
})
