/**
 * The lease under which one daemon at a time gives orders to model servers.
 */
export { createOrderLease } from './order-lease.js'
export type { OrderLease, OrderLeaseEvents, OrderLeaseOptions, OrderLeaseSettings, OrderLeaseView } from './order-lease.js'
export { decodeLeaseRecord, encodeLeaseRecord } from './lease-record.js'
export type { LeaseRecord } from './lease-record.js'
