import { momentOf, type Clock } from '@fuchsiastage/clock'
import type { Member, MemberDirectory, TargetDirectory, TargetKey, TargetUpdate } from '@fuchsiastage/fleet'
import type { FleetPeerClient, RelayedDocument, SyncAnswer, SyncMessage, TargetAccess } from '@fuchsiastage/fleet-peer'
import type { Logger } from '@fuchsiastage/logger'
import type { QuarantineUpdate, RequestQuarantine } from '@fuchsiastage/request-quarantine'
import type { BrittleTargets, TargetLimits } from '@fuchsiastage/target-limits'
import type { Milliseconds } from '@fuchsiastage/types'
import { chooseRelay } from './choose-relay.js'
import { createConfigurationFetch } from './configuration-fetch.js'
import type { ConfigurationConfirmation } from './configuration-confirmation.js'
import type { FleetSize } from './fleet-size.js'
import { createHolderTracker, type LeaseHolder } from './holder-tracker.js'
import type { PeerTargetAccess } from './peer-target-access.js'
import { createTargetNews, type NewsVersion } from './target-news.js'
import { createUsageRelay, type UsageReport } from './usage-relay.js'

export interface PeerExchangeOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly members: MemberDirectory
  readonly directory: TargetDirectory
  readonly peers: FleetPeerClient
  readonly self: () => Member
  /** Term of the order lease while this daemon holds it. */
  readonly leaseTerm: () => number | undefined
  readonly configurationVersion: () => number | undefined
  readonly confirmation: Pick<ConfigurationConfirmation, 'age' | 'needsPeers' | 'recordPeer'>
  /** Whether this daemon has not read the list of targets from the log service since its start. */
  readonly lacksTargets: () => boolean
  /** A daemon to contact while the members cannot be read from the log service; it may have ended. */
  readonly introducer: () => Pick<Member, 'name' | 'peerAddress'> | undefined
  readonly fleetSize: Pick<FleetSize, 'stated' | 'recordStatement'>
  /** Returns the numbers of requests since the last call, by `model` and `model/adapter`, for the lease holder, and resets them. */
  readonly takeDemand: () => ReadonlyArray<readonly [string, number]>
  /** Models and adapters that currently serve requests of this daemon. */
  readonly inUse: () => readonly string[]
  /** Called on the lease holder with the models and adapters in use at a daemon. */
  readonly recordInUse: (subjects: readonly string[]) => void
  /** Targets that are overloaded as observed by this daemon. */
  readonly overloadedTargets: () => readonly TargetKey[]
  /** Called on the lease holder with the overloaded targets that a daemon has observed. */
  readonly recordOverloaded: (targets: readonly TargetKey[]) => void
  /** Records numbers of requests in this daemon: on the lease holder, and when they could not be sent to the holder. */
  readonly recordDemand: (demand: ReadonlyArray<readonly [string, number]>) => void
  /** Target updates that this daemon sends to its peers while it holds the order lease. */
  readonly targetUpdates: () => readonly TargetUpdate[]
  readonly configurationDocument: () => RelayedDocument | undefined
  readonly targetDocuments: () => readonly RelayedDocument[]
  readonly acceptConfiguration: (document: RelayedDocument) => void
  readonly acceptTargets: (documents: readonly RelayedDocument[]) => void
  /** Whether this daemon reaches any of the targets. */
  readonly targetAccess: () => TargetAccess
  readonly peerAccess: Pick<PeerTargetAccess, 'recordStatement' | 'applyGossip' | 'reachingMembers' | 'supportingMembers'>
  readonly targetLimits: Pick<TargetLimits, 'recentUpdates' | 'applyUpdates'>
  readonly brittleTargets: Pick<BrittleTargets, 'recentUpdates' | 'applyUpdates'>
  readonly quarantine: Pick<RequestQuarantine, 'updates' | 'applyUpdates'>
  /** Source of random numbers from 0 to 1, for the choice of peers. */
  readonly random: () => number
}

