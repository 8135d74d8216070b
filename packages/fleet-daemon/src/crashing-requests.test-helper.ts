import { createManualClock } from '@fuchsiastage/clock'
import type { ForwardOutcome } from '@fuchsiastage/forwarding'
import { createSeededRandom } from '@fuchsiastage/membership'
import type { Milliseconds } from '@fuchsiastage/types'
import { startCrashingFleet, type CrashingFleet, type DeadlyCause } from './simulated-crashes.js'

export const STEP_MILLISECONDS = 20
/** Time after the last allowed crash from which at most three more deadly requests may reach targets; it also excuses a daemon after a restart or a cut. */
export const SETTLE_MILLISECONDS = 3_000
export const ALLOWED_LATE_REQUESTS = 3

/** Crashes with the same cause until the settling time begins. */
const ALLOWED_CRASHES: Readonly<Record<DeadlyCause['kind'], number>> = { 'prompt-part': 5, request: 3 }

export interface CrashLoad {
  readonly daemons: number
  readonly targets: number
  readonly requestsPerSecond: number
  readonly deadlyShare: number
  /** What the deadly requests have in common: a part of their prompts, by default, or everything, as one request that comes again. */
  readonly cause?: DeadlyCause['kind']
  readonly service?: 'engines' | 'plain'
  readonly isResumable?: boolean
  readonly maximumTargets?: number
  readonly maximumListLag?: Milliseconds
  /** Whether callers send a request once more if it was refused, or if it may be repeated and got no complete response. */
  readonly doCallersRetry?: boolean
}

type RequestKind = 'deadly' | 'similar' | 'sound'

/** Injects faults while the load is played; called in each step. Names the daemons that a fault excuses now. */
export type InjectFaults = (fleet: CrashingFleet, random: () => number, now: number) => readonly string[]

export interface CrashResult {
  readonly crashes: number
  /** Sends of deadly requests that reached targets after the settling time, from daemons that no fault excuses. */
  readonly lateRequests: number
  /** Share of the sound requests that targets began to answer, before the deadly ones are sent and after twice the settling time. */
  readonly soundBefore: number
  readonly soundAfter: number
  /** The same of the sound requests whose prompts have all shared parts of the deadly ones but the deadly part. */
  readonly similarAfter: number
  /** Sound requests sent while targets were available, and those of them that were rejected as quarantined. */
  readonly sound: number
  readonly soundRejected: number
}

/**
 * Time after which targets count as available once half of them run: daemons learn of a restarted target
 * within 0.9 s, a trial is answered within 0.7 s, and all daemons learn of it within two or three periods of
 * the exchange.
 */
const AVAILABLE_AFTER_MILLISECONDS = 3_000
/** Mean number of faults in a step of 20 ms. */
const FAULTS_PER_STEP = 0.015
const REFERENCE_SECONDS = 4
const DEADLY_SECONDS = 20
const DEADLY_PART = 'deadly'
const DEADLY_BODY = 'deadly'
const CAUSES: Readonly<Record<DeadlyCause['kind'], DeadlyCause>> = {
  'prompt-part': { kind: 'prompt-part', part: DEADLY_PART },
  request: { kind: 'request', body: DEADLY_BODY }
}
const SIMILAR_PARTS = ['system', 'caller']
/** Longest time after which callers send a refused request again. */
const MAXIMUM_CALLER_DELAY_MILLISECONDS = 500

function partsOf (kind: RequestKind, cause: DeadlyCause['kind'], random: () => number): readonly string[] {
  switch (kind) {
    case 'deadly':
      return cause === 'prompt-part' ? [...SIMILAR_PARTS, DEADLY_PART] : SIMILAR_PARTS
    case 'similar':
      return SIMILAR_PARTS
    case 'sound':
      return ['system', `caller-${Math.floor(random() * 30)}`]
  }
}

/**
 * Sends sound requests, then also ones that crash targets: those with a deadly part, which are alike in
 * all parts but their own, or one request that comes again at any daemon.
 *
 * @example
 * const { lateRequests } = await playCrashLoad({ daemons: 7, targets: 8, requestsPerSecond: 15, deadlyShare: 0.1 }, 1)
 */
