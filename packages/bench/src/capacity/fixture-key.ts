/** Peer key that the measured daemons share with their fixtures. */
export const FIXTURE_PEER_KEY = 'capacity-peer-key'
