import test from 'ava'
import { ALLOWED_LATE_REQUESTS, playCrashLoad, type CrashLoad } from './crashing-requests.test-helper.js'

const LOADS: readonly CrashLoad[] = [
  { daemons: 7, targets: 8, requestsPerSecond: 15, deadlyShare: 0.1 },
  { daemons: 7, targets: 8, requestsPerSecond: 15, deadlyShare: 0.25 },
  { daemons: 79, targets: 63, requestsPerSecond: 150, deadlyShare: 0.04 },
  { daemons: 9, targets: 8, requestsPerSecond: 15, deadlyShare: 0.15, isResumable: true, maximumTargets: 3, doCallersRetry: true }
]

for (const load of LOADS) {
  const title = `${load.daemons} daemons, ${load.deadlyShare * 100} in 100 requests${load.doCallersRetry === true ? ', which come again' : ''}`
  test(`requests with a prompt part that crashes engines are stopped after some crashes, ${title}`, async (t) => {
    const { crashes, lateRequests, soundBefore, soundAfter, similarAfter } = await playCrashLoad(load, 1)
    t.true(crashes > 0)
    t.true(lateRequests <= ALLOWED_LATE_REQUESTS, `${lateRequests} requests after the settling time, ${crashes} crashes`)
    t.true(soundAfter >= soundBefore / 2, `sound requests served: ${soundBefore} before, ${soundAfter} after`)
    t.true(similarAfter >= soundBefore / 2, `similar requests served: ${soundBefore} before, ${similarAfter} after`)
  })
}
