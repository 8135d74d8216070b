import { createClientMemory, deriveClientCapacity } from '@fuchsiastage/client-memory'
import { setMaxListeners } from 'node:events'
import { momentOf, type ManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemberDirectory, createTargetDirectory, type Member, type MemberDirectory, type TargetDirectory, type TargetKey, type TargetUpdate } from '@fuchsiastage/fleet'
import type { FleetPeerClient, HandoverMessage, HandoverPart, RelayedDocument, SyncAnswer, SyncMessage, TargetAccess } from '@fuchsiastage/fleet-peer'
import type { HandOver } from '@fuchsiastage/forwarding'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSeededRandom } from '@fuchsiastage/membership'
import { createRequestQuarantine, type RequestQuarantine } from '@fuchsiastage/request-quarantine'
import { createBrittleTargets, createTargetLimits, createTargetPauses, type PermitDecision, type TargetLimits, type TargetPauses } from '@fuchsiastage/target-limits'
import { createTargetPaces, type TargetPaces } from '@fuchsiastage/target-pace'
import type { Milliseconds } from '@fuchsiastage/types'
import { err, ok } from 'true-myth/result'
import type { HandoverReceiver } from './handover-receiver.js'
import { createConfigurationConfirmation, type ConfigurationConfirmation } from './configuration-confirmation.js'
import { createFleetSize, type FleetSize } from './fleet-size.js'
import { createHandoverSender } from './handover-sender.js'
import { createPeerExchange, type PeerExchange } from './peer-exchange.js'
import { createPeerTargetAccess, type PeerTargetAccess } from './peer-target-access.js'
import { createRequestTrials, type RequestTrials } from './request-trials.js'
import { createTargetRooms, type FleetTargetRooms } from './target-rooms.js'
import { createTargetTurns, type TargetTurns } from './target-turns.js'

export interface ExchangeNode {
  readonly name: string
  readonly exchange: PeerExchange
  readonly members: MemberDirectory
  readonly directory: TargetDirectory
  readonly limits: TargetLimits
  readonly pauses: TargetPauses
  readonly paces: TargetPaces
  readonly rooms: FleetTargetRooms
  readonly turns: TargetTurns
  readonly quarantine: RequestQuarantine
  readonly trials: RequestTrials
  /** Which other nodes reach targets, as they have stated. */
  readonly access: PeerTargetAccess
  readonly handOver: HandOver
  readonly confirmation: ConfigurationConfirmation
  configurationVersion: number
  /** Size of the configuration in a message. */
  configurationBytes: number
  readonly configurationDocument: () => RelayedDocument
  /** What the node can receive in a millisecond, over all calls together. */
  receivedBytesPerMillisecond: number
  /** Responses that the node receives at present. */
  receiving: number
  /** Time at which the log service had no newer configuration for the node. */
  logCompleteAt: () => Milliseconds | undefined
  hasCustomers: boolean
  /** Whether the node reaches targets; without a forwarder it does. */
  targetAccess: () => TargetAccess
  /** Receiver of the requests that other nodes hand over, once the node has a forwarder. */
  handovers: HandoverReceiver | undefined
  /** Term of the order lease while this node holds it. */
  leaseTerm: number | undefined
  /** Demand that the next exchange takes. */
  demand: ReadonlyArray<readonly [string, number]>
  inUse: readonly string[]
  overloaded: readonly TargetKey[]
  /** Updates that the node sends while it holds the lease. */
  updates: () => readonly TargetUpdate[]
  /** What the node has recorded as the holder of the lease. */
  readonly recordedDemand: Map<string, number>
  readonly recordedInUse: Set<string>
  readonly recordedOverloaded: Set<TargetKey>
  /** Calls that the node has sent and received, and the bytes of their JSON. */
  calls: number
  bytes: number
  /** Requests for permits that the node has answered. */
  permitCalls: number
  /** Requests that other nodes wanted to hand over to the node. */
  handoverCalls: number
  isRunning: boolean
  /** The daemon that the lease topic names as the last holder. */
  introducer: Pick<Member, 'name' | 'peerAddress'> | undefined
  /** The number of daemons that the lease topic states. */
  statedCount: number | undefined
  readonly fleetSize: FleetSize
  /** Whether the node sends messages and responses of the version before relays. */
  isEarlierVersion: boolean
}

