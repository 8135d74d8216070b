import type { ClientMemory, ReleaseMemory } from '@fuchsiastage/client-memory'
import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { HandoverMessage, HandoverPart, PeerHandlers } from '@fuchsiastage/fleet-peer'
import type { ClientResponse, Forwarder, ForwardOutcome, Handover, HeaderCodec } from '@fuchsiastage/forwarding'

export interface HandoverReceiverOptions {
  readonly clock: Clock
  readonly codec: Pick<HeaderCodec, 'describeRequest'>
  readonly forwarder: Pick<Forwarder, 'forward' | 'reachability'>
  /** Software version of a target, if its entry states it. */
  readonly softwareVersion: (target: TargetKey) => string | undefined
  readonly configurationVersion: () => number | undefined
  /** Whether this daemon is stopping and accepts no requests any more. */
  readonly isClosed: () => boolean
  readonly memory: Pick<ClientMemory, 'holdResponse'>
}

export interface HandoverReceiver {
  /** Sends a request that a peer hands over to a target, and returns the response in parts. */
  readonly answer: PeerHandlers['handOver']
  /** Number of requests of peers that this daemon serves. */
  readonly activeRequests: () => number
}

/** Bytes of a response that wait for the peer before the target has to wait. */
const MAXIMUM_QUEUED_BYTES = 65_536

/**
 * Creates the receiver of requests that peers hand over. They pass the same chain as those of clients,
 * with this daemon's view of the targets, and are never handed on.
 *
 * @example
 * const receiver = createHandoverReceiver({ clock, codec, forwarder, softwareVersion, configurationVersion, isClosed, memory })
 * for await (const part of receiver.answer(message, signal)) send(part)
 */
export function createHandoverReceiver ({ clock, codec, forwarder, softwareVersion, configurationVersion, isClosed, memory }: HandoverReceiverOptions): HandoverReceiver {
  let activeCount = 0

  const declineReason = (message: HandoverMessage): string | undefined => {
    if (isClosed()) return 'leaving'
    if (forwarder.reachability.isCutOff()) return 'no-target-access'
    return (configurationVersion() ?? -1) < message.configurationVersion ? 'older-configuration' : undefined
  }

  const forward = async (message: HandoverMessage, response: ClientResponse, signal: AbortSignal): Promise<HandoverPart> => {
    const handover: Handover = {
      from: message.from,
      isCounted: message.isCounted,
      progress: { excluded: new Set(message.excluded), mayHaveRun: new Set(message.mayHaveRun), lostBeginnings: message.lostBeginnings, lastEventId: message.lastEventId, requiredVersion: message.softwareVersion === undefined ? { kind: 'any' } : { kind: 'exactly', softwareVersion: message.softwareVersion } }
    }
    const outcome = await forwarder.forward({
      method: message.method,
      host: message.host,
      path: message.path,
      rawHeaders: message.rawHeaders,
      body: Buffer.from(message.body, 'base64'),
      description: codec.describeRequest(message.rawHeaders),
      receivedAt: clock.now() - message.elapsedMilliseconds,
      clientDisconnected: signal,
      response,
      handover
    })
    const { mayHaveRun } = handover.progress
    if (outcome.kind === 'refused' && mayHaveRun.size === message.mayHaveRun.length) {
      // This daemon has found out only now that it reaches no targets, or it ends; another peer may serve the request.
      if (forwarder.reachability.isCutOff()) return { kind: 'declined', reason: 'no-target-access' }
      if (isClosed()) return { kind: 'declined', reason: 'leaving' }
    }
    return { kind: 'end', outcome: message.supportsCustomers === true ? outcome : outcomeForEarlierVersion(outcome), mayHaveRun: [...mayHaveRun] }
  }

  return {
    activeRequests: () => activeCount,
    answer: async function * (message, signal) {
      const reason = declineReason(message)
      if (reason !== undefined) {
        yield { kind: 'declined', reason }
        return
      }
      const peerGone = new AbortController()
      const leave = (): void => peerGone.abort()
      signal.addEventListener('abort', leave, { once: true })
      const { response, parts, finish } = createPartQueue(softwareVersion, memory)
      activeCount++
      const forwarding = forward(message, response, peerGone.signal)
        .catch((error: unknown): HandoverPart => ({ kind: 'end', outcome: failedOutcome(error), mayHaveRun: [] }))
        .then(finish)
      try {
        yield * parts()
      } finally {
        signal.removeEventListener('abort', leave)
        peerGone.abort()
        await forwarding
        activeCount--
      }
    }
  }
}

