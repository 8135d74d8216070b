import { setMaxListeners } from 'node:events'
import type { Clock, ManualClock } from '@fuchsiastage/clock'
import { hashToUnitInterval, type ServingCustomer } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import { creditOf, type AllowanceTolerance } from './allowance-credit.js'
import { createAllowanceClient, type AllowanceClient } from './allowance-client.js'
import { BEAT_MILLISECONDS, createAllowanceIssuer, type AllowanceIssuer } from './allowance-issuer.js'
import type { AllowanceAnswer, AllowanceDecision, AllowanceRequest, FleetView } from './messages.js'

/** Tolerance of one of the deployments. */
export const TOLERANCE: AllowanceTolerance = { windowMilliseconds: 8_000, share: 0.1, units: 72_000 }

/** What daemons know of the fleet after all of them have been killed: they have read the records of the members, or only the number that a holder of the order lease has stated, or neither. */
export type MemberKnowledge = 'read' | 'stated' | 'unknown'

/** Execution of a granted request. */
export interface Execution {
  readonly at: Milliseconds
  readonly customer: string
  readonly cost: number
}

interface Contact {
  incarnation: number
  heardAt: Milliseconds
  state: 'serving' | 'leaving'
}

export interface SimulatedDaemon {
  readonly name: string
  incarnation: number
  state: 'serving' | 'leaving' | 'down'
  frozenUntil: Milliseconds
  /** Time for which the clock of the daemon stood still. */
  clockOffset: Milliseconds
  contacts: Map<string, Contact>
  knowledge: MemberKnowledge
  issuer: AllowanceIssuer
  client: AllowanceClient
  readonly isEarlierVersion: boolean
}

export interface SimulatedAllowances {
  readonly daemons: readonly SimulatedDaemon[]
  readonly executions: readonly Execution[]
  readonly calls: () => number
  readonly bytes: () => number
  /** Sends a request of a customer to a daemon; undefined if the daemon does not run. */
  readonly request: (daemon: SimulatedDaemon, customer: ServingCustomer, cost: number, maximumWaitMilliseconds: Milliseconds) => Promise<AllowanceDecision | undefined>
  readonly restart: (daemon: SimulatedDaemon, downMilliseconds: Milliseconds, isGraceful: boolean) => Promise<void>
  /** Kills all daemons at once. They are back after the time, and know this much of each other. */
  readonly killAll: (downMilliseconds: Milliseconds, knowledge: MemberKnowledge) => Promise<void>
  /** Suspends the process; its clock stands still, or jumps when it continues. */
  readonly freeze: (daemon: SimulatedDaemon, milliseconds: Milliseconds, isClockStopped: boolean) => Promise<void>
  /** Sets the side of the partition of each daemon; undefined ends it. */
  readonly partition: (sideOf: ((daemon: SimulatedDaemon) => number) | undefined) => void
  readonly join: () => SimulatedDaemon
  readonly stop: () => void
}

export interface SimulatedAllowancesOptions {
  readonly clock: ManualClock
  readonly size: number
  readonly random: () => number
  readonly configurationVersion?: () => number
  /** Share of messages that arrive late, because a VM has no CPU time; by default 0. */
  readonly lateShare?: number
  /** Number of daemons that do not know the call. */
  readonly earlierVersions?: number
}

const EXCHANGE_MILLISECONDS = 300
const FULL_EXCHANGE_PEERS = 8
const PARTIAL_EXCHANGE_PEERS = 2
const LIVENESS_MILLISECONDS = 2_000
const CALL_TIMEOUT_MILLISECONDS = 600
/** As in the daemon. */
const LEFT_MILLISECONDS = 30_000
/** Delays of a message between data centres, and the longest one of a late message. */
const DELAYS = { least: 0.5, most: 1.5, late: 300 }

/**
 * Starts simulated daemons that share allowances, with the membership as the exchange between daemons
 * spreads it. For tests and measurements.
 *
 * @example
 * const fleet = startSimulatedAllowances({ clock, size: 68, random })
 * const decision = await fleet.request(fleet.daemons[0], customer, 200, 75)
 */
