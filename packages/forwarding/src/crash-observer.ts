import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget, TargetDirectory, TargetKey } from '@fuchsiastage/fleet'
import type { RequestQuarantine, RequestTraits } from '@fuchsiastage/request-quarantine'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ProbeTarget } from './probe-target.js'
import type { RelayOutcome } from './relay.js'
import type { TargetProbes } from './target-probes.js'
import type { TargetReachability } from './target-reachability.js'

/** What one send of a request tells about crashes of its target. */
export interface SendObservation {
  /** Records the arrival of bytes of the response. */
  readonly recordBytes: () => void
  /** Records how the send ended. An aborted send tells nothing about the connection. */
  readonly end: (outcome: RelayOutcome, isAborted: boolean) => void
}

export type ObserveSend = (target: KnownTarget, traits: RequestTraits) => SendObservation

export interface CrashObserverOptions {
  readonly clock: Clock
  readonly directory: TargetDirectory
  readonly quarantine: RequestQuarantine
  readonly probe: ProbeTarget
  readonly probes: TargetProbes
  readonly reachability: TargetReachability
  /** Whether a peer states that it reaches targets. */
  readonly isReachedByPeer: () => boolean
}

/** Time after its first bytes for which a response may still be the cause of a crash, and after which its request counts as served. */
const BEGINNING_MILLISECONDS = 300
/** Period at which a daemon that is cut off checks what its peers state. */
const PEER_CHECK_MILLISECONDS = 200

/**
 * Creates the observer of sends that reports lost connections, unreachable targets and served requests
 * to the quarantine. After a lost connection it probes the target, because the next request
 * may be sent there much later.
 *
 * @example
 * const observation = observeSend(target, context.traits)
 * observation.end(outcome, signal.aborted)
 */
export function createCrashObserver ({ clock, directory, quarantine, probe, probes, reachability, isReachedByPeer }: CrashObserverOptions): ObserveSend {
  const probedTargets = new Set<TargetKey>()

  /**
   * Whether a target to which a connection attempt has failed has ended. While peers reach targets and this
   * daemon does not, its attempts tell nothing.
   */
  const hasEnded = async ({ key, entry }: KnownTarget, attemptedAt: Milliseconds): Promise<boolean> => {
    reachability.recordUnreached(key, attemptedAt)
    await probes.verify()
    if (!reachability.isCutOff()) return true
    while (reachability.isCutOff() && isReachedByPeer()) await clock.sleep(PEER_CHECK_MILLISECONDS)
    return reachability.isCutOff() || !await probe(entry.address)
  }

  /** Finds out whether a target has ended, by a probe if no connection attempt has failed yet. */
  const confirmCrash = async (target: KnownTarget, failedAttemptAt?: Milliseconds): Promise<void> => {
    const { key, entry } = target
    if (probedTargets.has(key)) return
    probedTargets.add(key)
    const attemptedAt = failedAttemptAt ?? clock.now()
    const isAccepting = failedAttemptAt === undefined && await probe(entry.address)
    if (!isAccepting && await hasEnded(target, attemptedAt)) quarantine.recordUnreachable(key)
    probedTargets.delete(key)
  }

  return (target, traits) => {
    const { key, entry: { service } } = target
    const sentAt = clock.now()
    let firstBytesAt: Milliseconds | undefined
    let isServed = false

    const recordServed = (): void => {
      if (isServed) return
      isServed = true
      quarantine.recordServed(service, traits)
    }

    const recordLoss = (hasBegun: boolean): void => {
      // A target that is draining closes its connections when it ends.
      const isDraining = directory.find(key) !== undefined && !directory.isUsable(key)
      const isBeginning = firstBytesAt === undefined || clock.now() - firstBytesAt < BEGINNING_MILLISECONDS
      if (!isDraining && isBeginning && quarantine.recordLoss({ target: key, service, traits, sentAt, hasBegun })) void confirmCrash(target)
    }

    return {
      recordBytes: () => {
        firstBytesAt ??= clock.now()
        if (clock.now() - firstBytesAt >= BEGINNING_MILLISECONDS) recordServed()
      },
      end: (outcome, isAborted) => {
        switch (outcome.kind) {
          case 'complete':
            quarantine.recordAnswer(key, sentAt)
            recordServed()
            break
          case 'server-error':
            quarantine.recordAnswer(key, sentAt)
            break
          case 'not-executed':
            // Another incarnation may respond at the address.
            if (outcome.targetId === target.entry.id) quarantine.recordAnswer(key, sentAt)
            else if (outcome.targetId !== undefined) quarantine.recordUnreachable(key)
            break
          case 'not-sent':
            if (!isAborted) void confirmCrash(target, sentAt)
            break
          case 'failed':
            if (outcome.failure.kind === 'connection-lost' && !isAborted) recordLoss(outcome.failure.hasBegun)
            break
          case 'broken':
            if (!isAborted) recordLoss(true)
            break
          case 'client-gone':
            break
        }
      }
    }
  }
}