export interface SimulatedExchange {
  readonly nodes: readonly ExchangeNode[]
  /** Cuts the connection between two nodes in both directions. */
  readonly cut: (one: string, other: string) => void
  readonly heal: (one: string, other: string) => void
  /** Replaces a node by a new incarnation without any memory, of which the log tells all nodes. It may not be able to read the members itself. */
  readonly restart: (name: string, readsMembersAgain?: boolean) => void
  readonly stop: () => void
}

const CALL_MILLISECONDS = 2
const RECEIVE_STEP_MILLISECONDS = 10
const HANDOVER_SEED = 1
/** Draws for the paces of targets do not change what else is drawn. */
const PACE_SEED = 1_000
const ROOM_SEED = 2_000
const LIVENESS_TIMEOUT_MILLISECONDS = 2_000
/** Daemons of a deployment start within this time. */
const START_SPREAD_MILLISECONDS = 300

/**
 * Starts the exchanges of a fleet over a network in memory, for tests and measurements. Every member has
 * read the records of all others from the log, unless these cannot be read.
 *
 * @example
 * const fleet = startSimulatedExchange(clock, 79, createSeededRandom(1))
 * await clock.advance(4_000)
 */
export function startSimulatedExchange (clock: ManualClock, size: number, random: () => number, readsMembers = true): SimulatedExchange {
  const nodes: ExchangeNode[] = []
  const incarnations = new Map<string, AbortController>()
  const cuts = new Set<string>()
  const stopping = new AbortController()
  setMaxListeners(0, stopping.signal)
  const linkOf = (one: string, other: string): string => [one, other].sort().join(' ')
  const described: Member[] = Array.from({ length: size }, (_, index) => ({
    name: `entry-${String(index).padStart(3, '0')}`, startedAt: 1, frontAddress: `front-${index}`, peerAddress: `peer-${index}`, dataCentre: 'a', state: 'serving'
  }))

  /** Waits for a call to arrive at its receiver; undefined if it cannot be reached. */
  const reach = async (sender: ExchangeNode, address: string, timeoutMilliseconds: Milliseconds): Promise<ExchangeNode | undefined> => {
    const receiver = nodes.find((_, index) => described[index]?.peerAddress === address)
    const isReachable = receiver !== undefined && receiver.isRunning && sender.isRunning && !cuts.has(linkOf(sender.name, receiver.name))
    sender.calls++
    await clock.sleep(isReachable ? CALL_MILLISECONDS : timeoutMilliseconds, stopping.signal)
    return isReachable ? receiver : undefined
  }

  const permitCallFrom = (sender: () => ExchangeNode): FleetPeerClient['permit'] => async (address, message, timeoutMilliseconds) => {
    const receiver = await reach(sender(), address, timeoutMilliseconds)
    if (receiver === undefined) return err(createError({ code: 'peer-call-failed', message: 'no response', step: 'permit' }))
    receiver.calls++
    receiver.permitCalls++
    return ok<PermitDecision>(receiver.turns.answer(message))
  }

  const reportCallFrom = (sender: () => ExchangeNode): FleetPeerClient['reportRoom'] => async (address, report, timeoutMilliseconds) => {
    const receiver = await reach(sender(), address, timeoutMilliseconds)
    if (receiver === undefined) return err(createError({ code: 'peer-call-failed', message: 'no response', step: 'report-room' }))
    receiver.calls++
    receiver.rooms.recordReport(report)
    return ok(undefined)
  }

  const trialCallFrom = (sender: () => ExchangeNode): FleetPeerClient['trial'] => async (address, message, timeoutMilliseconds) => {
    const receiver = await reach(sender(), address, timeoutMilliseconds)
    if (receiver === undefined) return err(createError({ code: 'peer-call-failed', message: 'no response', step: 'trial' }))
    return ok(receiver.trials.answer(message))
  }

  const configurationCallFrom = (sender: () => ExchangeNode): FleetPeerClient['configuration'] => async (address, timeoutMilliseconds) => {
    const receiver = await reach(sender(), address, timeoutMilliseconds)
    const document = receiver?.isEarlierVersion === false ? receiver.configurationDocument() : undefined
    if (document === undefined || !await isReceived(sender(), document.base64.length, timeoutMilliseconds - CALL_MILLISECONDS)) return err(createError({ code: 'peer-call-failed', message: 'no response', step: 'configuration' }))
    return ok(document)
  }

  const handoverCallFrom = (sender: () => ExchangeNode): FleetPeerClient['handOver'] => async (address, message, acceptMilliseconds, signal) => {
    const node = sender()
    const receiver = await reach(node, address, acceptMilliseconds)
    const handovers = receiver?.isEarlierVersion === true ? undefined : receiver?.handovers
    if (receiver === undefined || handovers === undefined) return err(createError({ code: 'peer-call-failed', message: 'no response', step: 'handover' }))
    receiver.calls++
    receiver.handoverCalls++
    return ok(carryParts(node, receiver, handovers.answer(JSON.parse(JSON.stringify(message)) as HandoverMessage, signal)))
  }

  /** Carries the response to a handover to its sender, unless the link between the nodes is cut or one of them ends. */
  async function * carryParts (sender: ExchangeNode, receiver: ExchangeNode, parts: AsyncIterable<HandoverPart>): AsyncIterable<HandoverPart> {
    for await (const part of parts) {
      await clock.sleep(CALL_MILLISECONDS)
      if (cuts.has(linkOf(sender.name, receiver.name)) || !nodes.includes(receiver) || !receiver.isRunning) throw new Error('connection lost')
      yield JSON.parse(JSON.stringify(part))
    }
  }

  const callFrom = (sender: () => ExchangeNode): FleetPeerClient['sync'] => async (address, message, timeoutMilliseconds) => {
    const receiver = await reach(sender(), address, timeoutMilliseconds)
    if (receiver === undefined) return err(createError({ code: 'peer-call-failed', message: 'no response', step: 'sync' }))
    const sent = JSON.stringify(sender().isEarlierVersion ? { ...message, targetAccess: undefined, supportsCustomers: undefined, wantsConfiguration: undefined, holder: undefined, contacts: undefined, newsSince: undefined } : message)
    const answer = JSON.stringify(receiver.isEarlierVersion ? answerOfEarlierVersion(receiver, JSON.parse(sent) as SyncMessage) : receiver.exchange.answer(JSON.parse(sent) as SyncMessage))
    receiver.calls++
    for (const node of [sender(), receiver]) node.bytes += sent.length + answer.length
    if (!await isReceived(sender(), answer.length, timeoutMilliseconds - CALL_MILLISECONDS)) return err(createError({ code: 'peer-call-failed', message: 'no response in time', step: 'sync' }))
    return ok(JSON.parse(answer))
  }

  /** Waits until a node has received a response; false if that takes too long. Responses at the same time share its link. */
  const isReceived = async (node: ExchangeNode, bytes: number, timeoutMilliseconds: Milliseconds): Promise<boolean> => {
    if (node.receivedBytesPerMillisecond === Infinity) return true
    node.receiving++
    let left = bytes
    for (let milliseconds = 0; left > 0 && milliseconds < timeoutMilliseconds; milliseconds += RECEIVE_STEP_MILLISECONDS) {
      await clock.sleep(RECEIVE_STEP_MILLISECONDS, stopping.signal)
      left -= RECEIVE_STEP_MILLISECONDS * node.receivedBytesPerMillisecond / node.receiving
    }
    node.receiving--
    return left <= 0
  }

  // Handovers have their own random numbers, so that their number does not change what else is drawn.
  const handoverRandom = createSeededRandom(HANDOVER_SEED)

  const createNode = (member: Member): ExchangeNode => {
    const logger = createMemoryLogger(clock, member.name).logger
    const members = createMemberDirectory({ clock, logger, self: () => member, livenessTimeoutMilliseconds: LIVENESS_TIMEOUT_MILLISECONDS })
    const directory = createTargetDirectory({ clock, logger, lapseGraceMilliseconds: 0 })
    const peers: FleetPeerClient = {
      sync: callFrom(() => node),
      configuration: configurationCallFrom(() => node),
      permit: permitCallFrom(() => node),
      reportRoom: reportCallFrom(() => node),
      allowance: async () => err(createError({ code: 'peer-call-failed', message: 'not used', step: 'allowance' })),
      trial: trialCallFrom(() => node),
      handOver: handoverCallFrom(() => node),
      place: async () => err(createError({ code: 'peer-call-failed', message: 'not used', step: 'place' })),
      close: async () => undefined
    }
    const fleetSize = createFleetSize({ clock, members, statedCount: () => node.statedCount, holdsLeaseSince: () => undefined })
    const { reachedShare } = fleetSize
    const limits = createTargetLimits({ clock, logger, isKnown: (target) => directory.find(target) !== undefined })
    const pauses = createTargetPauses({ clock, logger, random })
    const paces = createTargetPaces({ clock, logger, appliesTo: () => true, daemonCount: members.aliveCount, random: createSeededRandom(PACE_SEED + nodes.length) })
    const brittleTargets = createBrittleTargets({ clock, logger, isKnown: (target) => directory.find(target) !== undefined, onBrittle: (target) => rooms.reportSends(target) })
    const quarantine = createRequestQuarantine({
      clock,
      logger,
      isKnown: (target) => directory.find(target) !== undefined,
      random
    })
    const access = createPeerTargetAccess({ clock, members, random: handoverRandom })
    const confirmation = createConfigurationConfirmation({
      clock,
      logCompleteAt: () => {
        const at = node.logCompleteAt()
        return at === undefined ? undefined : momentOf(clock, clock.now() - at)
      },
      hasCustomers: () => node.hasCustomers
    })
    const exchange = createPeerExchange({
      clock,
      logger,
      members,
      directory,
      peers,
      self: () => member,
      leaseTerm: () => node.leaseTerm,
      configurationVersion: () => node.configurationVersion,
      confirmation,
      lacksTargets: () => false,
      introducer: () => node.introducer,
      fleetSize,
      takeDemand: () => {
        const { demand } = node
        node.demand = []
        return demand
      },
      inUse: () => node.inUse,
      recordInUse: (subjects) => { for (const subject of subjects) node.recordedInUse.add(subject) },
      overloadedTargets: () => node.overloaded,
      recordOverloaded: (targets) => { for (const target of targets) node.recordedOverloaded.add(target) },
      recordDemand: (demand) => { for (const [subject, count] of demand) node.recordedDemand.set(subject, (node.recordedDemand.get(subject) ?? 0) + count) },
      targetUpdates: () => node.updates(),
      configurationDocument: () => node.configurationDocument(),
      targetDocuments: () => [],
      acceptConfiguration: ({ base64 }) => { node.configurationVersion = Math.max(node.configurationVersion, Number(base64)) },
      acceptTargets: () => undefined,
      targetAccess: () => node.targetAccess(),
      peerAccess: access,
      targetLimits: limits,
      brittleTargets,
      quarantine,
      random
    })
    // Draws for the rooms of targets do not change what else is drawn.
    const rooms = createTargetRooms({ clock, logger, members, reachedShare, directory, peers, self: () => member, brittleTargets, exchangeWithAll: exchange.exchangeWithAll, onDecision: () => undefined, random: createSeededRandom(ROOM_SEED + nodes.length) })
    const node: ExchangeNode = {
      name: member.name,
      exchange,
      members,
      directory,
      limits,
      pauses,
      paces,
      rooms,
      turns: createTargetTurns({ clock, logger, members, reachedShare, peers, self: () => member, limits, pauses, paces, rooms, onDecision: () => undefined, random }),
      quarantine,
      trials: createRequestTrials({ members, reachedShare, peers, self: () => member, quarantine }),
      access,
      handOver: createHandoverSender({ clock, logger, members, peers, access, memory: createClientMemory(clock, deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 })), self: () => member, random: handoverRandom }),
      confirmation,
      configurationVersion: 1,
      configurationBytes: 0,
      configurationDocument: () => ({ key: 'configuration', base64: String(node.configurationVersion).padEnd(node.configurationBytes) }),
      receivedBytesPerMillisecond: Infinity,
      receiving: 0,
      logCompleteAt: clock.now,
      hasCustomers: false,
      targetAccess: () => 'reached',
      handovers: undefined,
      leaseTerm: undefined,
      demand: [],
      inUse: [],
      overloaded: [],
      updates: () => [],
      recordedDemand: new Map(),
      recordedInUse: new Set(),
      recordedOverloaded: new Set(),
      calls: 0,
      bytes: 0,
      permitCalls: 0,
      handoverCalls: 0,
      isRunning: true,
      introducer: undefined,
      statedCount: undefined,
      fleetSize,
      isEarlierVersion: false
    }
    return node
  }

  const startNode = ({ name, members, exchange }: ExchangeNode, isReading = readsMembers): void => {
    const incarnation = new AbortController()
    setMaxListeners(0, incarnation.signal)
    incarnations.set(name, incarnation)
    if (isReading) members.applyList({ members: described, isComplete: true })
    clock.setTimer(random() * START_SPREAD_MILLISECONDS, () => { void exchange.run(AbortSignal.any([stopping.signal, incarnation.signal])) })
  }

  for (const member of described) nodes.push(createNode(member))
  nodes.forEach((node) => startNode(node))
  return {
    nodes,
    cut: (one, other) => { cuts.add(linkOf(one, other)) },
    heal: (one, other) => { cuts.delete(linkOf(one, other)) },
    restart: (name, readsMembersAgain) => {
      const index = described.findIndex((member) => member.name === name)
      const previous = described[index]
      if (previous === undefined) throw new Error(`the simulated fleet has no node ${name}`)
      incarnations.get(name)?.abort()
      const member: Member = { ...previous, startedAt: previous.startedAt + 1 }
      described[index] = member
      for (const { members } of nodes) members.applyRecord(member)
      const node = createNode(member)
      nodes[index] = node
      startNode(node, readsMembersAgain)
    },
    stop: () => stopping.abort()
  }
}

/** A daemon of the earlier version ignores reports while it does not hold the lease, and sends its whole state if it does. */
function answerOfEarlierVersion (node: ExchangeNode, message: SyncMessage): SyncAnswer {
  const isHolder = node.leaseTerm !== undefined
  const understood = isHolder ? message : { ...message, demand: [], inUse: [], strained: [] }
  return { ...node.exchange.answer({ ...understood, wantsConfiguration: undefined, holder: undefined, contacts: undefined, newsSince: undefined }), targetAccess: undefined, supportsCustomers: undefined, configurationAge: undefined, configurationVersion: undefined, holder: undefined, contacts: undefined, newsVersion: undefined }
}

/**
 * Advances the clock in steps and returns the time at which the condition was met first, or undefined.
 *
 * @example
 * const foundAt = await advanceUntil(clock, 2_000, () => daemon.exchange.holder() !== undefined)
 */
export async function advanceUntil (clock: ManualClock, limit: Milliseconds, isMet: () => boolean): Promise<Milliseconds | undefined> {
  const stepMilliseconds = 50
  const end = clock.now() + limit
  while (!isMet()) {
    if (clock.now() >= end) return undefined
    await clock.advance(stepMilliseconds)
  }
  return clock.now()
}
