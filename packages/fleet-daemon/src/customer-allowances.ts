import type { Clock } from '@fuchsiastage/clock'
import { BEAT_MILLISECONDS, createAllowanceClient, createAllowanceIssuer, creditOf, type AllowanceClient, type AllowanceIssuer, type AllowanceRecord, type AllowanceTolerance, type FleetView } from '@fuchsiastage/customer-allowances'
import type { Member, MemberDirectory, ServingConfiguration } from '@fuchsiastage/fleet'
import type { FleetPeerClient } from '@fuchsiastage/fleet-peer'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import type { FleetSize } from './fleet-size.js'
import { chooseResponsible } from './responsible-member.js'

export interface AllowanceLabels {
  readonly customer: string
  readonly outcome: 'admitted' | 'over-allowance' | 'unavailable'
}

export interface CustomerAllowancesOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly members: MemberDirectory
  readonly fleetSize: Pick<FleetSize, 'expected'>
  readonly peers: Pick<FleetPeerClient, 'allowance'>
  readonly self: () => Member
  readonly configuration: () => ServingConfiguration | undefined
  /** Name of the daemon that holds the order lease, possibly this one. It has the least processor time to spare, so it issues allowances only if no other daemon does. */
  readonly leaseHolder: () => string | undefined
  /** By how much all daemons together may exceed an allowance within a window. */
  readonly tolerance: () => AllowanceTolerance
  /** Called for each decision on a request of this daemon. */
  readonly countDecision: (labels: AllowanceLabels) => void
  /** Source of random numbers from 0 to 1, for the spread of the calls. */
  readonly random: () => number
}