/** Retry delay of a request without a valid key whose sender does not understand the rejection; its client is told by a later version. */
const UNKNOWN_KEY_RETRY_MILLISECONDS = 1_000

/** A sender of an earlier version takes an outcome that it does not know for the loss of this daemon, and the request for one that may have run. */
function outcomeForEarlierVersion (outcome: ForwardOutcome): ForwardOutcome {
  if (outcome.kind === 'limited') return { ...outcome, kind: 'refused' }
  return outcome.kind === 'rejected' && outcome.status === 401 ? { kind: 'refused', reason: outcome.reason, retryAfterMilliseconds: UNKNOWN_KEY_RETRY_MILLISECONDS } : outcome
}

function failedOutcome (error: unknown): ForwardOutcome {
  return { kind: 'unknown', status: 502, reason: error instanceof Error ? error.message : String(error) }
}

interface PartQueue {
  readonly response: ClientResponse
  readonly parts: () => AsyncGenerator<HandoverPart, void, undefined>
  /** Adds the last part. */
  readonly finish: (part: HandoverPart) => void
}

/** Turns the response that the forwarder writes into the parts that a peer reads at its own pace. */
function createPartQueue (softwareVersion: HandoverReceiverOptions['softwareVersion'], memory: HandoverReceiverOptions['memory']): PartQueue {
  const held: ReleaseMemory[] = []
  const queue: HandoverPart[] = []
  let queuedBytes = 0
  let isFinished = false
  let hasBegun = false
  let wakeReader: () => void = () => undefined
  let wakeWriter: () => void = () => undefined

  const push = (part: HandoverPart): void => {
    queue.push(part)
    wakeReader()
  }

  return {
    response: {
      hasBegun: () => hasBegun,
      hold: (bytes) => {
        const release = memory.holdResponse(bytes)
        if (release === undefined) return false
        // After its peer has left, the forwarder goes on until it notices that.
        if (isFinished) release()
        else held.push(release)
        return true
      },
      begin: (status, rawHeaders, framing, target) => {
        hasBegun = true
        push({ kind: 'head', target, status, rawHeaders: [...rawHeaders], framing, softwareVersion: softwareVersion(target) })
      },
      write: async (bytes) => {
        if (isFinished || bytes.length === 0) return
        queuedBytes += bytes.length
        push({ kind: 'bytes', base64: bytes.toString('base64') })
        if (queuedBytes > MAXIMUM_QUEUED_BYTES) await new Promise<void>((resolve) => { wakeWriter = resolve })
      },
      // The last part states whether the response is complete.
      end: () => undefined,
      destroy: () => undefined
    },
    finish: (part) => {
      isFinished = true
      push(part)
    },
    parts: async function * () {
      try {
        for (;;) {
          const part = queue.shift()
          if (part === undefined) {
            if (isFinished) return
            await new Promise<void>((resolve) => { wakeReader = resolve })
            continue
          }
          yield part
          if (part.kind !== 'bytes') continue
          queuedBytes -= Buffer.byteLength(part.base64, 'base64')
          if (queuedBytes <= MAXIMUM_QUEUED_BYTES) wakeWriter()
        }
      } finally {
        isFinished = true
        for (const release of held) release()
        wakeWriter()
      }
    }
  }
}
