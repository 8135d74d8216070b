/** Key that the measured daemons and their fixtures present to each other. */
export const FIXTURE_PEER_KEY = 'capacity-peer-key'