export function startSimulatedAllowances (options: SimulatedAllowancesOptions): SimulatedAllowances {
  const { clock, random } = options
  const daemons: SimulatedDaemon[] = []
  const executions: Execution[] = []
  const stopping = new AbortController()
  // Each daemon waits for it several times.
  setMaxListeners(0, stopping.signal)
  let sideOf: ((daemon: SimulatedDaemon) => number) | undefined
  let calls = 0
  let bytes = 0

  const isFrozen = ({ frozenUntil }: SimulatedDaemon): boolean => frozenUntil > clock.now()
  const isRunning = (daemon: SimulatedDaemon): boolean => daemon.state !== 'down' && !isFrozen(daemon)
  const isConnected = (one: SimulatedDaemon, other: SimulatedDaemon): boolean => sideOf === undefined || sideOf(one) === sideOf(other)
  const ownClock = (daemon: SimulatedDaemon): Clock => ({ ...clock, now: () => clock.now() - daemon.clockOffset })
  const delay = (): Milliseconds => random() < (options.lateShare ?? 0) ? random() * DELAYS.late : DELAYS.least + random() * (DELAYS.most - DELAYS.least)

  const isAlive = (daemon: SimulatedDaemon, name: string): boolean => ownClock(daemon).now() - (daemon.contacts.get(name)?.heardAt ?? -Infinity) < LIVENESS_MILLISECONDS
  const isCandidate = (daemon: SimulatedDaemon, name: string): boolean =>
    daemon.contacts.get(name)?.state === 'serving' && isAlive(daemon, name) && !daemons.some((other) => other.name === name && other.isEarlierVersion)

  const view = (daemon: SimulatedDaemon): FleetView => {
    const contacts = [...daemon.contacts]
    const known = 1 + contacts.filter(([, { state, heardAt }]) => state === 'serving' || ownClock(daemon).now() - heardAt < LEFT_MILLISECONDS).length
    return {
      responsive: 1 + contacts.filter(([name]) => isAlive(daemon, name)).length,
      known: { read: known, stated: Math.max(known, daemons.length), unknown: Infinity }[daemon.knowledge]
    }
  }

  const choose = (daemon: SimulatedDaemon, customer: string, isExcluded: (name: string) => boolean): string | undefined => {
    if (daemon.knowledge === 'unknown') return undefined
    const own = daemon.state === 'serving' && !daemon.isEarlierVersion ? [daemon.name] : []
    const names = [...own, ...[...daemon.contacts.keys()].filter((name) => isCandidate(daemon, name))].filter((name) => !isExcluded(name))
    const position = (name: string): number => hashToUnitInterval(`${customer} ${name}`)
    return names.reduce<string | undefined>((best, name) => best === undefined || position(name) > position(best) ? name : best, undefined)
  }

  const ask = async (from: SimulatedDaemon, to: SimulatedDaemon, request: AllowanceRequest): Promise<AllowanceAnswer | undefined> => {
    calls++
    const [there, back] = [delay(), delay()]
    const timeout = Math.min(there, CALL_TIMEOUT_MILLISECONDS)
    await clock.sleep(timeout)
    const awaitTimeout = async (spent: Milliseconds): Promise<undefined> => {
      await clock.sleep(CALL_TIMEOUT_MILLISECONDS - spent)
      return undefined
    }
    if (to.state === 'down' || !isConnected(from, to)) return await awaitTimeout(timeout)
    if (isFrozen(to)) {
      // The message is decided on when the process continues.
      void clock.sleep(to.frozenUntil - clock.now()).then(() => to.issuer.decide(request))
      return await awaitTimeout(timeout)
    }
    const answer = to.issuer.decide(request)
    bytes += JSON.stringify(request).length + JSON.stringify(answer).length
    const isLate = there + back > CALL_TIMEOUT_MILLISECONDS
    if (isLate || !isConnected(from, to)) return await awaitTimeout(timeout)
    await clock.sleep(back)
    return answer
  }

  const initialise = (daemon: SimulatedDaemon): void => {
    const own = ownClock(daemon)
    daemon.issuer = createAllowanceIssuer({ clock: own, name: daemon.name, fleet: () => view(daemon), canIssue: () => daemon.state === 'serving' && daemon.knowledge !== 'unknown' })
    daemon.client = createAllowanceClient({
      clock: own,
      fleet: () => view(daemon),
      configurationVersion: options.configurationVersion ?? (() => 1),
      choose: (customer, isExcluded) => choose(daemon, customer, isExcluded),
      isActive: (name) => name === daemon.name ? daemon.state === 'serving' : isCandidate(daemon, name),
      ask: (issuer, request) => {
        const to = daemons.find(({ name }) => name === issuer)
        if (to === daemon) return daemon.issuer.decide(request)
        return to === undefined ? Promise.resolve(undefined) : ask(daemon, to, request)
      },
      credit: (allowance) => creditOf(allowance, TOLERANCE, view(daemon)),
      onUnresponsive: () => undefined,
      onDecision: () => undefined,
      random
    })
  }

  const add = (isEarlierVersion: boolean): SimulatedDaemon => {
    const daemon = { name: `vm-${daemons.length}`, incarnation: 1, state: 'serving', frozenUntil: -Infinity, clockOffset: 0, contacts: new Map(), knowledge: 'read', isEarlierVersion } as unknown as SimulatedDaemon
    initialise(daemon)
    // Each daemon reads the records of all members from the log service.
    for (const other of daemons) {
      daemon.contacts.set(other.name, { incarnation: other.incarnation, heardAt: -Infinity, state: 'serving' })
      other.contacts.set(daemon.name, { incarnation: 1, heardAt: -Infinity, state: 'serving' })
    }
    daemons.push(daemon)
    void runExchange(daemon)
    void runBeat(daemon)
    return daemon
  }

  const hear = (daemon: SimulatedDaemon, name: string, incarnation: number, state: Contact['state'], age: Milliseconds): void => {
    if (name === daemon.name) return
    const heardAt = ownClock(daemon).now() - age
    const known = daemon.contacts.get(name)
    if (known === undefined || incarnation > known.incarnation) daemon.contacts.set(name, { incarnation, heardAt, state })
    else if (incarnation === known.incarnation) {
      known.heardAt = Math.max(known.heardAt, heardAt)
      if (state === 'leaving') known.state = 'leaving'
    }
  }

  const tell = (from: SimulatedDaemon, to: SimulatedDaemon): void => {
    const now = ownClock(from).now()
    if (from.state !== 'down') hear(to, from.name, from.incarnation, from.state, 0)
    for (const [name, { incarnation, heardAt, state }] of from.contacts) if (isAlive(from, name)) hear(to, name, incarnation, state, now - heardAt)
  }

  const exchange = (one: SimulatedDaemon, other: SimulatedDaemon): void => {
    if (!isRunning(one) || !isRunning(other) || !isConnected(one, other)) return
    tell(one, other)
    tell(other, one)
  }

  const runExchange = async (daemon: SimulatedDaemon): Promise<void> => {
    await clock.sleep(random() * EXCHANGE_MILLISECONDS, stopping.signal)
    while (!stopping.signal.aborted) {
      const others = daemons.filter((other) => other !== daemon)
      const chosen = others.length <= FULL_EXCHANGE_PEERS ? others : Array.from({ length: PARTIAL_EXCHANGE_PEERS }, () => others[Math.floor(random() * others.length)] as SimulatedDaemon)
      for (const other of chosen) exchange(daemon, other)
      await clock.sleep(EXCHANGE_MILLISECONDS, stopping.signal)
    }
  }

  const runBeat = async (daemon: SimulatedDaemon): Promise<void> => {
    let knownNames = ''
    while (!stopping.signal.aborted) {
      if (isFrozen(daemon)) await clock.sleep(daemon.frozenUntil - clock.now() + random() * 50, stopping.signal)
      daemon.issuer.beat()
      const names = [...daemon.contacts.keys()].filter((name) => isCandidate(daemon, name)).join(' ')
      if (names !== knownNames) daemon.issuer.retain((customer) => choose(daemon, customer, () => false) === daemon.name)
      knownNames = names
      await clock.sleep(BEAT_MILLISECONDS, stopping.signal)
    }
  }

  const restart: SimulatedAllowances['restart'] = async (daemon, downMilliseconds, isGraceful) => {
    if (daemon.state !== 'serving') return
    if (isGraceful) {
      daemon.state = 'leaving'
      for (const other of daemons) exchange(daemon, other)
      await clock.sleep(1_000)
    }
    daemon.state = 'down'
    await clock.sleep(downMilliseconds)
    daemon.incarnation++
    daemon.state = 'serving'
    for (const contact of daemon.contacts.values()) contact.heardAt = -Infinity
    initialise(daemon)
  }

  for (let index = 0; index < options.size; index++) add(index < (options.earlierVersions ?? 0))

  return {
    daemons,
    executions,
    calls: () => calls,
    bytes: () => bytes,
    request: async (daemon, customer, cost, maximumWaitMilliseconds) => {
      if (!isRunning(daemon)) return undefined
      const { incarnation } = daemon
      const decision = await daemon.client.acquire(customer, cost, maximumWaitMilliseconds, stopping.signal)
      if (decision.kind !== 'granted') return decision
      if (decision.waitMilliseconds > 0) await clock.sleep(decision.waitMilliseconds)
      while (isFrozen(daemon)) await clock.sleep(daemon.frozenUntil - clock.now())
      if (daemon.incarnation === incarnation && daemon.state !== 'down') executions.push({ at: clock.now(), customer: customer.name, cost })
      return decision
    },
    restart,
    killAll: async (downMilliseconds, knowledge) => {
      await Promise.all(daemons.map(async (daemon) => {
        await restart(daemon, downMilliseconds, false)
        daemon.knowledge = knowledge
        if (knowledge !== 'read') daemon.contacts.clear()
      }))
    },
    freeze: async (daemon, milliseconds, isClockStopped) => {
      if (isFrozen(daemon)) return
      daemon.frozenUntil = clock.now() + milliseconds
      await clock.sleep(milliseconds)
      if (isClockStopped) daemon.clockOffset += milliseconds
    },
    partition: (sides) => { sideOf = sides },
    join: () => add(false),
    stop: () => stopping.abort()
  }
}

/** Returns the most that a customer used within a window. */
export function busiestWindow (executions: readonly Execution[], customer: string, windowMilliseconds = TOLERANCE.windowMilliseconds): number {
  const own = executions.filter((execution) => execution.customer === customer).sort((one, other) => one.at - other.at)
  let [start, sum, busiest] = [0, 0, 0]
  for (const { at, cost } of own) {
    sum += cost
    for (let first = own[start]; first !== undefined && at - first.at >= windowMilliseconds; first = own[++start]) sum -= first.cost
    busiest = Math.max(busiest, sum)
  }
  return busiest
}

/** Creates a source of random numbers from 0 to 1. */
export function createRandom (seed: number): () => number {
  let state = seed * 2_654_435_769 >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}
