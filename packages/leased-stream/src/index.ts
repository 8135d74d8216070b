/**
 * Log streams with a single writer, chosen by a lease. Lease records in the stream define numbered
 * epochs; the controller in this package acquires, renews and resigns the lease.
 */
export { createLeasedFold, LEASE_KINDS } from './leased-fold.js'
export type { EpochRecord, LeasedState, LeaseState, PayloadFold, AuthorStatus } from './leased-fold.js'
export { createLeasedStream } from './leased-stream.js'
export type { LeasedAppendResult, LeasedStream, LeasedStreamOptions, LeaseTiming } from './leased-stream.js'
export { rendezvousRank, rendezvousOrder } from './rendezvous.js'
