import type { ManualClock } from '@fuchsiastage/clock'
import type { PlatformLog } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createOrderLease, type HolderDescription, type OrderLease, type OrderLeaseSettings } from './index.js'

export const SETTINGS: OrderLeaseSettings = {
  validMilliseconds: 9_000,
  renewMilliseconds: 1_200,
  retryMilliseconds: 250,
  pollMilliseconds: 1_000,
  quiescenceMilliseconds: 3_000,
  marginMilliseconds: 350
}

export interface Candidate {
  readonly lease: OrderLease
  readonly stop: () => void
}

export function startCandidate (clock: ManualClock, log: PlatformLog, holder: string, wallNow: () => number = clock.wallNow, canHold: () => boolean = () => true, description: () => HolderDescription = () => ({ peerAddress: '10.0.0.1:7380', daemonCount: undefined })): Candidate {
  const stopping = new AbortController()
  const lease = createOrderLease({
    log,
    clock: { ...clock, wallNow },
    logger: createMemoryLogger(clock).logger,
    topic: 'orders',
    holder,
    description,
    settings: SETTINGS,
    hasHolderContact: () => false,
    canHold,
    claimDelay: () => 0
  })
  void lease.run(stopping.signal)
  return { lease, stop: () => stopping.abort() }
}
