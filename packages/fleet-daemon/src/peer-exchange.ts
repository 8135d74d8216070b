import type { Clock } from '@fuchsiastage/clock'
import type { Member, MemberDirectory, TargetDirectory, TargetKey, TargetNews } from '@fuchsiastage/fleet'
import type { FleetPeerClient, RelayedDocument, SyncAnswer, SyncMessage } from '@fuchsiastage/fleet-peer'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'

export interface PeerExchangeOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly members: MemberDirectory
  readonly directory: TargetDirectory
  readonly peers: FleetPeerClient
  readonly self: () => Member
  /** Term of the order lease, while this daemon holds it. */
  readonly leaseTerm: () => number | undefined
  readonly configurationVersion: () => number | undefined
  readonly lacksTargets: () => boolean
  /** Takes the requests counted since the last call, for the holder of the lease. */
  readonly takeDemand: () => ReadonlyArray<readonly [string, number]>
  readonly inUse: () => readonly string[]
  readonly recordInUse: (subjects: readonly string[]) => void
  readonly strained: () => readonly TargetKey[]
  readonly recordOverloaded: (targets: readonly TargetKey[]) => void
  readonly recordDemand: (demand: ReadonlyArray<readonly [string, number]>) => void
  readonly news: () => readonly TargetNews[]
  readonly configurationDocument: () => RelayedDocument | undefined
  readonly targetDocuments: () => readonly RelayedDocument[]
  readonly acceptConfiguration: (document: RelayedDocument) => void
  readonly acceptTargets: (documents: readonly RelayedDocument[]) => void
}

export interface LeaseHolder {
  readonly member: Member
  readonly term: number
}

export interface PeerExchange {
  readonly run: (signal: AbortSignal) => Promise<void>
  readonly answer: (message: SyncMessage) => SyncAnswer
  /** Tells all peers at once, for example that this daemon is leaving. */
  readonly exchangeWithAll: () => Promise<void>
  /** The peer that was heard lately and holds the order lease. */
  readonly holder: () => LeaseHolder | undefined
  /** Time since a holder of the order lease was heard; infinite before the first one. */
  readonly sinceHolderContact: () => Milliseconds
}

/** Period of the exchange: load news and dead peers are noticed within a few periods. */
const EXCHANGE_MILLISECONDS = 450
/** Below the time after which a peer counts as silent, so that two attempts fit. */
const EXCHANGE_TIMEOUT_MILLISECONDS = 700
/** Up to this number of peers each exchange reaches all of them. */
const FULL_EXCHANGE_PEERS = 8
/** Peers of one exchange beyond that, beside the holder of the lease. */
const PARTIAL_EXCHANGE_PEERS = 3
/** Rumours of one message: news of all members spread over several messages. */
const MAXIMUM_MEMBER_UPDATES = 24
/** A peer that has not asked for this time is asked. */
const CONTACT_PERIOD_MILLISECONDS = 1_000
/** Messages of which one carries rumours, while every exchange reaches all peers. */
const MEMBER_UPDATE_ROUNDS = 8
/** Peers that do not answer are tried again at this period. */
const UNRESPONSIVE_RETRY_MILLISECONDS = 1_600
/** How long a peer's word that it holds the lease is taken as current. */
const HOLDER_VALIDITY_MILLISECONDS = 1_500

/**
 * Creates the regular exchange with the other daemons: who lives, who holds the order lease, what
 * the targets hold, and documents of the log service for those that cannot read it.
 *
 * @example
 * const exchange = createPeerExchange(options)
 * await exchange.run(stopping.signal)
 */