export interface CustomerAllowances extends Pick<AllowanceClient, 'acquire' | 'refund'> {
  /** Decides on a request of another daemon that considers this one the issuer. */
  readonly answer: AllowanceIssuer['decide']
  /** Watches the membership until the signal aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>
}

/** The issuer decides without waiting, but on VMs with 0.12 cores under load one request in six got no response within 200 ms. */
const ALLOWANCE_TIMEOUT_MILLISECONDS = 600
/** Time for which the view of the members is reused: reading 370 members takes longer than a decision. */
const VIEW_MILLISECONDS = 50
/**
 * Time without contact after which a daemon that was leaving counts as removed. One that restarts may be back behind
 * a partition, where it issues its part of the rate.
 */
const LEFT_MILLISECONDS = 30_000
/** The customers with the largest allowances have a label of their own. */
const LABELLED_CUSTOMERS = 20
/** Bound of the labels when configurations with other customers follow each other. */
const MAXIMUM_LABELS = 2 * LABELLED_CUSTOMERS
/** One line per customer and this time for requests over the allowance. */
const LOG_INTERVAL_MILLISECONDS = 1_000

/**
 * Creates the allowances of customers over all daemons together. The allowance of a customer is issued by one
 * daemon, chosen by a hash of the customer and the names of the responsive daemons that know the call.
 *
 * @example
 * const allowances = createCustomerAllowances(options)
 * const decision = await allowances.acquire(customer, 9_200, 250, signal)
 */
export function createCustomerAllowances (options: CustomerAllowancesOptions): CustomerAllowances {
  const { clock, logger, members, fleetSize, peers, self, configuration, random } = options
  const labelOf = createCustomerLabels(configuration)
  const logDenial = createDenialLog(clock, logger)

  const isCandidate = ({ name, state, issuesAllowances }: Member): boolean => state === 'serving' && issuesAllowances === true && members.isAlive(name)

  /** Issuers of customers among the present candidates and this daemon: a choice takes a hash for each daemon, too much for each request. */
  const issuers = new Map<string, string>()
  let ownState = self().state
  let knownHolder: string | undefined
  let viewedAt: Milliseconds = -Infinity
  let view: FleetView & { readonly candidates: readonly Member[] } = { responsive: 1, known: Infinity, candidates: [] }
  const fleet = (): typeof view => {
    const now = clock.now()
    if (now - viewedAt < VIEW_MILLISECONDS) return view
    viewedAt = now
    const others = members.others()
    const responsive = others.filter(({ name }) => members.isAlive(name)).length
    // A daemon that has left the fleet keeps its record.
    const left = others.filter(({ name, state }) => state === 'leaving' && members.sinceLastContact(name) >= LEFT_MILLISECONDS).length
    const candidates = others.filter(isCandidate)
    const holder = options.leaseHolder()
    if (self().state !== ownState || holder !== knownHolder || !hasSameNames(candidates, view.candidates)) issuers.clear()
    ownState = self().state
    knownHolder = holder
    view = { responsive: 1 + responsive, known: fleetSize.expected() - left, candidates }
    return view
  }

  const choose = (customer: string, isExcluded: (name: string) => boolean): string | undefined => {
    const { candidates, known } = fleet()
    // Each daemon that decided alone would issue the whole allowance.
    if (!Number.isFinite(known)) return undefined
    const chosen = issuers.get(customer) ?? chooseAmong(customer, [self(), ...candidates].filter(({ name }) => name !== knownHolder)) ?? self().name
    issuers.set(customer, chosen)
    if (!isExcluded(chosen)) return chosen
    // While a new issuer waits for its predecessor, which may hold the lease by now, the predecessor is asked.
    return chooseAmong(customer, [self(), ...candidates].filter(({ name }) => !isExcluded(name)))
  }

  const issuer = createAllowanceIssuer({ clock, name: self().name, fleet, canIssue: () => self().state === 'serving' && Number.isFinite(fleet().known) })

  const client = createAllowanceClient({
    clock,
    fleet,
    configurationVersion: () => configuration()?.version ?? -1,
    choose,
    isActive: (name) => {
      if (name === self().name) return self().state === 'serving'
      const member = members.find(name)
      return member !== undefined && isCandidate(member)
    },
    ask: (name, request, signal) => name === self().name ? issuer.decide(request) : askPeer(name, request, signal),
    credit: (allowance) => creditOf(allowance, options.tolerance(), fleet()),
    onUnresponsive: (name, customer) => logger.warn('the issuer of an allowance did not respond; this daemon grants its own share', { event: 'allowance-issuer-silent', member: name, customer, timeoutMilliseconds: ALLOWANCE_TIMEOUT_MILLISECONDS }),
    onDecision: (record) => {
      options.countDecision({ customer: labelOf(record.customer), outcome: outcomeOf(record) })
      if (record.decision.kind !== 'granted') logDenial(record)
    },
    random
  })

  const askPeer: Parameters<typeof createAllowanceClient>[0]['ask'] = async (name, request, signal) => {
    const address = members.find(name)?.peerAddress
    if (address === undefined) return undefined
    const answer = await peers.allowance(address, request, ALLOWANCE_TIMEOUT_MILLISECONDS, signal)
    if (answer.isOk) return answer.value
    if (!signal.aborted) logger.debug('a call to the issuer of an allowance failed', { event: 'allowance-call-failed', member: name, customer: request.customer, reason: answer.error.message })
    return undefined
  }

  const candidateNames = (): string => fleet().candidates.map(({ name }) => name).sort().join(' ')

  return {
    acquire: client.acquire,
    refund: client.refund,
    answer: issuer.decide,
    run: async (signal) => {
      let knownNames = candidateNames()
      while (!signal.aborted) {
        issuer.beat()
        const names = candidateNames()
        if (names !== knownNames) issuer.retain((customer) => choose(customer, () => false) === self().name)
        knownNames = names
        await clock.sleep(BEAT_MILLISECONDS, signal)
      }
    }
  }
}

function hasSameNames (one: readonly Member[], other: readonly Member[]): boolean {
  return one.length === other.length && one.every(({ name }, index) => name === other[index]?.name)
}

function chooseAmong (customer: string, [first, ...rest]: readonly Member[]): string | undefined {
  return first === undefined ? undefined : chooseResponsible(customer, first, { others: () => rest, isAlive: () => true }).name
}

function outcomeOf ({ decision }: AllowanceRecord): AllowanceLabels['outcome'] {
  switch (decision.kind) {
    case 'granted':
      return 'admitted'
    case 'denied':
      return 'over-allowance'
    case 'unavailable':
      return 'unavailable'
  }
}

/** Returns the label of a customer in metrics: its name if its allowance is one of the largest, or else `other`. */
function createCustomerLabels (configuration: CustomerAllowancesOptions['configuration']): (customer: string) => string {
  const labels = new Set<string>()
  let labelledVersion: number | undefined
  return (customer) => {
    const current = configuration()
    if (current !== undefined && current.version !== labelledVersion) {
      labelledVersion = current.version
      const largest = [...current.customers?.customers ?? []].sort((one, other) => (other.allowance?.perSecond ?? 0) - (one.allowance?.perSecond ?? 0)).slice(0, LABELLED_CUSTOMERS)
      for (const { name } of largest) if (labels.size < MAXIMUM_LABELS) labels.add(name)
    }
    return labels.has(customer) ? customer : 'other'
  }
}

/** Logs the first denial of a customer in each second, with the number of those since the line before. */
function createDenialLog (clock: Clock, logger: Logger): (record: AllowanceRecord) => void {
  const lines = new Map<string, { readonly at: Milliseconds, suppressed: number }>()
  return ({ customer, cost, decision, source, issuer, level, ageMilliseconds }) => {
    const now = clock.now()
    const line = lines.get(customer)
    if (line !== undefined && now - line.at < LOG_INTERVAL_MILLISECONDS) {
      line.suppressed++
      return
    }
    if (decision.kind === 'granted') return
    // Only customers whose last line is recent are kept, and those with suppressed lines to report.
    if (lines.size > MAXIMUM_LABELS) for (const [name, { at }] of lines) if (now - at >= 10 * LOG_INTERVAL_MILLISECONDS) lines.delete(name)
    lines.set(customer, { at: now, suppressed: 0 })
    logger.info(decision.kind === 'denied' ? 'a request is over the allowance of its customer' : 'the allowance of a customer is unavailable', {
      event: decision.kind === 'denied' ? 'allowance-exceeded' : 'allowance-unavailable',
      customer,
      cost,
      retryAfter: Math.round(decision.retryAfterMilliseconds),
      source,
      issuer,
      level: level === undefined ? undefined : Math.round(level),
      age: ageMilliseconds === undefined ? undefined : Math.round(ageMilliseconds),
      suppressed: line?.suppressed ?? 0
    })
  }
}
