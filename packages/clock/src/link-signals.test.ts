import { getEventListeners } from 'node:events'
import test from 'ava'
import { linkSignals } from './index.js'

test('aborts with the first source, also with one that has aborted before', (t) => {
  const [first, second] = [new AbortController(), new AbortController()]
  const linked = linkSignals([first.signal, second.signal])
  t.false(linked.signal.aborted)
  second.abort()
  t.true(linked.signal.aborted)
  t.true(linkSignals([first.signal, second.signal]).signal.aborted)
})

test('leaves no listener on its sources after the abort or the release, so that long-lived sources do not grow', (t) => {
  const [first, second] = [new AbortController(), new AbortController()]
  linkSignals([first.signal]).release()
  linkSignals([first.signal, second.signal])
  second.abort()
  t.is(getEventListeners(first.signal, 'abort').length, 0)
  t.is(getEventListeners(second.signal, 'abort').length, 0)
})
