import type { Clock } from '@fuchsiastage/clock'
import type { FleetPeerClient } from '@fuchsiastage/fleet-peer'
import type { PlacementAnswer, RequestPlacement } from '@fuchsiastage/forwarding'
import type { PlacementController } from '@fuchsiastage/model-placement'

export interface PlacementRequestsOptions {
  readonly clock: Clock
  readonly peers: FleetPeerClient
  /** This daemon's controller, while it holds the order lease. */
  readonly ownPlacement: () => PlacementController | undefined
  /** Address of the peer that holds the order lease. */
  readonly holderAddress: () => string | undefined
}

/** Period at which a waiting request looks for a new holder. */
const HOLDER_POLL_MILLISECONDS = 100
/** A placement that cannot begin this long before the deadline is of no use. */
const PLACEMENT_MARGIN_MILLISECONDS = 600
/** A successor is there within seconds; clients honour a third of the time that they have left. */
const NO_HOLDER_RETRY_MILLISECONDS = 1_500

/**
 * Creates the function that asks whoever holds the order lease for a placement, and looks for a new
 * holder while there is time.
 *
 * @example
 * const requestPlacement = createPlacementRequests({ clock, peers, ownPlacement, holderAddress })
 */
export function createPlacementRequests ({ clock, peers, ownPlacement, holderAddress }: PlacementRequestsOptions): RequestPlacement {
  return async (wanted, signal): Promise<PlacementAnswer> => {
    const until = clock.now() + wanted.remainingMilliseconds
    const message = { service: wanted.service, model: wanted.model, adapter: wanted.adapter, request: wanted.request, avoid: [...wanted.avoid] }
    for (;;) {
      const remainingMilliseconds = until - clock.now()
      if (signal.aborted || remainingMilliseconds < PLACEMENT_MARGIN_MILLISECONDS) return { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: NO_HOLDER_RETRY_MILLISECONDS }
      const own = ownPlacement()
      if (own !== undefined) return await own.request({ ...message, remainingMilliseconds }, signal)
      const address = holderAddress()
      if (address !== undefined) {
        const answer = await peers.place(address, { ...message, remainingMilliseconds }, remainingMilliseconds, signal)
        if (answer.isOk && !(answer.value.kind === 'refused' && answer.value.reason === 'no-order-lease')) return answer.value
      }
      await clock.sleep(HOLDER_POLL_MILLISECONDS, signal)
    }
  }
}
