import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import type { ForwardOutcome } from '@fuchsiastage/forwarding'
import { createSeededRandom } from '@fuchsiastage/membership'
import { startAnnouncingFleet, type AnnouncingFleet, type AnnouncingFleetOptions, type IsExcused } from './simulated-announcements.js'

const STEP_MILLISECONDS = 20
/** Time for which a restart or a cut excuses a daemon. */
const EXCUSED_MILLISECONDS = 3_000
/** Mean number of faults of daemons and their links in a step. */
const FAULTS_PER_STEP = 0.015

export interface AnnouncementLoad extends Pick<AnnouncingFleetOptions, 'daemons' | 'targets' | 'service' | 'capacity' | 'maximumListLag'> {
  readonly requestsPerSecond: number
}

/** Plain services and engines, at the sizes of a small and of a large deployment. */
export const ANNOUNCEMENT_LOADS: readonly AnnouncementLoad[] = [
  { daemons: 7, targets: 4, service: 'plain', requestsPerSecond: 40 },
  { daemons: 79, targets: 4, service: 'plain', requestsPerSecond: 200 },
  { daemons: 7, targets: 4, service: 'engines', requestsPerSecond: 40 },
  { daemons: 79, targets: 4, service: 'engines', requestsPerSecond: 300 }
]
/** Longest time after which a daemon learns of a change of the list of targets, where the list lags. */
export const LIST_LAG_MILLISECONDS = 6_000

export interface AnnouncementRun {
  readonly clock: ManualClock
  readonly fleet: AnnouncingFleet
  readonly random: () => number
  /** Sends requests to random daemons for some time; `onStep` is called in each step. */
  readonly play: (seconds: number, onStep?: () => void) => Promise<readonly ForwardOutcome[]>
  /** Restarts daemons, and cuts and heals links between them; to be called in each step. */
  readonly injectFaults: () => void
  readonly isExcused: IsExcused
}

/**
 * Starts a fleet in front of targets that announce pauses and their removal, and a load on it.
 *
 * @example
 * const { fleet, play } = await startAnnouncementRun({ daemons: 7, targets: 4, service: 'plain', requestsPerSecond: 40 }, 1)
 */
export async function startAnnouncementRun (load: AnnouncementLoad, seed: number): Promise<AnnouncementRun> {
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const fleet = startAnnouncingFleet({ clock, random, ...load })
  await clock.advance(2_000)
  const excusedUntil = new Map<string, number>()
  const excused: Array<{ readonly at: number, readonly daemons: ReadonlySet<string> }> = []
  const cuts = new Set<string>()
  const excuse = (...names: readonly string[]): void => { for (const name of names) excusedUntil.set(name, clock.now() + EXCUSED_MILLISECONDS) }
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)] as Item

  const faults = [
    () => {
      const { name } = pick(fleet.exchange.nodes)
      excuse(name)
      fleet.exchange.restart(name)
    },
    () => {
      const [one, other] = [pick(fleet.exchange.nodes).name, pick(fleet.exchange.nodes).name]
      if (one === other) return
      cuts.add(`${one} ${other}`)
      fleet.exchange.cut(one, other)
    },
    () => {
      const [one, other] = (pick([...cuts]) ?? '').split(' ')
      if (one === undefined || other === undefined) return
      cuts.delete(`${one} ${other}`)
      fleet.exchange.heal(one, other)
      excuse(one, other)
    }
  ]

  return {
    clock,
    fleet,
    random,
    play: async (seconds, onStep) => {
      const outcomes: Array<Promise<ForwardOutcome>> = []
      for (let step = 0; step < seconds * 1_000 / STEP_MILLISECONDS; step++) {
        onStep?.()
        for (let due = load.requestsPerSecond * STEP_MILLISECONDS / 1_000; due > 0; due--) {
          if (random() < due) outcomes.push(fleet.request(Math.floor(random() * load.daemons)))
        }
        await clock.advance(STEP_MILLISECONDS)
      }
      await clock.advance(6_000)
      return await Promise.all(outcomes)
    },
    injectFaults: () => {
      if (random() < FAULTS_PER_STEP) pick(faults)()
      for (const cut of cuts) excuse(...cut.split(' '))
      excused.push({ at: clock.now(), daemons: new Set([...excusedUntil].filter(([, until]) => until > clock.now()).map(([name]) => name)) })
    },
    isExcused: (daemon, at) => excused.findLast((moment) => moment.at <= at)?.daemons.has(daemon) ?? false
  }
}
