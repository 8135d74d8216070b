import test from 'ava'
import { startAnnouncementRun, type AnnouncementLoad } from './target-announcements.test-helper.js'

/** Falls in one brittle time: two, and a tenth of the targets. */
const ALLOWED_FALLS = (targets: number): number => 2 + targets / 10
const BRITTLE_REJECTIONS = 5
const LOADS: readonly AnnouncementLoad[] = [
  { daemons: 7, targets: 8, service: 'plain', requestsPerSecond: 250, capacity: 3 },
  { daemons: 79, targets: 8, service: 'plain', requestsPerSecond: 250, capacity: 3 }
]

for (const load of LOADS) {
  test(`brittle targets that have room for fewer requests than usual do not fall over one after the other, ${load.daemons} daemons`, async (t) => {
    const { fleet, play } = await startAnnouncementRun(load, 1)
    await play(2)
    for (const target of fleet.targets) Object.assign(target, { capacity: 1, brittleRejections: BRITTLE_REJECTIONS })
    await play(10)
    fleet.stop()
    t.true(fleet.falls() <= ALLOWED_FALLS(load.targets), `${fleet.falls()} falls of ${load.targets} targets`)
  })
}
