import type { Clock } from '@fuchsiastage/clock'
import type { Member, MemberDirectory, TargetDirectory, TargetKey, TargetUpdate } from '@fuchsiastage/fleet'
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
  /** Term of the order lease while this daemon holds it. */
  readonly leaseTerm: () => number | undefined
  readonly configurationVersion: () => number | undefined
  /** Whether this daemon has not read the list of targets from the log service since its start. */
  readonly lacksTargets: () => boolean
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
  /** Source of random numbers from 0 to 1, for the choice of peers. */
  readonly random: () => number
}

export interface LeaseHolder {
  readonly member: Member
  readonly term: number
}

export interface PeerExchange {
  /** Exchanges state with peers periodically until the signal aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>
  /** Processes a message of a peer and returns the response. */
  readonly answer: (message: SyncMessage) => SyncAnswer
  /** Exchanges state with all peers immediately, for example when this daemon starts draining. */
  readonly exchangeWithAll: () => Promise<void>
  /** The peer that has recently stated that it holds the order lease. */
  readonly holder: () => LeaseHolder | undefined
  /** Time since the last contact with a peer that held the order lease; infinite before the first one. */
  readonly sinceHolderContact: () => Milliseconds
}

/** Period of the exchange. Target updates arrive and failed peers are detected within a few periods. */
const EXCHANGE_MILLISECONDS = 450
/** Two attempts fit into the time after which a member without contact counts as unresponsive. */
const EXCHANGE_TIMEOUT_MILLISECONDS = 700
/** Up to this number of peers, each exchange includes all of them. */
const FULL_EXCHANGE_PEERS = 8
/** Number of random peers, in addition to the lease holder, in an exchange among more peers. */
const PARTIAL_EXCHANGE_PEERS = 3
/** Maximum number of membership updates in one message. In larger fleets they are spread over several messages. */
const MAXIMUM_MEMBER_UPDATES = 24
/** A peer that is expected to start the exchange is contacted by this daemon if there was no contact for this time. */
const CONTACT_PERIOD_MILLISECONDS = 1_000
/** While every exchange includes all peers, one of this many messages carries membership updates. */
const ROUNDS_PER_MEMBER_UPDATE = 8
/** Period at which unresponsive peers are contacted again. */
const UNRESPONSIVE_RETRY_MILLISECONDS = 1_600
/** Time for which a peer counts as the lease holder after it has stated so. */
const HOLDER_VALIDITY_MILLISECONDS = 1_500

/**
 * Creates the periodic exchange with the other daemons. It transfers membership updates, the holder
 * of the order lease, target updates, and documents of the log service for daemons that cannot reach it.
 *
 * @example
 * const exchange = createPeerExchange(options)
 * await exchange.run(stopping.signal)
 */
