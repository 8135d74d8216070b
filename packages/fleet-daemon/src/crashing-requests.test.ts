import test from 'ava'
import { ALLOWED_LATE_REQUESTS, createCrashFaults, playCrashLoad, type CrashLoad } from './crashing-requests.test-helper.js'

const PLAIN = { cause: 'request', service: 'plain', maximumTargets: 2, doCallersRetry: true } as const
const ENGINES = { cause: 'request', service: 'engines', doCallersRetry: true } as const
const LOADS: readonly CrashLoad[] = [
  { ...PLAIN, daemons: 7, targets: 4, requestsPerSecond: 6, deadlyShare: 0.25 },
  { ...PLAIN, daemons: 79, targets: 4, requestsPerSecond: 51, deadlyShare: 0.04 },
  { ...ENGINES, daemons: 7, targets: 8, requestsPerSecond: 15, deadlyShare: 0.1 },
  { ...ENGINES, daemons: 79, targets: 63, requestsPerSecond: 150, deadlyShare: 0.015 }
]
const LIST_LAG_MILLISECONDS = 2_500

for (const load of LOADS) {
  const title = `${load.daemons} daemons, ${load.service ?? ''}`
  test(`a request that crashes targets and comes again is stopped after some crashes, ${title}`, async (t) => {
    const { crashes, lateRequests, soundBefore, soundAfter, similarAfter } = await playCrashLoad(load, 1)
    t.true(crashes > 0)
    t.true(lateRequests <= ALLOWED_LATE_REQUESTS, `${lateRequests} sends after the settling time, ${crashes} crashes`)
    t.true(soundAfter >= soundBefore / 2, `sound requests served: ${soundBefore} before, ${soundAfter} after`)
    t.true(similarAfter >= soundBefore / 2, `similar requests served: ${soundBefore} before, ${similarAfter} after`)
  })

  test(`a request that crashes targets is stopped while daemons restart, lose each other and read an old list, ${title}`, async (t) => {
    const { crashes, lateRequests } = await playCrashLoad({ ...load, maximumListLag: LIST_LAG_MILLISECONDS }, 2, createCrashFaults())
    t.true(crashes > 0)
    t.true(lateRequests <= ALLOWED_LATE_REQUESTS, `${lateRequests} sends after the settling time, ${crashes} crashes`)
  })
}
