import { getEventListeners } from 'node:events'
import test from 'ava'
import { linkSignals } from './index.js'

test('the linked signal aborts with the first source, including a source that is already aborted', (t) => {
  const [first, second] = [new AbortController(), new AbortController()]
  const linked = linkSignals([first.signal, second.signal])
  t.false(linked.signal.aborted)
  second.abort()
  t.true(linked.signal.aborted)
  t.true(linkSignals([first.signal, second.signal]).signal.aborted)
})

test('no listener remains on the sources after an abort or a release, so that long-lived sources do not leak memory', (t) => {
  const [first, second] = [new AbortController(), new AbortController()]
  linkSignals([first.signal]).release()
  linkSignals([first.signal, second.signal])
  second.abort()
  t.is(getEventListeners(first.signal, 'abort').length, 0)
  t.is(getEventListeners(second.signal, 'abort').length, 0)
})
