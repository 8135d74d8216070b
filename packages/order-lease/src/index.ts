/**
 * Lease that allows one daemon at a time to send orders to model engines.
 */
export { createOrderLease } from './order-lease.js'
export type { FleetStatement, HolderDescription, OrderLease, OrderLeaseEvents, OrderLeaseOptions, OrderLeaseSettings, OrderLeaseView } from './order-lease.js'
export { decodeLeaseRecord, encodeLeaseRecord } from './lease-record.js'
export type { LeaseRecord } from './lease-record.js'
