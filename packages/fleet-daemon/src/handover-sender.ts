import type { ClientMemory } from '@fuchsiastage/client-memory'
import { linkSignals, readPendingEvents, type Clock } from '@fuchsiastage/clock'
import type { Member, MemberDirectory, TargetKey } from '@fuchsiastage/fleet'
import type { FleetPeerClient, HandoverMessage, HandoverPart } from '@fuchsiastage/fleet-peer'
import type { HandOver, HandoverAnswer, HandoverRequest } from '@fuchsiastage/forwarding'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import type { PeerTargetAccess } from './peer-target-access.js'

export interface HandoverSenderOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly members: Pick<MemberDirectory, 'isAlive'>
  readonly peers: Pick<FleetPeerClient, 'handOver'>
  readonly access: PeerTargetAccess
  readonly memory: Pick<ClientMemory, 'holdCopies'>
  readonly self: () => Member
  /** Source of random numbers from 0 to 1, for the choice among peers. */
  readonly random: () => number
}

/** Time in which a peer accepts a call. Its process may be busy, but a later response would come too late for many requests. */
const ACCEPT_MILLISECONDS = 500
/** Memory that the copies of a body take up until a peer has accepted the request, per byte of the body: in base64, in JSON and in the buffer of the connection. */
const COPIES_PER_BYTE = 4
/** Maximum number of peers that are asked for one request. A peer that is cut off too declines within milliseconds. */
const MAXIMUM_ASKED_PEERS = 8
/** Period of the check whether the peer that serves a request is still alive. */
const PEER_CHECK_MILLISECONDS = 250

/**
 * Creates the function that hands a request over to a peer. It asks one peer after the other until one
 * takes the request over; a peer that may have sent it to a target is the last one.
 *
 * @example
 * const handOver = createHandoverSender({ clock, logger, members, peers, access, memory, self, random: Math.random })
 */
export function createHandoverSender (options: HandoverSenderOptions): HandOver {
  const { clock, logger, members, peers, access, memory, self } = options
  /** Number of requests that each peer serves for this daemon. */
  const activeAt = new Map<string, number>()

  const countActive = (name: string, change: number): void => {
    const count = (activeAt.get(name) ?? 0) + change
    if (count <= 0) activeAt.delete(name)
    else activeAt.set(name, count)
  }

  /** Chooses the peer that serves fewest requests of this daemon. A peer of an earlier version would forward the key of a customer. */
  const choosePeer = (asked: ReadonlySet<string>, { hidesKey }: HandoverRequest): Member | undefined => {
    const { reaching, unknown, leaving } = access.candidates()
    const candidates = [reaching, unknown, leaving].map((group) => group.filter((peer) => !asked.has(peer.name) && (!hidesKey || access.supportsCustomers(peer)))).find((group) => group.length > 0) ?? []
    const loadOf = ({ name }: Member): number => (activeAt.get(name) ?? 0) + options.random()
    return candidates.map((member) => ({ member, load: loadOf(member) })).sort((one, other) => one.load - other.load)[0]?.member
  }

  /** Aborts when the peer is no longer alive; a connection to it may have fallen silent. */
  const watchPeer = async ({ name }: Member, ended: AbortController): Promise<void> => {
    while (!ended.signal.aborted && members.isAlive(name)) {
      await clock.sleep(PEER_CHECK_MILLISECONDS, ended.signal)
      // While this process was busy, its peers have gone on to send messages.
      if (!members.isAlive(name)) await readPendingEvents()
    }
    ended.abort()
  }

  const attempt = async (peer: Member, message: HandoverMessage, signal: AbortSignal): Promise<HandoverAnswer> => {
    const ended = new AbortController()
    const linked = linkSignals([signal, ended.signal])
    countActive(peer.name, 1)
    const end = (): void => {
      if (ended.signal.aborted) return
      ended.abort()
      linked.release()
    }
    ended.signal.addEventListener('abort', () => countActive(peer.name, -1), { once: true })
    void watchPeer(peer, ended)
    const call = await peers.handOver(peer.peerAddress, message, ACCEPT_MILLISECONDS, linked.signal)
    if (call.isErr) {
      end()
      const { outcome, message: reason } = call.error
      return outcome === 'not-run' ? { kind: 'declined', reason } : { kind: 'lost', peer: peer.name, reason }
    }
    return await readAnswer(peer.name, call.value, end)
  }

  return async (handover, signal) => {
    const asked = new Set<string>()
    let reason = 'no-peer'
    while (asked.size < MAXIMUM_ASKED_PEERS && !signal.aborted) {
      const peer = choosePeer(asked, handover)
      if (peer === undefined) break
      asked.add(peer.name)
      const releaseCopies = memory.holdCopies(handover.request.body.length * COPIES_PER_BYTE)
      if (releaseCopies === undefined) return { kind: 'declined', reason: 'client-memory' }
      const result = await attempt(peer, messageFor(handover, self().name, clock.now()), signal).finally(releaseCopies)
      if (result.kind === 'declined' || result.kind === 'lost') {
        if (!signal.aborted) access.recordFailure(peer)
        const details = { event: 'handover-failed', request: handover.request.description.id, peer: peer.name, result: result.kind, reason: result.reason }
        if (result.kind === 'lost') logger.info('a peer was lost after a request had been handed over to it', details)
        else logger.debug('a peer has declined a request', details)
      }
      if (result.kind !== 'declined') return result
      reason = result.reason
    }
    return { kind: 'declined', reason }
  }
}

