import test from 'ava'
import { ANNOUNCEMENT_LOADS, LIST_LAG_MILLISECONDS, startAnnouncementRun } from './target-announcements.test-helper.js'

/** Requests that may reach a target during a pause that it has asked the daemon for. */
const ALLOWED_IN_PAUSE = 2
const PAUSE_MILLISECONDS = 3_000

for (const load of ANNOUNCEMENT_LOADS) {
  const title = `${load.daemons} daemons, ${load.service}`

  test(`a target gets no requests from a daemon during a pause that it has asked that daemon for, ${title}`, async (t) => {
    const { fleet, play, isExcused } = await startAnnouncementRun(load, 1)
    const [target] = fleet.targets
    Object.assign(target ?? {}, { capacity: 0, pauseMilliseconds: PAUSE_MILLISECONDS })
    const outcomes = await play(8)
    fleet.stop()
    const counts = fleet.requestsInPauses(isExcused)
    t.true(counts.length > 0)
    t.true(Math.max(...counts) <= ALLOWED_IN_PAUSE, `${Math.max(...counts)} requests in one pause`)
    t.true(outcomes.every(({ kind }) => kind === 'delivered'))
  })

  test(`a target gets no requests during pauses while daemons restart, lose each other and read an old list, ${title}`, async (t) => {
    const { fleet, play, isExcused, injectFaults, random } = await startAnnouncementRun({ ...load, maximumListLag: LIST_LAG_MILLISECONDS }, 2)
    await play(16, () => {
      injectFaults()
      for (const target of fleet.targets) if (random() < 0.004) Object.assign(target, { capacity: target.capacity === 0 ? Infinity : 0, pauseMilliseconds: 500 + random() * 4_000 })
    })
    fleet.stop()
    const counts = fleet.requestsInPauses(isExcused)
    t.true(counts.length > 0)
    t.true(Math.max(...counts) <= ALLOWED_IN_PAUSE, `${Math.max(...counts)} requests in one pause`)
  })

  test(`a target that goes on turning requests away gets one from each daemon after each pause, ${title}`, async (t) => {
    const { clock, fleet, play } = await startAnnouncementRun({ ...load, targets: 1 }, 1)
    const [target] = fleet.targets
    Object.assign(target ?? {}, { capacity: 0, pauseMilliseconds: 1_000 })
    const seconds = 10
    const startedAt = clock.now() + 1_000
    await play(seconds)
    fleet.stop()
    const counts = fleet.exchange.nodes.map((node) => fleet.arrivals.filter(({ sender, at }) => sender === node && at >= startedAt).length)
    t.true(Math.max(...counts) >= 1)
    t.true(Math.max(...counts) <= seconds, `${Math.max(...counts)} requests of one daemon in ${seconds} s`)
  })
}