export function createPeerExchange (options: PeerExchangeOptions): PeerExchange {
  const { clock, logger, members, directory, peers, self } = options
  const lastAttemptAt = new Map<string, Milliseconds>()
  let knownHolder: { readonly name: string, readonly term: number, readonly lastContactAt: Milliseconds } | undefined
  let lastHolderContactAt: Milliseconds = -Infinity
  let loggedHolderName: string | undefined
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

  /** Logs each change of the known lease holder since the last call; called in every period. */
  const logHolderChanges = (): void => {
    const current = holder()
    if (current?.member.name === loggedHolderName) return
    const previous = loggedHolderName
    loggedHolderName = current?.member.name
    if (current !== undefined) {
      logger.info('found the holder of the order lease', { event: 'holder-known', member: current.member.name, epoch: current.term })
    } else {
      logger.warn('lost contact with the holder of the order lease; placements have to wait', {
        event: 'holder-unknown', member: previous, sinceContact: Math.round(clock.now() - lastHolderContactAt), reason: knownHolder === undefined ? 'it no longer holds the lease' : 'no message from it'
      })
    }
  }

  const selectMemberUpdates = (): SyncMessage['rumours'] => {
    // If every exchange includes all peers, membership updates help only peers that have not read a
    // member's record from the log.
    const isComplete = members.others().length <= FULL_EXCHANGE_PEERS
    if (isComplete && updateRound++ % ROUNDS_PER_MEMBER_UPDATE !== 0) return []
    const updates = members.updates()
    if (updates.length <= MAXIMUM_MEMBER_UPDATES) return [...updates]
    updateOffset = (updateOffset + MAXIMUM_MEMBER_UPDATES) % updates.length
    return [...updates, ...updates].slice(updateOffset, updateOffset + MAXIMUM_MEMBER_UPDATES)
  }

  const exchangeWith = async (peer: Member, demand: ReadonlyArray<readonly [string, number]>): Promise<void> => {
    const startedAt = clock.now()
    lastAttemptAt.set(peer.name, startedAt)
    const answer = await peers.sync(peer.peerAddress, {
      member: self(),
      leaseTerm: options.leaseTerm(),
      rumours: selectMemberUpdates(),
      configurationVersion: options.configurationVersion(),
      lacksTargets: options.lacksTargets(),
      demand: demand.map(([subject, count]): [string, number] => [subject, count]),
      inUse: peer.name === holder()?.member.name ? [...options.inUse()] : [],
      strained: peer.name === holder()?.member.name ? [...options.overloadedTargets()] : []
    }, EXCHANGE_TIMEOUT_MILLISECONDS)
    if (answer.isErr) {
      const details = { event: 'peer-silent', peer: peer.peerAddress, milliseconds: Math.round(clock.now() - startedAt), reason: answer.error.message }
      if (peer.name === holder()?.member.name) logger.info('exchange with the lease holder failed', details)
      else logger.debug('exchange with a peer failed', details)
      if (demand.length > 0) options.recordDemand(demand)
      return
    }
    const { member, leaseTerm, rumours, configuration, targets, news } = answer.value
    members.recordContact(member)
    members.applyUpdates(rumours)
    recordLeaseTerm(member, leaseTerm)
    if (configuration !== undefined) options.acceptConfiguration(configuration)
    if (targets.length > 0) options.acceptTargets(targets)
    if (leaseTerm !== undefined) for (const update of news) directory.applyUpdate(update)
  }

  /** Of two responsive daemons, the one with the lower name starts the exchange; the lease holder is contacted by all. */
  const isDue = ({ name }: Member): boolean => {
    const sinceLastAttempt = clock.now() - (lastAttemptAt.get(name) ?? -Infinity)
    if (!members.isAlive(name)) return sinceLastAttempt >= UNRESPONSIVE_RETRY_MILLISECONDS
    return name === holder()?.member.name || self().name < name || members.sinceLastContact(name) > CONTACT_PERIOD_MILLISECONDS
  }

  const choosePeers = (): readonly Member[] => {
    const due = members.others().filter(isDue)
    if (due.length <= FULL_EXCHANGE_PEERS) return due
    const holderName = holder()?.member.name
    const shuffled = due.filter(({ name }) => name !== holderName).map((member) => ({ member, order: options.random() })).sort((one, other) => one.order - other.order)
    return [...due.filter(({ name }) => name === holderName), ...shuffled.slice(0, PARTIAL_EXCHANGE_PEERS).map(({ member }) => member)]
  }

  const exchangeWithPeers = async (chosen: readonly Member[]): Promise<void> => {
    const holderName = holder()?.member.name
    const demand = holderName === undefined && options.leaseTerm() === undefined ? [] : options.takeDemand()
    if (options.leaseTerm() !== undefined) {
      options.recordDemand(demand)
      options.recordInUse(options.inUse())
      options.recordOverloaded(options.overloadedTargets())
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
        logHolderChanges()
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
        news: leaseTerm === undefined ? [] : options.targetUpdates().map(withoutCachedModels)
      }
    }
  }
}

/** Only the lease holder needs to know where weights are cached, and it learns that from the engines' reports. */
function withoutCachedModels (update: TargetUpdate): TargetUpdate {
  return { ...update, placement: { ...update.placement, modelsInMemory: [], modelsOnDisk: [] } }
}
