import type { Clock } from '@fuchsiastage/clock'
import type { AllowanceUnit, CustomerAllowance, ServingCustomer } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { AllowanceAnswer, AllowanceDecision, AllowanceRequest, FleetView, PreviousAnswer } from './messages.js'
import { amountKey } from './amount-key.js'
import { createLocalAllowance, type LocalAllowance } from './local-allowance.js'

/** A decision with what determined it, for log lines and metrics. */
export interface AllowanceRecord {
  readonly customer: string
  readonly cost: number
  readonly decision: AllowanceDecision
  /** `issuer`: its answer; `advance`: what it granted before; `denial`: what it denied before; `local`: it did not respond. */
  readonly source: 'issuer' | 'advance' | 'denial' | 'local'
  /** The daemon that answered last, the level of the bucket that it stated, and the age of this. */
  readonly issuer: string | undefined
  readonly level: number | undefined
  readonly ageMilliseconds: Milliseconds | undefined
}

export interface AllowanceClientOptions {
  readonly clock: Clock
  readonly fleet: () => FleetView
  /** Version of the active configuration. */
  readonly configurationVersion: () => number
  /** Chooses the issuer of a customer's allowance among the daemons that are not excluded; undefined if there is none. */
  readonly choose: (customer: string, isExcluded: (name: string) => boolean) => string | undefined
  /** Whether a daemon is responsive and serving. */
  readonly isActive: (name: string) => boolean
  /** Asks an issuer; undefined if it does not respond in time. */
  readonly ask: (issuer: string, request: AllowanceRequest, signal: AbortSignal) => AllowanceAnswer | Promise<AllowanceAnswer | undefined>
  /** Called when an issuer has not responded and is not asked for a time. */
  readonly onUnresponsive: (issuer: string, customer: string) => void
  readonly onDecision: (record: AllowanceRecord) => void
  /** Source of random numbers from 0 to 1, for the spread of the calls. */
  readonly random: () => number
}

/** Asks for the cost of one request of a customer. A customer without a limit is always granted. */
export type AcquireAllowance = (customer: ServingCustomer, cost: number, maximumWaitMilliseconds: Milliseconds, signal: AbortSignal) => Promise<AllowanceDecision>

export interface AllowanceClient {
  readonly acquire: AcquireAllowance
  /** Returns the cost of a granted request that has reached no target. */
  readonly refund: (customer: ServingCustomer, cost: number) => void
  /** Number of customers with state at this daemon. */
  readonly count: () => number
}

/** Denial of a request; it also applies to requests that cost as much and can wait no longer. */
interface Denial {
  readonly cost: number
  readonly maximumWaitMilliseconds: Milliseconds
  readonly perSecond: number
  readonly burst: number
  readonly freeAt: Milliseconds
  readonly validUntil: Milliseconds
}

interface Account {
  usedAt: Milliseconds
  advance: number
  advanceUntil: Milliseconds
  returned: number
  returnedUntil: Milliseconds
  /** Number of the current second, and the use in it and in the one before. */
  second: number
  use: number
  recentUse: number
  /** Denials of requests that differ in cost and longest wait, so that none replaces another one. */
  denials: readonly Denial[]
  previous: { readonly issuer: string, readonly level: number, readonly at: Milliseconds } | undefined
  /** Daemons that have stated that they do not issue the allowance, with the time until which they are not asked. */
  readonly excludedUntil: Map<string, Milliseconds>
  readonly local: LocalAllowance
}

/** Time for which an issuer that did not respond is not asked. Its successor is known when it counts as unresponsive. */
const ISSUER_BACKOFF_MILLISECONDS = 500
/** Time within which an advance or a returned cost is used; a longer one would shift use into a later window. */
const ADVANCE_LIFETIME_MILLISECONDS = 1_000
/** Calls per second for one customer from all daemons together after denials, unless the burst refills faster than they would return. */
const CALLS_PER_SECOND_AFTER_DENIALS = 200
/** Daemons that were denied ask again, on average, when the bucket has filled to this part of the burst, so that no refill is lost. */
const HOLD_SHARE = 0.25
/** Bounds the work for a decision. The requests of a customer have few combinations of cost and wait that no other one covers. */
const MAXIMUM_DENIALS = 4
/** Shortest retry delay for clients, as for permits of targets. */
const MINIMUM_RETRY_MILLISECONDS = 50
/** The first choice, its replacement while it does not issue, and the replacement of this one. */
const MAXIMUM_CHOICES = 3
/** State of customers without requests for this time is discarded. It is longer than anything in it is valid. */
const IDLE_MILLISECONDS = 60_000
const SWEEP_MILLISECONDS = 10_000
const MILLISECONDS_PER_SECOND = 1_000

