import type { Clock } from '@fuchsiastage/clock'
import type { FleetPeerClient, PlaceMessage } from '@fuchsiastage/fleet-peer'
import type { PlacementAnswer, RequestPlacement } from '@fuchsiastage/forwarding'
import type { Logger } from '@fuchsiastage/logger'
import type { PlacementController } from '@fuchsiastage/model-placement'
import type { Milliseconds } from '@fuchsiastage/types'

export interface PlacementRequestsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly peers: Pick<FleetPeerClient, 'place'>
  /** Controller of this daemon while it holds the order lease. */
  readonly ownPlacement: () => PlacementController | undefined
  /** Address of the peer that holds the order lease. */
  readonly holderAddress: () => string | undefined
  /** Time since the last contact with a peer that held the order lease. */
  readonly sinceHolderContact: () => Milliseconds
  /** Minimum time until a daemon may send orders if the current holder does not return; undefined if unknown. */
  readonly ordersExpectedIn: () => Milliseconds | undefined
}

/** Period at which a waiting request checks for a new lease holder. */
const HOLDER_POLL_MILLISECONDS = 100
/** A placement must begin at least this long before the deadline to be of use. */
const PLACEMENT_MARGIN_MILLISECONDS = 600
/** A holder whose process was killed responds again within this time, because its VM restarts the process. */
const HOLDER_RESTART_MILLISECONDS = 3_000
/** Minimum retry delay of a refusal without a lease holder. A successor takes over within seconds; clients wait at most a third of their remaining time. */
const NO_HOLDER_RETRY_MILLISECONDS = 1_500

/**
 * Creates the function that requests a placement from the holder of the order lease. While there is
 * no holder, it waits for one as long as one may appear in time.
 *
 * @example
 * const requestPlacement = createPlacementRequests({ clock, logger, peers, ownPlacement, holderAddress, sinceHolderContact, ordersExpectedIn })
 */
export function createPlacementRequests (options: PlacementRequestsOptions): RequestPlacement {
  const { clock, logger, peers, ownPlacement, holderAddress } = options

  /**
   * Requests a placement from the holder and aborts the call when the holder changes or stops
   * responding. A suspended or unreachable holder would otherwise block the request until its deadline.
   */
  const requestFromHolder = async (address: string, message: PlaceMessage, signal: AbortSignal): ReturnType<FleetPeerClient['place']> => {
    const callEnded = new AbortController()
    const call = peers.place(address, message, message.remainingMilliseconds, AbortSignal.any([signal, callEnded.signal]))
    const watchHolder = async (): Promise<void> => {
      while (!callEnded.signal.aborted && holderAddress() === address) await clock.sleep(HOLDER_POLL_MILLISECONDS, callEnded.signal)
      callEnded.abort()
    }
    void watchHolder()
    const answer = await call
    callEnded.abort()
    return answer
  }

  return async (requested, signal): Promise<PlacementAnswer> => {
    const startedAt = clock.now()
    const deadline = startedAt + requested.remainingMilliseconds
    let failedCalls = 0
    let lastFailure: string | undefined
    const refuseWithoutHolder = (retryAfterMilliseconds: Milliseconds): PlacementAnswer => {
      const sinceContact = options.sinceHolderContact()
      const ordersIn = options.ordersExpectedIn()
      logger.info('refused a placement because no lease holder could be reached', {
        event: 'placement-unavailable',
        request: requested.request,
        model: requested.model,
        holder: holderAddress() ?? null,
        sinceContact: Number.isFinite(sinceContact) ? Math.round(sinceContact) : null,
        ordersIn: ordersIn === undefined ? null : Math.round(ordersIn),
        failedCalls,
        lastFailure: lastFailure ?? null,
        waited: Math.round(clock.now() - startedAt),
        retryAfter: Math.round(retryAfterMilliseconds)
      })
      return { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds }
    }
    const message = { service: requested.service, model: requested.model, adapter: requested.adapter, request: requested.request, avoid: [...requested.avoid] }
    for (;;) {
      const remainingMilliseconds = deadline - clock.now()
      if (signal.aborted) return { kind: 'refused', reason: 'request-ended', retryAfterMilliseconds: NO_HOLDER_RETRY_MILLISECONDS }
      if (remainingMilliseconds < PLACEMENT_MARGIN_MILLISECONDS) return refuseWithoutHolder(Math.max(NO_HOLDER_RETRY_MILLISECONDS, options.ordersExpectedIn() ?? 0))
      const ownController = ownPlacement()
      if (ownController !== undefined) return await ownController.request({ ...message, remainingMilliseconds }, signal)
      const address = holderAddress()
      if (address !== undefined) {
        const answer = await requestFromHolder(address, { ...message, remainingMilliseconds }, signal)
        if (answer.isOk) {
          const { value } = answer
          if (value.kind === 'ready' || value.reason !== 'no-order-lease') return value
          // The holder may not send orders until the waiting period after its predecessor's orders has
          // passed. A request whose deadline is earlier is refused.
          if (value.retryAfterMilliseconds > remainingMilliseconds - PLACEMENT_MARGIN_MILLISECONDS) return value
          lastFailure = value.reason
        } else {
          lastFailure = answer.error.message
        }
        failedCalls++
      } else if (options.sinceHolderContact() > HOLDER_RESTART_MILLISECONDS) {
        const ordersIn = options.ordersExpectedIn()
        if (ordersIn !== undefined && ordersIn > remainingMilliseconds - PLACEMENT_MARGIN_MILLISECONDS) return refuseWithoutHolder(ordersIn)
      }
      await clock.sleep(HOLDER_POLL_MILLISECONDS, signal)
    }
  }
}
