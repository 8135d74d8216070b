/**
 * The memory that the requests and responses of clients may take up, and which of them are shed when it runs short.
 */
export { createBlockPool, createBodyBuffer, type BlockPool, type BodyBuffer, type TakenBody } from './body-buffer.js'
export { deriveClientCapacity, type ClientCapacity, type MachineLimits } from './client-capacity.js'
export { chooseConnectionsToClose, chooseHeadsToClose, type ConnectionState } from './client-connections.js'
export { createClientMemory, type ClientMemory, type ClientMemoryUsage, type ReceivingHold, type ReleaseMemory } from './client-memory.js'