export interface PeerExchange {
  /** Exchanges state with peers periodically until the signal aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>
  /** Processes a message of a peer and returns the response. */
  readonly answer: (message: SyncMessage) => SyncAnswer
  /** Exchanges state with all peers, the responsive ones first, for example when this daemon starts draining. */
  readonly exchangeWithAll: () => Promise<void>
  /** The peer that holds the order lease, as it has recently stated to this daemon or to one of its peers. */
  readonly holder: () => LeaseHolder | undefined
  /** Time since the last contact of any known daemon with a peer that held the order lease; infinite before the first one. */
  readonly sinceHolderContact: () => Milliseconds
}

/** Period of the exchange. Target updates arrive and failed peers are detected within a few periods. */
const EXCHANGE_MILLISECONDS = 450
/** Two attempts fit into the time after which a member without contact counts as unresponsive. */
const EXCHANGE_TIMEOUT_MILLISECONDS = 700
/** Up to this number of peers, each exchange includes all of them. */
const FULL_EXCHANGE_PEERS = 8
/** Number of random responsive peers, in addition to the upstream, in an exchange among more peers. */
const PARTIAL_EXCHANGE_PEERS = 1
/** Number of random unresponsive peers that an exchange among more peers contacts without waiting for them. */
const PARTIAL_EXCHANGE_UNRESPONSIVE_PEERS = 2
/** Exchanges at the same time of an exchange with all peers. The responses of many would fill a slow link, so that requests and connections to targets wait. */
const CONCURRENT_EXCHANGES = 4
/** Time after which a peer that has not responded does not hold up the exchange with the next one. */
const SLOW_EXCHANGE_MILLISECONDS = 100
/** Period at which a daemon that has not read the list of members asks a peer for it. In large fleets it takes many kilobytes. */
const MEMBER_LIST_MILLISECONDS = 1_000
/** Maximum number of members in a list that is not complete, for which a whole fleet may ask the same daemon. */
const MAXIMUM_LISTED_MEMBERS = 64
/** Maximum number of descriptions of members in one message. */
const MAXIMUM_MEMBER_UPDATES = 8
/** Maximum number of contacts with members in one message. Each takes some 40 bytes. */
const MAXIMUM_MEMBER_CONTACTS = 128
/** Time for which a relay that did not respond is bypassed. */
const FAILED_UPSTREAM_MILLISECONDS = 2_000
/** Time for which a daemon of an earlier version is bypassed as a relay. It may restart with this version. */
const EARLIER_VERSION_BYPASS_MILLISECONDS = 30_000
/** The lease holder compares the state of all targets with the published one at most this often. */
const NEWS_INTERVAL_MILLISECONDS = 150
/** A peer that is expected to start the exchange is contacted by this daemon if there was no contact for this time. */
const CONTACT_PERIOD_MILLISECONDS = 1_000
/** While every exchange includes all peers, one of this many messages carries membership updates. */
const ROUNDS_PER_MEMBER_UPDATE = 8
/** Period at which unresponsive peers are contacted again. */
const UNRESPONSIVE_RETRY_MILLISECONDS = 1_600
/** Stated by a daemon that has received no target updates yet. No term of the lease is negative. */
const NO_NEWS: NewsVersion = { term: -1, sequence: 0 }

/**
 * Creates the periodic exchange with the other daemons. It transfers membership updates, the holder
 * of the order lease, target updates, and documents of the log service for daemons that cannot reach it.
 *
 * In a large fleet the lease holder could not answer all daemons in every period. Therefore some
 * daemons, the square root of their number, act as relays: they report to the holder and get the target
 * updates from it, and each other daemon does the same with one relay, its upstream.
 *
 * @example
 * const exchange = createPeerExchange(options)
 * await exchange.run(stopping.signal)
 */
