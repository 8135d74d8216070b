import { createManualClock } from '@fuchsiastage/clock'
import type { ForwardOutcome } from '@fuchsiastage/forwarding'
import { createSeededRandom } from '@fuchsiastage/membership'
import { startCrashingFleet, type CrashingFleet } from './simulated-crashes.js'

export const STEP_MILLISECONDS = 20
/** Time after the fifth crash at a prompt from which at most three more requests with its deadly part may reach engines; it also excuses a daemon after a restart or a cut. */
export const SETTLE_MILLISECONDS = 3_000
export const ALLOWED_CRASHES = 5
export const ALLOWED_LATE_REQUESTS = 3

export interface CrashLoad {
  readonly daemons: number
  readonly engines: number
  readonly requestsPerSecond: number
  readonly deadlyShare: number
  readonly isResumable?: boolean
  readonly maximumTargets?: number
}

type RequestKind = 'deadly' | 'similar' | 'sound'

/** Injects faults while the load is played; called in each step. Names the daemons that a fault excuses now. */
export type InjectFaults = (fleet: CrashingFleet, random: () => number, now: number) => readonly string[]

export interface CrashResult {
  readonly crashes: number
  /** Requests with the deadly part that reached engines after the settling time, from daemons that no fault excuses. */
  readonly lateRequests: number
  /** Share of the sound requests that engines began to answer, before the deadly part is sent and after twice the settling time. */
  readonly soundBefore: number
  readonly soundAfter: number
  /** The same of the sound requests that have all shared parts of the deadly ones but one. */
  readonly similarAfter: number
  /** Sound requests sent while engines were available, and those of them that were rejected as quarantined. */
  readonly sound: number
  readonly soundRejected: number
}

/**
 * Time after which engines count as available once half of them run: daemons learn of a restarted engine
 * within 0.9 s, a trial is answered within 0.7 s, and all daemons learn of it within two or three periods of
 * the exchange.
 */
const AVAILABLE_AFTER_MILLISECONDS = 3_000
const REFERENCE_SECONDS = 4
const DEADLY_SECONDS = 20
const DEADLY_PART = 'deadly'
const PARTS: Readonly<Record<RequestKind, (random: () => number) => readonly string[]>> = {
  deadly: () => ['system', 'caller', DEADLY_PART],
  similar: () => ['system', 'caller'],
  sound: (random) => ['system', `caller-${Math.floor(random() * 30)}`]
}

/**
 * Sends sound requests, then also requests with a part that crashes engines, which are alike in all
 * parts but their own.
 *
 * @example
 * const { lateRequests } = await playCrashLoad({ daemons: 7, engines: 8, requestsPerSecond: 15, deadlyShare: 0.1 }, 1)
 */
export async function playCrashLoad (load: CrashLoad, seed: number, injectFaults: InjectFaults = () => []): Promise<CrashResult> {
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const fleet = startCrashingFleet({ clock, random, deadlyPart: DEADLY_PART, ...load })
  await clock.advance(2_000)
  const sent: Array<{ readonly at: number, readonly kind: RequestKind, readonly areEnginesAvailable: boolean, readonly outcome: Promise<ForwardOutcome> }> = []
  const excused: Array<{ readonly at: number, readonly daemons: readonly string[] }> = []
  const startedAt = clock.now()
  const deadlyFrom = startedAt + REFERENCE_SECONDS * 1_000
  let lastOutageAt = -Infinity
  while (clock.now() < deadlyFrom + DEADLY_SECONDS * 1_000) {
    if (fleet.runningEngines() < load.engines / 2) lastOutageAt = clock.now()
    const areEnginesAvailable = clock.now() - lastOutageAt >= AVAILABLE_AFTER_MILLISECONDS
    excused.push({ at: clock.now(), daemons: clock.now() < deadlyFrom ? [] : injectFaults(fleet, random, clock.now()) })
    for (let due = load.requestsPerSecond * STEP_MILLISECONDS / 1_000; due > 0; due--) {
      if (random() >= due) continue
      const kind = clock.now() >= deadlyFrom && random() < load.deadlyShare ? 'deadly' : random() < 0.1 ? 'similar' : 'sound'
      sent.push({ at: clock.now(), kind, areEnginesAvailable, outcome: fleet.request(Math.floor(random() * load.daemons), PARTS[kind](random)) })
    }
    await clock.advance(STEP_MILLISECONDS)
  }
  await clock.advance(6_000)
  fleet.stop()
  await clock.advance(1_000)

  const isExcused = (daemon: string, at: number): boolean => excused.findLast((moment) => moment.at <= at)?.daemons.includes(daemon) ?? false
  const settledAt = (fleet.promptCrashes[ALLOWED_CRASHES - 1] ?? fleet.promptCrashes.at(-1) ?? 0) + SETTLE_MILLISECONDS
  const outcomesOf = async (kinds: readonly RequestKind[], from: number, to: number): Promise<readonly ForwardOutcome[]> =>
    await Promise.all(sent.filter(({ at, kind }) => kinds.includes(kind) && at >= from && at < to).map(async ({ outcome }) => await outcome))
  const begunShare = (outcomes: readonly ForwardOutcome[]): number => outcomes.filter(({ kind }) => kind === 'delivered' || kind === 'broken').length / outcomes.length
  const sound = await Promise.all(sent.filter(({ kind, areEnginesAvailable }) => kind !== 'deadly' && areEnginesAvailable).map(async ({ outcome }) => await outcome))
  return {
    crashes: fleet.promptCrashes.length,
    lateRequests: fleet.arrivals.filter(({ at, parts, daemon }) => at > settledAt && parts.includes(DEADLY_PART) && !isExcused(daemon, at)).length,
    soundBefore: begunShare(await outcomesOf(['sound', 'similar'], startedAt, deadlyFrom)),
    soundAfter: begunShare(await outcomesOf(['sound', 'similar'], settledAt + SETTLE_MILLISECONDS, Infinity)),
    similarAfter: begunShare(await outcomesOf(['similar'], settledAt + SETTLE_MILLISECONDS, Infinity)),
    sound: sound.length,
    soundRejected: sound.filter((outcome) => outcome.kind === 'refused' && outcome.reason === 'prompt-quarantined').length
  }
}
