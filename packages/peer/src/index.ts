/**
 * The tRPC protocol between daemons: message schemas, server and client.
 */
export type { PeerHandlers } from './handlers.js'
export * from './messages.js'
export { createPeerRouter } from './router.js'
export type { PeerRouter } from './router.js'
export { startPeerServer } from './server.js'
export type { PeerServer } from './server.js'
export { createPeerClient } from './client.js'
export type { PeerClient } from './client.js'
