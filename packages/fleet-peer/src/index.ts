/**
 * trpc contract between the daemons of a fleet, its server and its client.
 */
export { createFleetPeerClient } from './client.js'
export type { FleetPeerClient } from './client.js'
export type { FleetRouter, RelayedDocument, PeerHandlers, PlaceAnswer, PlaceMessage, SyncAnswer, SyncMessage } from './contract.js'
export { startFleetPeerServer } from './server.js'
export type { FleetPeerServerOptions } from './server.js'
