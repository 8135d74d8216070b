import test from 'ava'
import { createError, fromUnknown, toProblem } from './index.js'

test('an error without a peer names the own process, also when the peer is given as undefined', (t) => {
  const error = createError({ code: 'deadline-exceeded', message: 'no time is left', step: 'deadline', peer: undefined, status: 504 })
  t.is(error.peer, 'local')
  t.is(error.outcome, 'not-run')
})

test('a problem document carries outcome, step, peer and the time to come back', (t) => {
  const error = createError({ code: 'target-busy', message: 'the target answered busy', step: 'dispatch', peer: 'drafter-1', status: 503, retryAfterMilliseconds: 1_500 })
  t.snapshot(toProblem(error, 'request-1'))
})

test('a project error keeps its outcome when it is caught as an unknown value', (t) => {
  const error = createError({ code: 'outcome-unknown', message: 'it may have run', step: 'dispatch', outcome: 'unknown' })
  t.is(fromUnknown(error, { code: 'internal', step: 'filter-chain' }), error)
})