export function createPeerExchange (options: PeerExchangeOptions): PeerExchange {
  const { clock, members, directory, peers, self } = options
  const lastAttemptAt = new Map<string, Milliseconds>()
  let knownHolder: { readonly name: string, readonly term: number, readonly lastContactAt: Milliseconds } | undefined
  let lastHolderContactAt: Milliseconds = -Infinity
  let updateOffset = 0
  let updateRound = 0

  const recordLeaseTerm = (member: Member, term: number | undefined): void => {
    if (term === undefined) {
      if (knownHolder?.name === member.name) knownHolder = undefined
      return
    }
    lastHolderContactAt = clock.now()
    if (knownHolder === undefined || term >= knownHolder.term) knownHolder = { name: member.name, term, lastContactAt: clock.now() }
  }

  const holder = (): LeaseHolder | undefined => {
    if (knownHolder === undefined || clock.now() - knownHolder.lastContactAt > HOLDER_VALIDITY_MILLISECONDS) return undefined
    const member = members.find(knownHolder.name)
    return member === undefined ? undefined : { member, term: knownHolder.term }
  }

  const selectMemberUpdates = (): SyncMessage['rumours'] => {
    // Where every exchange reaches all peers, rumours only help those that lack a record of the log.
    const isComplete = members.others().length <= FULL_EXCHANGE_PEERS
    if (isComplete && updateRound++ % MEMBER_UPDATE_ROUNDS !== 0) return []
    const updates = members.updates()
    if (updates.length <= MAXIMUM_MEMBER_UPDATES) return [...updates]
    updateOffset = (updateOffset + MAXIMUM_MEMBER_UPDATES) % updates.length
    return [...updates, ...updates].slice(updateOffset, updateOffset + MAXIMUM_MEMBER_UPDATES)
  }

  const exchangeWith = async (peer: Member, demand: ReadonlyArray<readonly [string, number]>): Promise<void> => {
    lastAttemptAt.set(peer.name, clock.now())
    const answer = await peers.sync(peer.peerAddress, {
      member: self(),
      leaseTerm: options.leaseTerm(),
      rumours: selectMemberUpdates(),
      configurationVersion: options.configurationVersion(),
      lacksTargets: options.lacksTargets(),
      demand: demand.map(([subject, count]): [string, number] => [subject, count]),
      inUse: peer.name === holder()?.member.name ? [...options.inUse()] : [],
      strained: peer.name === holder()?.member.name ? [...options.strained()] : []
    }, EXCHANGE_TIMEOUT_MILLISECONDS)
    if (answer.isErr) {
      options.logger.debug('peer did not answer', { event: 'peer-silent', peer: peer.peerAddress, reason: answer.error.message })
      if (demand.length > 0) options.recordDemand(demand)
      return
    }
    const { member, leaseTerm, rumours, configuration, targets, news } = answer.value
    members.recordContact(member)
    members.applyUpdates(rumours)
    recordLeaseTerm(member, leaseTerm)
    if (configuration !== undefined) options.acceptConfiguration(configuration)
    if (targets.length > 0) options.acceptTargets(targets)
    if (leaseTerm !== undefined) for (const update of news) directory.applyNews(update)
  }

  /** Of two daemons that hear each other one asks; all ask the holder of the lease. */
  const isDue = ({ name }: Member): boolean => {
    const sinceLastAttempt = clock.now() - (lastAttemptAt.get(name) ?? -Infinity)
    if (!members.isAlive(name)) return sinceLastAttempt >= UNRESPONSIVE_RETRY_MILLISECONDS
    return name === holder()?.member.name || self().name < name || members.sinceLastContact(name) > CONTACT_PERIOD_MILLISECONDS
  }

  const choosePeers = (): readonly Member[] => {
    const due = members.others().filter(isDue)
    if (due.length <= FULL_EXCHANGE_PEERS) return due
    const holderName = holder()?.member.name
    const shuffled = due.filter(({ name }) => name !== holderName).map((member) => ({ member, order: Math.random() })).sort((one, other) => one.order - other.order)
    return [...due.filter(({ name }) => name === holderName), ...shuffled.slice(0, PARTIAL_EXCHANGE_PEERS).map(({ member }) => member)]
  }

  const exchangeWithPeers = async (chosen: readonly Member[]): Promise<void> => {
    const holderName = holder()?.member.name
    const demand = holderName === undefined && options.leaseTerm() === undefined ? [] : options.takeDemand()
    if (options.leaseTerm() !== undefined) {
      options.recordDemand(demand)
      options.recordInUse(options.inUse())
      options.recordOverloaded(options.strained())
    }
    await Promise.all(chosen.map(async (peer) => await exchangeWith(peer, peer.name === holderName ? demand : [])))
  }

  return {
    holder,
    sinceHolderContact: () => clock.now() - lastHolderContactAt,
    exchangeWithAll: async () => await exchangeWithPeers(members.others()),
    run: async (signal) => {
      while (!signal.aborted) {
        const startedAt = clock.now()
        await exchangeWithPeers(choosePeers())
        members.logLivenessChanges()
        await clock.sleep(Math.max(EXCHANGE_MILLISECONDS / 2, EXCHANGE_MILLISECONDS - (clock.now() - startedAt)), signal)
      }
    },
    answer: (message) => {
      members.recordContact(message.member)
      members.applyUpdates(message.rumours)
      recordLeaseTerm(message.member, message.leaseTerm)
      const leaseTerm = options.leaseTerm()
      if (leaseTerm !== undefined) {
        options.recordDemand(message.demand)
        options.recordInUse(message.inUse)
        options.recordOverloaded(message.strained)
      }
      const isBehind = (options.configurationVersion() ?? -1) > (message.configurationVersion ?? -1)
      return {
        member: self(),
        leaseTerm,
        rumours: selectMemberUpdates(),
        configuration: isBehind ? options.configurationDocument() : undefined,
        targets: message.lacksTargets ? options.targetDocuments() : [],
        news: leaseTerm === undefined ? [] : options.news().map(withoutCachedModels)
      }
    }
  }
}

/** Only the holder of the lease needs to know where copies of weights are, and it reads that from the engines. */
function withoutCachedModels (update: TargetNews): TargetNews {
  return { ...update, placement: { ...update.placement, modelsInMemory: [], modelsOnDisk: [] } }
}
