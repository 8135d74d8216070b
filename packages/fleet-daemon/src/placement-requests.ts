import type { Clock } from '@fuchsiastage/clock'
import type { FleetPeerClient, PlaceMessage } from '@fuchsiastage/fleet-peer'
import type { PlacementAnswer, RequestPlacement } from '@fuchsiastage/forwarding'
import type { PlacementController } from '@fuchsiastage/model-placement'
import type { Milliseconds } from '@fuchsiastage/types'

export interface PlacementRequestsOptions {
  readonly clock: Clock
  readonly peers: FleetPeerClient
  /** This daemon's controller, while it holds the order lease. */
  readonly ownPlacement: () => PlacementController | undefined
  /** Address of the peer that holds the order lease. */
  readonly holderAddress: () => string | undefined
  readonly sinceHolderContact: () => Milliseconds
  /** Least time until any daemon may give orders, if the holder does not come back. */
  readonly ordersExpectedIn: () => Milliseconds | undefined
}

/** Period at which a waiting request looks for a new holder. */
const HOLDER_POLL_MILLISECONDS = 100
/** A placement that cannot begin this long before the deadline is of no use. */
const PLACEMENT_MARGIN_MILLISECONDS = 600
/** A holder whose process was killed is heard again within this time, because its VM starts it anew. */
const HOLDER_RESTART_MILLISECONDS = 3_000
/** A successor is there within seconds; clients honour a third of the time that they have left. */
const NO_HOLDER_RETRY_MILLISECONDS = 1_500

/**
 * Creates the function that asks whoever holds the order lease for a placement. It looks for a new
 * holder while there may be one in time.
 *
 * @example
 * const requestPlacement = createPlacementRequests({ clock, peers, ownPlacement, holderAddress, holderSilentFor, ordersExpectedIn })
 */
export function createPlacementRequests (options: PlacementRequestsOptions): RequestPlacement {
  const { clock, peers, ownPlacement, holderAddress } = options

  /** Asks the holder for as long as it is heard: one that was frozen or cut off would keep the request to its end. */
  const requestFromHolder = async (address: string, message: PlaceMessage, signal: AbortSignal): ReturnType<FleetPeerClient['place']> => {
    const callEnded = new AbortController()
    const call = peers.place(address, message, message.remainingMilliseconds, AbortSignal.any([signal, callEnded.signal]))
    const watch = async (): Promise<void> => {
      while (!callEnded.signal.aborted && holderAddress() === address) await clock.sleep(HOLDER_POLL_MILLISECONDS, callEnded.signal)
      callEnded.abort()
    }
    void watch()
    const answer = await call
    callEnded.abort()
    return answer
  }

  return async (wanted, signal): Promise<PlacementAnswer> => {
    const deadline = clock.now() + wanted.remainingMilliseconds
    const message = { service: wanted.service, model: wanted.model, adapter: wanted.adapter, request: wanted.request, avoid: [...wanted.avoid] }
    for (;;) {
      const remainingMilliseconds = deadline - clock.now()
      const refusal = (retryAfterMilliseconds: Milliseconds): PlacementAnswer => ({ kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds })
      if (signal.aborted || remainingMilliseconds < PLACEMENT_MARGIN_MILLISECONDS) return refusal(Math.max(NO_HOLDER_RETRY_MILLISECONDS, options.ordersExpectedIn() ?? 0))
      const ownController = ownPlacement()
      if (ownController !== undefined) return await ownController.request({ ...message, remainingMilliseconds }, signal)
      const address = holderAddress()
      if (address !== undefined) {
        const answer = await requestFromHolder(address, { ...message, remainingMilliseconds }, signal)
        if (answer.isOk) {
          const { value } = answer
          if (value.kind === 'ready' || value.reason !== 'no-order-lease') return value
          // The holder waits for the end of its predecessor's turn.
          if (value.retryAfterMilliseconds > remainingMilliseconds - PLACEMENT_MARGIN_MILLISECONDS) return value
        }
      } else if (options.sinceHolderContact() > HOLDER_RESTART_MILLISECONDS) {
        const ordersIn = options.ordersExpectedIn()
        if (ordersIn !== undefined && ordersIn > remainingMilliseconds - PLACEMENT_MARGIN_MILLISECONDS) return refusal(ordersIn)
      }
      await clock.sleep(HOLDER_POLL_MILLISECONDS, signal)
    }
  }
}
