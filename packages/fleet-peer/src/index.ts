/**
 * tRPC contract between the daemons of a fleet, with its server and client.
 */
export { createFleetPeerClient } from './client.js'
export type { FleetPeerClient } from './client.js'
export type { FleetRouter, HandoverMessage, HandoverOutcome, HandoverPart, HolderGossip, RelayedDocument, PeerHandlers, PermitMessage, PlaceAnswer, PlaceMessage, SyncAnswer, SyncMessage, TargetAccess, TrialMessage } from './contract.js'
export { startFleetPeerServer } from './server.js'
export type { FleetPeerServerOptions } from './server.js'