function messageFor ({ request, configurationVersion, progress, isCounted }: HandoverRequest, from: string, now: Milliseconds): HandoverMessage {
  return {
    from,
    configurationVersion,
    method: request.method,
    host: request.host,
    path: request.path,
    rawHeaders: [...request.rawHeaders],
    body: request.body.toString('base64'),
    elapsedMilliseconds: Math.max(0, now - request.receivedAt),
    supportsCustomers: true,
    isCounted,
    excluded: [...progress.excluded],
    mayHaveRun: [...progress.mayHaveRun],
    lostBeginnings: progress.lostBeginnings,
    ...progress.lastEventId === undefined ? {} : { lastEventId: progress.lastEventId },
    ...progress.requiredVersion.kind === 'exactly' ? { softwareVersion: progress.requiredVersion.softwareVersion } : {}
  }
}

/** Reads the response of a peer up to its head. */
async function readAnswer (peer: string, parts: AsyncIterable<HandoverPart>, end: () => void): Promise<HandoverAnswer> {
  const iterator = parts[Symbol.asyncIterator]()
  const lost = (reason: string): HandoverAnswer => ({ kind: 'lost', peer, reason })
  let isAnswered = false
  try {
    const next = await iterator.next()
    if (next.done === true) return lost('the peer sent no response')
    const part: HandoverPart = next.value
    if (part.kind !== 'head') return answerWithoutHead(peer, part)
    let mayHaveRun: readonly TargetKey[] | undefined
    isAnswered = true
    return {
      kind: 'answer',
      peer,
      target: part.target,
      softwareVersion: part.softwareVersion,
      answer: { kind: 'answer', status: part.status, rawHeaders: part.rawHeaders, framing: part.framing, body: readBody(iterator, (targets) => { mayHaveRun = targets }, end), close: end },
      mayHaveRun: () => mayHaveRun
    }
  } catch (reason) {
    return lost(reason instanceof Error ? reason.message : String(reason))
  } finally {
    if (!isAnswered) {
      void iterator.return?.()
      end()
    }
  }
}

function answerWithoutHead (peer: string, part: Exclude<HandoverPart, { readonly kind: 'head' }>): HandoverAnswer {
  const lost = (reason: string): HandoverAnswer => ({ kind: 'lost', peer, reason: `the response of the peer has no head: ${reason}` })
  switch (part.kind) {
    case 'declined':
      return { kind: 'declined', reason: part.reason }
    case 'bytes':
      return lost('bytes')
    case 'end':
      break
  }
  const { outcome } = part
  switch (outcome.kind) {
    case 'refused':
    case 'limited':
    case 'unknown':
    case 'rejected':
      return { kind: 'outcome', peer, outcome }
    case 'delivered':
    case 'broken':
    case 'abandoned':
      return lost(outcome.kind)
  }
}

async function * readBody (iterator: AsyncIterator<HandoverPart>, onEnd: (mayHaveRun: readonly TargetKey[]) => void, end: () => void): AsyncIterable<Buffer> {
  try {
    for (;;) {
      const next = await iterator.next()
      if (next.done === true) throw new Error('the peer ended its response early')
      const part: HandoverPart = next.value
      switch (part.kind) {
        case 'bytes':
          yield Buffer.from(part.base64, 'base64')
          break
        case 'end':
          onEnd(part.mayHaveRun)
          if (part.outcome.kind !== 'delivered') throw new Error(part.outcome.reason)
          return
        case 'head':
        case 'declined':
          throw new Error('the peer sent parts in the wrong order')
      }
    }
  } finally {
    void iterator.return?.()
    end()
  }
}
