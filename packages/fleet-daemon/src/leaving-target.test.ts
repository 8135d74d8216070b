import test from 'ava'
import { ANNOUNCEMENT_LOADS, LIST_LAG_MILLISECONDS, startAnnouncementRun } from './target-announcements.test-helper.js'

/** Time after a statement that a target leaves within which callers' requests may still reach it. */
const LEAVING_TOLERANCE_MILLISECONDS = 2_000

for (const load of ANNOUNCEMENT_LOADS) {
  const title = `${load.daemons} daemons, ${load.service}`

  test(`a target gets no requests from a daemon that has passed on that it leaves, whatever the list states, ${title}`, async (t) => {
    const { fleet, play, isExcused } = await startAnnouncementRun({ ...load, maximumListLag: LIST_LAG_MILLISECONDS }, 1)
    const [target] = fleet.targets
    if (target !== undefined) target.isLeaving = true
    const outcomes = await play(8)
    fleet.stop()
    const late = fleet.requestsAfterLeaving(LEAVING_TOLERANCE_MILLISECONDS, isExcused)
    t.is(late, 0, `${late} requests after the tolerance`)
    t.true(outcomes.every(({ kind }) => kind === 'delivered'))
  })

  test(`targets that leave one after the other get no late requests while daemons restart, lose each other and read an old list, ${title}`, async (t) => {
    const { fleet, play, isExcused, injectFaults, random } = await startAnnouncementRun({ ...load, maximumListLag: LIST_LAG_MILLISECONDS }, 2)
    await play(16, () => {
      injectFaults()
      for (const target of fleet.targets) {
        if (random() >= 0.002) continue
        if (target.isLeaving) fleet.restart(target)
        else {
          target.isLeaving = true
          fleet.listAsDraining(target)
        }
      }
    })
    fleet.stop()
    t.is(fleet.requestsAfterLeaving(LEAVING_TOLERANCE_MILLISECONDS, isExcused), 0)
  })
}