export async function playCrashLoad (load: CrashLoad, seed: number, injectFaults: InjectFaults = () => []): Promise<CrashResult> {
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const cause = load.cause ?? 'prompt-part'
  const fleet = startCrashingFleet({ clock, random, ...load, cause: CAUSES[cause] })
  await clock.advance(2_000)
  const sent: Array<{ readonly at: number, readonly kind: RequestKind, readonly areTargetsAvailable: boolean, readonly outcome: Promise<ForwardOutcome> }> = []
  const excused: Array<{ readonly at: number, readonly daemons: readonly string[] }> = []
  const startedAt = clock.now()
  const deadlyFrom = startedAt + REFERENCE_SECONDS * 1_000
  let lastOutageAt = -Infinity
  let bodyCount = 0

  const send = async (kind: RequestKind): Promise<ForwardOutcome> => {
    const daemon = Math.floor(random() * load.daemons)
    const sharedParts = partsOf(kind, cause, random)
    if (kind === 'deadly' && cause === 'request') return await fleet.request(daemon, { sharedParts, body: DEADLY_BODY })
    if (load.doCallersRetry !== true) return await fleet.request(daemon, { sharedParts })
    const body = `request-${bodyCount++}`
    const first = await fleet.request(daemon, { sharedParts, body })
    const isRepeatable = load.service === 'plain' || load.isResumable === true
    if (first.kind === 'refused') await clock.sleep(Math.min(MAXIMUM_CALLER_DELAY_MILLISECONDS, first.retryAfterMilliseconds))
    else if (first.kind === 'delivered' || !isRepeatable) return first
    return await fleet.request(Math.floor(random() * load.daemons), { sharedParts, body })
  }

  while (clock.now() < deadlyFrom + DEADLY_SECONDS * 1_000) {
    if (fleet.runningTargets() < load.targets / 2) lastOutageAt = clock.now()
    const areTargetsAvailable = clock.now() - lastOutageAt >= AVAILABLE_AFTER_MILLISECONDS
    excused.push({ at: clock.now(), daemons: clock.now() < deadlyFrom ? [] : injectFaults(fleet, random, clock.now()) })
    for (let due = load.requestsPerSecond * STEP_MILLISECONDS / 1_000; due > 0; due--) {
      if (random() >= due) continue
      const kind = clock.now() >= deadlyFrom && random() < load.deadlyShare ? 'deadly' : random() < 0.1 ? 'similar' : 'sound'
      sent.push({ at: clock.now(), kind, areTargetsAvailable, outcome: send(kind) })
    }
    await clock.advance(STEP_MILLISECONDS)
  }
  await clock.advance(6_000)
  fleet.stop()
  await clock.advance(1_000)

  const isExcused = (daemon: string, at: number): boolean => excused.findLast((moment) => moment.at <= at)?.daemons.includes(daemon) ?? false
  const settledAt = (fleet.deadlyCrashes[ALLOWED_CRASHES[cause] - 1] ?? fleet.deadlyCrashes.at(-1) ?? 0) + SETTLE_MILLISECONDS
  const outcomesOf = async (kinds: readonly RequestKind[], from: number, to: number): Promise<readonly ForwardOutcome[]> =>
    await Promise.all(sent.filter(({ at, kind }) => kinds.includes(kind) && at >= from && at < to).map(async ({ outcome }) => await outcome))
  const begunShare = (outcomes: readonly ForwardOutcome[]): number => outcomes.filter(({ kind }) => kind === 'delivered' || kind === 'broken').length / outcomes.length
  const sound = await Promise.all(sent.filter(({ kind, areTargetsAvailable }) => kind !== 'deadly' && areTargetsAvailable).map(async ({ outcome }) => await outcome))
  return {
    crashes: fleet.deadlyCrashes.length,
    lateRequests: fleet.arrivals.filter(({ at, isDeadly, daemon }) => at > settledAt && isDeadly && !isExcused(daemon, at)).length,
    soundBefore: begunShare(await outcomesOf(['sound', 'similar'], startedAt, deadlyFrom)),
    soundAfter: begunShare(await outcomesOf(['sound', 'similar'], settledAt + SETTLE_MILLISECONDS, Infinity)),
    similarAfter: begunShare(await outcomesOf(['similar'], settledAt + SETTLE_MILLISECONDS, Infinity)),
    sound: sound.length,
    soundRejected: sound.filter((outcome) => outcome.kind === 'refused' && outcome.reason.endsWith('-quarantined')).length
  }
}

/**
 * Creates faults that restart daemons, cut and heal connections between them, crash targets together and
 * reset their connections, in overlapping series.
 *
 * @example
 * const result = await playCrashLoad(load, seed, createCrashFaults())
 */
export function createCrashFaults (): InjectFaults {
  const excusedUntil = new Map<string, number>()
  const cuts = new Set<string>()

  return (fleet, random, now) => {
    const pick = <Item>(items: readonly Item[]): Item | undefined => items[Math.floor(random() * items.length)]
    const excuse = (...names: readonly string[]): void => { for (const name of names) excusedUntil.set(name, now + SETTLE_MILLISECONDS) }
    const restart = (): void => {
      const name = pick(fleet.exchange.nodes)?.name ?? ''
      excuse(name)
      fleet.exchange.restart(name)
    }
    const cut = (): void => {
      const [one, other] = [pick(fleet.exchange.nodes)?.name ?? '', pick(fleet.exchange.nodes)?.name ?? '']
      if (one === other) return
      cuts.add(`${one} ${other}`)
      fleet.exchange.cut(one, other)
    }
    const heal = (): void => {
      const link = pick([...cuts])
      if (link === undefined) return
      const [one = '', other = ''] = link.split(' ')
      cuts.delete(link)
      fleet.exchange.heal(one, other)
      excuse(one, other)
    }
    const faults = [restart, cut, heal, () => fleet.crashTargets(0.3), () => fleet.resetConnections(0.4)]
    if (random() < FAULTS_PER_STEP) pick(faults)?.()
    for (const link of cuts) excuse(...link.split(' '))
    return [...excusedUntil].filter(([, until]) => until > now).map(([name]) => name)
  }
}
