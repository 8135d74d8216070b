import { getEventListeners } from 'node:events'
import test from 'ava'
import { createHttpLogService } from './index.js'

// Guards against a memory leak: a listener or dependent signal that remains after each call is never collected while the process runs.
test('calls remove their listeners and dependent signals from a long-lived signal', async (t) => {
  // No process listens on this port, so each call fails immediately.
  const logService = createHttpLogService({ url: 'http://127.0.0.1:1', appendTimeoutMilliseconds: 5_000, readMarginMilliseconds: 5_000 })
  const { signal } = new AbortController()
  for (let index = 0; index < 3; index++) {
    t.true((await logService.append('names', [{}], signal)).isErr)
    t.true((await logService.read('names', 0, { limit: 1, waitMilliseconds: 0 }, signal)).isErr)
  }
  t.is(getEventListeners(signal, 'abort').length, 0)
  t.is(dependentSignals(signal), 0)
  await logService.close()
})

/** Number of dependent signals that `AbortSignal.any` of Node.js 20 has registered on the signal. */
function dependentSignals (signal: AbortSignal): number {
  const key = Object.getOwnPropertySymbols(signal).find(({ description }) => description === 'kDependantSignals')
  return key === undefined ? 0 : (signal as unknown as Record<symbol, Set<unknown> | undefined>)[key]?.size ?? 0
}
