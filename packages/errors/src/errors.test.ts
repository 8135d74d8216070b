import test from 'ava'
import { createError, toFuchsiastageError, toProblem } from './index.js'

test('an error created without a peer names the local process and has the outcome not-run', (t) => {
  const error = createError({ code: 'deadline-exceeded', message: 'the deadline has passed', step: 'deadline', peer: undefined, status: 504 })
  t.is(error.peer, 'local')
  t.is(error.outcome, 'not-run')
})

test('a problem document contains the outcome, step, peer and retry delay', (t) => {
  const error = createError({ code: 'target-busy', message: 'the target reported that it is busy', step: 'dispatch', peer: 'drafter-1', status: 503, retryAfterMilliseconds: 1_500 })
  t.snapshot(toProblem(error, 'request-1'))
})

test('a FuchsiastageError that is caught as an unknown value is returned unchanged, so that its outcome is kept', (t) => {
  const error = createError({ code: 'outcome-unknown', message: 'the request may have been executed', step: 'dispatch', outcome: 'unknown' })
  t.is(toFuchsiastageError(error, { code: 'internal', step: 'filter-chain' }), error)
})
