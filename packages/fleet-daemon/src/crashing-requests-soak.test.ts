import test from 'ava'
import { ALLOWED_LATE_REQUESTS, createCrashFaults, playCrashLoad, type CrashLoad } from './crashing-requests.test-helper.js'

const LIST_LAG_MILLISECONDS = 2_500
const REQUEST = { cause: 'request', doCallersRetry: true, maximumListLag: LIST_LAG_MILLISECONDS } as const
const LOADS: readonly CrashLoad[] = [
  { ...REQUEST, service: 'plain', daemons: 3, targets: 3, requestsPerSecond: 5, deadlyShare: 0.2, maximumTargets: 2 },
  { ...REQUEST, service: 'plain', daemons: 7, targets: 4, requestsPerSecond: 6, deadlyShare: 0.3, maximumTargets: 2 },
  { ...REQUEST, service: 'plain', daemons: 24, targets: 8, requestsPerSecond: 30, deadlyShare: 0.1, maximumTargets: 4 },
  { ...REQUEST, service: 'plain', daemons: 79, targets: 4, requestsPerSecond: 51, deadlyShare: 0.05, maximumTargets: 2 },
  { ...REQUEST, service: 'engines', daemons: 7, targets: 8, requestsPerSecond: 15, deadlyShare: 0.15 },
  { ...REQUEST, service: 'engines', daemons: 9, targets: 6, requestsPerSecond: 10, deadlyShare: 0.1, isResumable: true, maximumTargets: 3 },
  { ...REQUEST, service: 'engines', daemons: 79, targets: 63, requestsPerSecond: 120, deadlyShare: 0.02 }
]
/** Sound requests that may be rejected, because they were in flight beside the deadly one at several crashes. */
const REJECTED_SOUND_SHARE = 0.02

const seeds = (process.env['CRASH_SOAK_SEEDS'] ?? '1,2,3,4,5,6,7,48,265').split(',').map(Number)

for (const seed of seeds) {
  test(`a request that crashes targets is stopped, and others are not, while daemons, links and targets fail, seed ${seed}`, async (t) => {
    const load = LOADS[seed % LOADS.length] ?? LOADS[0] as CrashLoad
    const { crashes, lateRequests, sound, soundRejected } = await playCrashLoad(load, seed, createCrashFaults())
    const title = `${load.daemons} daemons, ${load.service ?? ''}`
    t.true(crashes > 0)
    t.true(lateRequests <= ALLOWED_LATE_REQUESTS, `${lateRequests} sends after the settling time, ${crashes} crashes, ${title}`)
    t.true(soundRejected <= REJECTED_SOUND_SHARE * sound, `${soundRejected} of ${sound} sound requests rejected, ${title}`)
  })
}
