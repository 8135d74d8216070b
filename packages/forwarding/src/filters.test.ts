import { createManualClock } from '@fuchsiastage/clock'
import test from 'ava'
import { createDeadlineFilter } from './filters.js'
import type { ForwardContext } from './request.js'

test('a request whose deadline has passed before it is forwarded is not sent', async (t) => {
  const clock = createManualClock()
  const filter = createDeadlineFilter(clock, { onRequestsEnded: () => () => undefined })
  const isEndedAfter = async (milliseconds: number): Promise<boolean> => {
    const context = { request: { receivedAt: clock.now() - milliseconds, description: { deadlineMilliseconds: 500 } }, signal: new AbortController().signal } as unknown as ForwardContext
    let isEnded = false
    await filter(context, async ({ signal }) => {
      isEnded = signal.aborted
      return { kind: 'delivered', status: 200 }
    })
    return isEnded
  }
  t.deepEqual([await isEndedAfter(499), await isEndedAfter(500)], [false, true])
})
