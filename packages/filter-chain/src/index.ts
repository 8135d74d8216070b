/**
 * Composition of request filters, independent of what the requests are.
 */
export { composeChain } from './chain.js'
export type { ChainFilter, NextFilter } from './chain.js'
