import test from 'ava'
import { startAnnouncementRun, type AnnouncementLoad } from './target-announcements.test-helper.js'

const LOADS: readonly AnnouncementLoad[] = [
  { daemons: 3, targets: 2, service: 'plain', requestsPerSecond: 20, maximumListLag: 6_000 },
  { daemons: 7, targets: 4, service: 'plain', requestsPerSecond: 40, maximumListLag: 3_000, capacity: 3 },
  { daemons: 7, targets: 8, service: 'engines', requestsPerSecond: 40, maximumListLag: 6_000 },
  { daemons: 24, targets: 4, service: 'engines', requestsPerSecond: 80, maximumListLag: 1_000, capacity: 6 },
  { daemons: 79, targets: 4, service: 'plain', requestsPerSecond: 150, maximumListLag: 6_000 }
]
const ALLOWED_IN_PAUSE = 2
const LEAVING_TOLERANCE_MILLISECONDS = 2_000
const SECONDS = 16
/** Time after the recovery of all targets, in which pauses end and daemons read the list, and time of a measurement after that. */
const RECOVERY_SECONDS = 6
/** Share of the requests that are served then, although some daemons have lost each other. */
const SERVED_SHARE = 0.95
/** Mean numbers of changes of a target in a step of 20 ms. */
const TOGGLES_PER_STEP = 0.004
const LEAVES_PER_STEP = 0.001

const seeds = (process.env['ANNOUNCEMENT_SOAK_SEEDS'] ?? '1,2,3,4,5').split(',').map(Number)

for (const seed of seeds) {
  test(`targets that pause, limit their requests and leave get none that they do not want, while daemons restart and lose each other, seed ${seed}`, async (t) => {
    const load = LOADS[seed % LOADS.length] as AnnouncementLoad
    const { fleet, play, isExcused, injectFaults, random } = await startAnnouncementRun(load, seed)
    await play(SECONDS, () => {
      injectFaults()
      for (const target of fleet.targets) {
        if (random() < TOGGLES_PER_STEP) target.capacity = target.capacity === 0 ? load.capacity ?? Infinity : 0
        if (random() < TOGGLES_PER_STEP) target.pauseMilliseconds = random() < 0.3 ? undefined : random() * 4_000
        if (random() < TOGGLES_PER_STEP) target.perSecond = random() < 0.6 ? undefined : 0.5 + random() * 10
        if (random() >= LEAVES_PER_STEP) continue
        if (target.isLeaving) {
          fleet.restart(target)
        } else {
          target.isLeaving = true
          if (random() < 0.5) fleet.listAsDraining(target)
        }
      }
    })
    for (const target of fleet.targets) {
      Object.assign(target, { capacity: Infinity, pauseMilliseconds: undefined, perSecond: undefined })
      if (target.isLeaving) fleet.restart(target)
    }
    await play(RECOVERY_SECONDS)
    const outcomes = await play(RECOVERY_SECONDS)
    fleet.stop()
    const inPauses = Math.max(0, ...fleet.requestsInPauses(isExcused))
    const afterLeaving = fleet.requestsAfterLeaving(LEAVING_TOLERANCE_MILLISECONDS, isExcused)
    const title = `${load.daemons} daemons, ${load.service}`
    t.true(inPauses <= ALLOWED_IN_PAUSE, `${inPauses} requests in one pause, ${title}`)
    t.is(afterLeaving, 0, `${afterLeaving} late requests to leaving targets, ${title}`)
    const served = outcomes.filter(({ kind }) => kind === 'delivered').length
    t.true(served >= SERVED_SHARE * outcomes.length, `${served} of ${outcomes.length} served after the targets have recovered, ${title}`)
  })
}
