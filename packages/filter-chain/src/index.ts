/**
 * Composition of request filters, generic over the types of the request and the answer.
 */
export { composeChain } from './chain.js'
export type { ChainFilter, NextFilter } from './chain.js'