export function createPeerExchange (options: PeerExchangeOptions): PeerExchange {
  const { clock, logger, members, directory, peers, self } = options
  const lastAttemptAt = new Map<string, Milliseconds>()
  let updateRound = 0
  let listAskedAt: Milliseconds = -Infinity
  const usageRelay = createUsageRelay(clock)
  const news = createTargetNews(clock)
  let newsPublishedAt: Milliseconds = -Infinity
  const bypassedUntil = new Map<string, Milliseconds>()
  /** Causes of crashes that each peer knew when it sent its last message. */
  const causesKnownTo = new Map<string, readonly string[] | undefined>()

  const holders = createHolderTracker({ clock, logger, members, selfName: self().name })
  const { holder } = holders

  const memberGossip = (): { readonly rumours: SyncMessage['rumours'], readonly contacts: Array<[string, number, number]> } => {
    // If every exchange includes all peers, gossip helps only peers that have not read a member's
    // record from the log.
    if (!isLargeFleet() && updateRound++ % ROUNDS_PER_MEMBER_UPDATE !== 0) return { rumours: [], contacts: [] }
    return {
      rumours: [...members.recentUpdates(MAXIMUM_MEMBER_UPDATES)],
      contacts: members.recentContacts(MAXIMUM_MEMBER_CONTACTS).map(([name, startedAt, heardAgo]): [string, number, number] => [name, startedAt, heardAgo])
    }
  }

  const brittleGossip = (): SyncMessage['brittleTargets'] => {
    const updates = options.brittleTargets.recentUpdates()
    return updates.length === 0 ? undefined : [...updates]
  }

  /** Whether the next message asks for the list of members. */
  const asksForMembers = (): boolean => {
    if (members.isComplete() || clock.now() - listAskedAt < MEMBER_LIST_MILLISECONDS) return false
    listAskedAt = clock.now()
    return true
  }

  /** Exchanges state with a peer. Only the upstream gets a report, and is asked for target updates. */
  const exchangeWith = async (peer: Pick<Member, 'name' | 'peerAddress'>, report: UsageReport | undefined): Promise<void> => {
    const startedAt = momentOf(clock)
    lastAttemptAt.set(peer.name, startedAt.monotonic)
    const lacksMembers = asksForMembers()
    const answer = await peers.sync(peer.peerAddress, {
      member: self(),
      targetAccess: options.targetAccess(),
      supportsCustomers: true,
      leaseTerm: options.leaseTerm(),
      ...memberGossip(),
      configurationVersion: options.configurationVersion(),
      wantsConfiguration: false,
      lacksTargets: options.lacksTargets(),
      ...lacksMembers ? { lacksMembers } : {},
      holder: holders.gossip(),
      newsSince: report === undefined ? null : news.version() ?? NO_NEWS,
      demand: (report?.demand ?? []).map(([subject, count]): [string, number] => [subject, count]),
      inUse: [...report?.inUse ?? []],
      strained: [...report?.overloaded ?? []],
      targetLimits: [...options.targetLimits.recentUpdates()],
      brittleTargets: brittleGossip(),
      quarantine: options.quarantine.updates(causesKnownTo.get(peer.name)),
      leavingTargets: directory.recentlyLeaving().map(([key, age]): [string, number] => [key, age])
    }, EXCHANGE_TIMEOUT_MILLISECONDS)
    if (answer.isErr) {
      if (lacksMembers) listAskedAt = -Infinity
      const details = { event: 'peer-silent', peer: peer.peerAddress, milliseconds: Math.round(clock.now() - startedAt.monotonic), reason: answer.error.message }
      if (peer.name === holder()?.member.name) logger.info('exchange with the lease holder failed', details)
      else logger.debug('exchange with a peer failed', details)
      if (report !== undefined) {
        bypass(peer, FAILED_UPSTREAM_MILLISECONDS)
        options.recordDemand(report.demand)
      }
      return
    }
    const { member, leaseTerm, rumours, contacts, configuration, targets } = answer.value
    members.recordContact(member)
    if (answer.value.members !== undefined) {
      members.applyList(answer.value.members)
      options.fleetSize.recordStatement(answer.value.members.daemonCount)
    }
    options.peerAccess.recordStatement(member, answer.value.targetAccess, answer.value.supportsCustomers)
    options.peerAccess.applyGossip(answer.value.reachingMembers ?? [], answer.value.customerMembers ?? [])
    members.applyUpdates(rumours)
    members.applyContacts(contacts ?? [])
    holders.recordStatement(member, leaseTerm)
    holders.applyGossip(answer.value.holder)
    options.targetLimits.applyUpdates(answer.value.targetLimits ?? [])
    options.brittleTargets.applyUpdates(answer.value.brittleTargets ?? [])
    applyQuarantine(member.name, answer.value.quarantine)
    applyLeaving(answer.value.leavingTargets)
    // A peer confirms nothing if it has a newer configuration; the next exchange confirms the one that this daemon has applied.
    if (configuration !== undefined) options.acceptConfiguration(configuration)
    else if (isNewer(answer.value.configurationVersion)) void configurationFetch.start(member, answer.value.configurationVersion)
    else options.confirmation.recordPeer(startedAt, answer.value.configurationAge)
    if (targets.length > 0) options.acceptTargets(targets)
    for (const update of receivedUpdates(answer.value)) directory.applyUpdate(update)
    // A daemon of an earlier version does not relay, nor does one whose lease holder is of an earlier version.
    const hasRelayed = leaseTerm !== undefined || answer.value.newsVersion !== undefined
    if (report !== undefined && !hasRelayed) bypass(peer, contacts === undefined ? EARLIER_VERSION_BYPASS_MILLISECONDS : FAILED_UPSTREAM_MILLISECONDS)
  }

  const configurationFetch = createConfigurationFetch({ clock, logger, peers, version: options.configurationVersion, accept: options.acceptConfiguration })

  const isNewer = (version: number | undefined): version is number => version !== undefined && version > (options.configurationVersion() ?? -Infinity)

  const applyQuarantine = (peerName: string, update: QuarantineUpdate | undefined): void => {
    causesKnownTo.set(peerName, update?.causes)
    if (update !== undefined) options.quarantine.applyUpdates(update)
  }

  const applyLeaving = (targets: SyncAnswer['leavingTargets']): void => {
    for (const [key, ageMilliseconds] of targets ?? []) directory.recordLeaving(key, { source: 'peer', ageMilliseconds })
  }

  const bypass = ({ name }: Pick<Member, 'name'>, milliseconds: Milliseconds): void => { bypassedUntil.set(name, clock.now() + milliseconds) }

  const receivedUpdates = ({ leaseTerm, news: updates, newsVersion }: SyncAnswer): readonly TargetUpdate[] => {
    if (newsVersion !== undefined) return news.receive({ version: newsVersion, updates })
    // A lease holder of an earlier version sends the whole state without a number.
    return leaseTerm === undefined ? [] : updates
  }

  /** Target updates for a peer, by the last change that it has received. */
  const newsFor = (newsSince: SyncMessage['newsSince']): Pick<SyncAnswer, 'news' | 'newsVersion'> => {
    if (newsSince === null) return { news: [], newsVersion: undefined }
    const term = options.leaseTerm()
    if (newsSince === undefined) return { news: term === undefined ? [] : options.targetUpdates().map(withoutCachedModels), newsVersion: undefined }
    if (term !== undefined && (term !== news.version()?.term || clock.now() - newsPublishedAt >= NEWS_INTERVAL_MILLISECONDS)) {
      news.publish(term, options.targetUpdates().map(withoutCachedModels))
      newsPublishedAt = clock.now()
    }
    const message = news.since(newsSince)
    return { news: message?.updates ?? [], newsVersion: message?.version }
  }

  /** Of two responsive daemons, the one with the lower name starts the exchange; the lease holder is contacted by all. */
  const isDue = ({ name }: Member): boolean => {
    const sinceLastAttempt = clock.now() - (lastAttemptAt.get(name) ?? -Infinity)
    if (!members.isAlive(name)) return sinceLastAttempt >= UNRESPONSIVE_RETRY_MILLISECONDS
    return options.confirmation.needsPeers() || name === holder()?.member.name || self().name < name || members.sinceLastContact(name) > CONTACT_PERIOD_MILLISECONDS
  }

  const isLargeFleet = (): boolean => members.others().length > FULL_EXCHANGE_PEERS

  const pickRandomly = (candidates: readonly Member[], count: number): readonly Member[] =>
    candidates.map((member) => ({ member, order: options.random() })).sort((one, other) => one.order - other.order).slice(0, count).map(({ member }) => member)

  /** The peer to which this daemon reports and from which it gets target updates. */
  const upstream = (): Member | undefined => {
    const current = holder()
    if (current === undefined || options.leaseTerm() !== undefined) return undefined
    if (!isLargeFleet() || usageRelay.isActive()) return current.member
    const responsiveNames = [self(), ...members.others()]
      .filter(({ name, state }) => name !== current.member.name && state === 'serving' && (name === self().name || members.isAlive(name)))
      .map(({ name }) => name)
    const relayName = chooseRelay(self().name, responsiveNames, current.term)
    const relay = relayName === undefined || (bypassedUntil.get(relayName) ?? -Infinity) > clock.now() ? undefined : members.find(relayName)
    return relay ?? current.member
  }

  /** Peers of an exchange besides the upstream: those to wait for, and unresponsive ones, which would delay it. */
  const choosePeers = (upstreamName: string | undefined): { readonly awaited: readonly Member[], readonly probed: readonly Member[] } => {
    const others = members.others().filter(({ name }) => name !== upstreamName)
    if (!isLargeFleet()) return { awaited: others.filter(isDue), probed: [] }
    return {
      awaited: pickRandomly(others.filter(({ name }) => members.isAlive(name)), PARTIAL_EXCHANGE_PEERS),
      probed: pickRandomly(others.filter((member) => !members.isAlive(member.name) && isDue(member)), PARTIAL_EXCHANGE_UNRESPONSIVE_PEERS)
    }
  }

  const listMembers = (): SyncAnswer['members'] => {
    const list = members.list()
    return { ...list, members: list.isComplete ? list.members : pickRandomly(list.members, MAXIMUM_LISTED_MEMBERS), daemonCount: options.fleetSize.stated() }
  }

  /** A daemon that is to be contacted although its record has not been read. */
  const unmetIntroducer = (): Pick<Member, 'name' | 'peerAddress'> | undefined => {
    if (members.isComplete()) return undefined
    const introducer = options.introducer()
    return introducer === undefined || introducer.name === self().name || members.isAlive(introducer.name) ? undefined : introducer
  }

  const ownReport = (): UsageReport => ({ demand: options.takeDemand(), inUse: options.inUse(), overloaded: options.overloadedTargets() })

  const exchangeWithUpstreamAnd = async (chosen: readonly Member[], upstreamPeer: Member | undefined): Promise<void> => {
    if (options.leaseTerm() !== undefined) {
      const report = usageRelay.merge(ownReport())
      options.recordDemand(report.demand)
      options.recordInUse(report.inUse)
      options.recordOverloaded(report.overloaded)
    }
    await Promise.all([
      ...upstreamPeer === undefined ? [] : [exchangeWith(upstreamPeer, usageRelay.merge(ownReport()))],
      ...chosen.map(async (peer) => await exchangeWith(peer, undefined))
    ])
  }

  return {
    holder,
    sinceHolderContact: holders.sinceContact,
    exchangeWithAll: async () => {
      const upstreamPeer = upstream()
      const exchanges = [exchangeWithUpstreamAnd([], upstreamPeer)]
      const others = members.others().filter(({ name }) => name !== upstreamPeer?.name)
      const queue = [...others.filter(({ name }) => members.isAlive(name)), ...others.filter(({ name }) => !members.isAlive(name))]
      const exchangeOneByOne = async (): Promise<void> => {
        for (let peer = queue.shift(); peer !== undefined; peer = queue.shift()) {
          const exchanged = new AbortController()
          exchanges.push(exchangeWith(peer, undefined).finally(() => exchanged.abort()))
          await clock.sleep(SLOW_EXCHANGE_MILLISECONDS, exchanged.signal)
        }
      }
      await Promise.all(Array.from({ length: CONCURRENT_EXCHANGES }, exchangeOneByOne))
      await Promise.all(exchanges)
    },
    run: async (signal) => {
      while (!signal.aborted) {
        const startedAt = clock.now()
        const upstreamPeer = upstream()
        const { awaited, probed } = choosePeers(upstreamPeer?.name)
        for (const peer of probed) void exchangeWith(peer, undefined)
        const introducer = unmetIntroducer()
        if (introducer !== undefined) void exchangeWith(introducer, undefined)
        await exchangeWithUpstreamAnd(awaited, upstreamPeer)
        members.logLivenessChanges()
        holders.logChanges()
        await clock.sleep(Math.max(EXCHANGE_MILLISECONDS / 2, EXCHANGE_MILLISECONDS - (clock.now() - startedAt)), signal)
      }
    },
    answer: (message) => {
      members.recordContact(message.member)
      options.peerAccess.recordStatement(message.member, message.targetAccess, message.supportsCustomers)
      members.applyUpdates(message.rumours)
      members.applyContacts(message.contacts ?? [])
      holders.recordStatement(message.member, message.leaseTerm)
      holders.applyGossip(message.holder)
      options.targetLimits.applyUpdates(message.targetLimits ?? [])
      options.brittleTargets.applyUpdates(message.brittleTargets ?? [])
      applyQuarantine(message.member.name, message.quarantine)
      applyLeaving(message.leavingTargets)
      const leaseTerm = options.leaseTerm()
      if (leaseTerm !== undefined) {
        options.recordDemand(message.demand)
        options.recordInUse(message.inUse)
        options.recordOverloaded(message.strained)
      } else if (message.newsSince !== null && message.newsSince !== undefined) {
        usageRelay.add({ demand: message.demand, inUse: message.inUse, overloaded: message.strained })
      }
      // The sender's next exchange may be with another daemon. Earlier versions do not know the call.
      if (message.wantsConfiguration !== undefined && isNewer(message.configurationVersion)) void configurationFetch.start(message.member, message.configurationVersion)
      const isOlderAtSender = message.wantsConfiguration !== false && (options.configurationVersion() ?? -1) > (message.configurationVersion ?? -1)
      const reachingMembers = message.targetAccess === 'lost' ? options.peerAccess.reachingMembers() : undefined
      return {
        member: self(),
        targetAccess: options.targetAccess(),
        reachingMembers,
        supportsCustomers: true,
        customerMembers: reachingMembers === undefined ? undefined : options.peerAccess.supportingMembers(reachingMembers.map(([name]) => name)),
        configurationAge: options.confirmation.age(),
        leaseTerm,
        ...memberGossip(),
        configurationVersion: options.configurationVersion(),
        configuration: isOlderAtSender ? options.configurationDocument() : undefined,
        targets: message.lacksTargets ? options.targetDocuments() : [],
        ...message.lacksMembers === true ? { members: listMembers() } : {},
        holder: holders.gossip(),
        targetLimits: options.targetLimits.recentUpdates(),
        brittleTargets: brittleGossip(),
        quarantine: options.quarantine.updates(message.quarantine?.causes),
        leavingTargets: directory.recentlyLeaving(),
        ...newsFor(message.newsSince)
      }
    }
  }
}

/** Only the lease holder needs to know where weights are cached, and it learns that from the engines' reports. */
function withoutCachedModels (update: TargetUpdate): TargetUpdate {
  return update.placement === undefined ? update : { ...update, placement: { ...update.placement, modelsInMemory: [], modelsOnDisk: [] } }
}
