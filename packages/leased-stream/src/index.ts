/**
 * Streams with one writer at a time: epochs folded from lease records, and the controller that
 * acquires, renews and resigns the lease.
 */
export { createLeasedFold, LEASE_KINDS } from './leased-fold.js'
export type { EpochPayload, LeasedState, LeaseState, PayloadFold, PayloadStanding } from './leased-fold.js'
export { createLeasedStream } from './leased-stream.js'
export type { LeasedAppend, LeasedStream, LeasedStreamOptions, LeaseTiming } from './leased-stream.js'
export { rendezvousRank, rendezvousOrder } from './rendezvous.js'