/**
 * Creates the side of the allowances that a daemon uses for its requests. The issuer of each customer's
 * allowance decides; while it does not respond, the daemon grants its own share.
 *
 * @example
 * const allowances = createAllowanceClient(options)
 * const decision = await allowances.acquire(customer, 9_200, 250, signal)
 * if (decision.kind === 'granted') await clock.sleep(decision.waitMilliseconds)
 */
export function createAllowanceClient (options: AllowanceClientOptions): AllowanceClient {
  const { clock, fleet, random } = options
  const accounts = new Map<string, Account>()
  const avoidedUntil = new Map<string, Milliseconds>()
  let sweptAt = clock.now()

  const sweep = (now: Milliseconds): void => {
    if (now - sweptAt < SWEEP_MILLISECONDS) return
    sweptAt = now
    for (const [key, { usedAt }] of accounts) if (now - usedAt >= IDLE_MILLISECONDS) accounts.delete(key)
    for (const [issuer, until] of avoidedUntil) if (until <= now) avoidedUntil.delete(issuer)
  }

  const accountOf = (customer: string, unit: AllowanceUnit, now: Milliseconds): Account => {
    sweep(now)
    const key = amountKey(customer, unit)
    const account = accounts.get(key) ?? createAccount(clock, fleet)
    accounts.set(key, account)
    account.usedAt = now
    return account
  }

  const previousOf = ({ previous }: Account, now: Milliseconds): PreviousAnswer | undefined => previous === undefined
    ? undefined
    : { issuer: previous.issuer, level: previous.level, ageMilliseconds: now - previous.at, isActive: options.isActive(previous.issuer) }

  const rememberDenial = (account: Account, allowance: CustomerAllowance, cost: number, maximumWaitMilliseconds: Milliseconds, retryAfterMilliseconds: Milliseconds): void => {
    const now = clock.now()
    const { perSecond, burst } = allowance
    const meanHold = Math.min(MILLISECONDS_PER_SECOND * fleet().responsive / CALLS_PER_SECOND_AFTER_DENIALS, MILLISECONDS_PER_SECOND * HOLD_SHARE * burst / perSecond)
    // Daemons that were denied at the same time do not ask again at the same time.
    const hold = Math.max(retryAfterMilliseconds - maximumWaitMilliseconds, 2 * random() * meanHold)
    const denial: Denial = { cost, maximumWaitMilliseconds, perSecond, burst, freeAt: now + retryAfterMilliseconds, validUntil: now + hold }
    account.denials = [...account.denials.filter((other) => other.validUntil > now && !covers(denial, other)), denial].slice(-MAXIMUM_DENIALS)
  }

  const knownDenial = ({ denials }: Account, { perSecond, burst }: CustomerAllowance, cost: number, maximumWaitMilliseconds: Milliseconds, now: Milliseconds): AllowanceDecision | undefined => {
    const denial = denials.find((known) => known.validUntil > now && cost >= known.cost && maximumWaitMilliseconds <= known.maximumWaitMilliseconds && perSecond === known.perSecond && burst === known.burst)
    if (denial === undefined) return undefined
    return deny(Math.max(denial.freeAt, denial.validUntil) - now + MILLISECONDS_PER_SECOND * (Math.min(cost, burst) - Math.min(denial.cost, burst)) / perSecond)
  }

  /** Asks the issuer, or its replacement while it does not issue; undefined if none responds. */
  const askIssuer = async (account: Account, request: Omit<AllowanceRequest, 'previous' | 'returned'>, signal: AbortSignal): Promise<Exclude<AllowanceAnswer, { readonly kind: 'not-issuing' }> | undefined> => {
    for (let choices = 0; choices < MAXIMUM_CHOICES; choices++) {
      const now = clock.now()
      for (const [name, until] of account.excludedUntil) if (until <= now) account.excludedUntil.delete(name)
      const issuer = options.choose(request.customer, (name) => account.excludedUntil.has(name))
      if (issuer === undefined || (avoidedUntil.get(issuer) ?? -Infinity) > now) return undefined
      const returned = takeReturned(account, now)
      const pending = options.ask(issuer, { ...request, returned, previous: previousOf(account, now) }, signal)
      const answer = pending instanceof Promise ? await pending : pending
      if (answer === undefined) {
        if (!signal.aborted && (avoidedUntil.get(issuer) ?? -Infinity) <= clock.now()) {
          avoidedUntil.set(issuer, clock.now() + ISSUER_BACKOFF_MILLISECONDS)
          options.onUnresponsive(issuer, request.customer)
        }
        return undefined
      }
      if (answer.kind !== 'not-issuing') {
        if (account.previous === undefined || account.previous.at <= now) account.previous = { issuer, level: answer.level, at: now }
        return answer
      }
      account.excludedUntil.set(issuer, clock.now() + answer.forMilliseconds)
    }
    return undefined
  }

  const decideLocally = (account: Account, allowance: CustomerAllowance, cost: number): AllowanceDecision =>
    account.local.take(allowance, cost, account.previous?.level)
      ? { kind: 'granted', waitMilliseconds: 0 }
      : { kind: 'unavailable', retryAfterMilliseconds: ISSUER_BACKOFF_MILLISECONDS }

  const decide = async (account: Account, { name, cost, maximumWaitMilliseconds, allowance }: {
    readonly name: string
    readonly cost: number
    readonly maximumWaitMilliseconds: Milliseconds
    readonly allowance: CustomerAllowance
  }, signal: AbortSignal): Promise<Pick<AllowanceRecord, 'decision' | 'source'>> => {
    const now = clock.now()
    if (takeAdvance(account, cost, now)) return { source: 'advance', decision: { kind: 'granted', waitMilliseconds: 0 } }
    const denied = knownDenial(account, allowance, cost, maximumWaitMilliseconds, now)
    if (denied !== undefined) return { source: 'denial', decision: denied }
    const { unit, perSecond, burst } = allowance
    const answer = await askIssuer(account, { customer: name, unit, cost, maximumWaitMilliseconds, perSecond, burst, configurationVersion: options.configurationVersion(), recentUse: recentUseOf(account, now) }, signal)
    if (answer === undefined) return { source: 'local', decision: decideLocally(account, allowance, cost) }
    switch (answer.kind) {
      case 'granted':
        account.advance = answer.advance + (account.advanceUntil > clock.now() ? account.advance : 0)
        account.advanceUntil = clock.now() + ADVANCE_LIFETIME_MILLISECONDS
        return { source: 'issuer', decision: { kind: 'granted', waitMilliseconds: answer.waitMilliseconds } }
      case 'denied':
        rememberDenial(account, allowance, cost, maximumWaitMilliseconds, answer.retryAfterMilliseconds)
        return { source: 'issuer', decision: deny(answer.retryAfterMilliseconds) }
    }
  }

  return {
    acquire: async ({ name, allowance }, cost, maximumWaitMilliseconds, signal) => {
      if (allowance === undefined || allowance.perSecond <= 0 || cost <= 0) return { kind: 'granted', waitMilliseconds: 0 }
      const account = accountOf(name, allowance.unit, clock.now())
      const { decision, source } = await decide(account, { name, cost, maximumWaitMilliseconds, allowance }, signal)
      if (decision.kind === 'granted') countUse(account, cost, clock.now())
      const { previous } = account
      options.onDecision({ customer: name, cost, decision, source, issuer: previous?.issuer, level: previous?.level, ageMilliseconds: previous === undefined ? undefined : clock.now() - previous.at })
      return decision
    },
    refund: ({ name, allowance }, cost) => {
      if (allowance === undefined || allowance.perSecond <= 0) return
      const account = accounts.get(amountKey(name, allowance.unit))
      if (account === undefined) return
      const now = clock.now()
      account.returned = cost + (account.returnedUntil > now ? account.returned : 0)
      account.returnedUntil = now + ADVANCE_LIFETIME_MILLISECONDS
    },
    count: () => accounts.size
  }
}

function createAccount (clock: Clock, fleet: () => FleetView): Account {
  return {
    usedAt: clock.now(),
    advance: 0,
    advanceUntil: -Infinity,
    returned: 0,
    returnedUntil: -Infinity,
    second: 0,
    use: 0,
    recentUse: 0,
    denials: [],
    previous: undefined,
    excludedUntil: new Map(),
    local: createLocalAllowance(clock, fleet)
  }
}

/** Whether a denial applies to all requests that an earlier one applies to, or the earlier one is of another limit. */
function covers (denial: Denial, earlier: Denial): boolean {
  if (denial.perSecond !== earlier.perSecond || denial.burst !== earlier.burst) return true
  return denial.cost <= earlier.cost && denial.maximumWaitMilliseconds >= earlier.maximumWaitMilliseconds
}

function deny (retryAfterMilliseconds: Milliseconds): AllowanceDecision {
  return { kind: 'denied', retryAfterMilliseconds: Math.max(MINIMUM_RETRY_MILLISECONDS, retryAfterMilliseconds) }
}

function takeAdvance (account: Account, cost: number, now: Milliseconds): boolean {
  if (account.advanceUntil <= now || account.advance < cost) return false
  account.advance -= cost
  return true
}

function takeReturned (account: Account, now: Milliseconds): number {
  const { returned, returnedUntil } = account
  account.returned = 0
  return returnedUntil > now ? returned : 0
}

/** Returns the use in the last full second. */
function recentUseOf (account: Account, now: Milliseconds): number {
  const second = Math.floor(now / MILLISECONDS_PER_SECOND)
  if (second !== account.second) {
    account.recentUse = second === account.second + 1 ? account.use : 0
    account.use = 0
    account.second = second
  }
  return account.recentUse
}

function countUse (account: Account, cost: number, now: Milliseconds): void {
  recentUseOf(account, now)
  account.use += cost
}
