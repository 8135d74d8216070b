import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { chooseConnectionsToClose, chooseHeadsToClose, type ClientCapacity } from '@fuchsiastage/client-memory'
import type { Clock } from '@fuchsiastage/clock'
import type { ClientLimits } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

interface Connection {
  activeRequests: number
  waitingSince: number
  hasServed: boolean
  /** Bytes that had arrived when the last request ended. */
  readBytes: number
}

export interface ClientConnections {
  readonly count: () => number
  /** Counts a request on a connection until the returned function is called; undefined if the connection was closed because it has too many. */
  readonly beginRequest: (socket: Socket) => (() => void) | undefined
  readonly closeIdle: () => void
  /** Closes the idle connections, and each other one as soon as it is idle, so that no further request arrives on it. */
  readonly closeAll: () => void
}

export interface ClientConnectionsOptions {
  readonly server: Server
  readonly clock: Clock
  readonly capacity: ClientCapacity
  readonly limits: () => ClientLimits
  readonly onClosed: (reason: ConnectionClosing) => void
  /** Time without progress after which a connection is closed whose client does not read the response that waits for it; a minute by default. */
  readonly unreadResponseMilliseconds?: Milliseconds
}

/** Why a connection of a client was closed. */
export type ConnectionClosing = 'connections' | 'heads' | 'pipelined' | 'unread-response'

/** Requests that may be in progress on one connection. Clients that pipeline requests send few ahead. */
const MAXIMUM_PIPELINED = 32
/** Connections that are closed together when too many are open, so that a flood of new ones causes few searches. */
const CLOSED_TOGETHER = 16
/** Time until the next search after one that has found no connection that may be closed. */
const CHOICE_MILLISECONDS = 100
/** Period of the check of unfinished heads. */
const SWEEP_MILLISECONDS = 250
/** Time after which a connection is closed whose client has read nothing of the response that waits for it. Clients read slowly at times, but not for as long as this. */
const UNREAD_RESPONSE_MILLISECONDS = 60_000

/**
 * Keeps account of the connections of clients and closes those that are too many, hold too large unfinished heads,
 * send too many requests ahead, or do not read their responses.
 *
 * @example
 * const connections = trackClientConnections({ server, clock, capacity, limits, onClosed })
 */
export function trackClientConnections ({ server, clock, capacity, limits, onClosed, unreadResponseMilliseconds = UNREAD_RESPONSE_MILLISECONDS }: ClientConnectionsOptions): ClientConnections {
  const connections = new Map<Socket, Connection>()
  /** Time before which no connection is looked for that may be closed, because none was found. */
  let nextChoiceAt = -Infinity
  let isClosing = false

  const close = (socket: Socket, reason: ConnectionClosing): void => {
    connections.delete(socket)
    socket.destroy()
    onClosed(reason)
  }

  /** Makes room for a new connection, if connections are open that may be closed. */
  const makeRoom = (): void => {
    if (clock.now() < nextChoiceAt) return
    const chosen = chooseConnectionsToClose(connections, clock.now(), { idleMilliseconds: limits().idleMilliseconds, maximumCount: CLOSED_TOGETHER })
    if (chosen.length === 0) nextChoiceAt = clock.now() + CHOICE_MILLISECONDS
    for (const socket of chosen) close(socket, 'connections')
  }

  server.on('connection', (socket) => {
    if (connections.size >= capacity.maximumConnections) makeRoom()
    if (connections.size >= capacity.maximumConnections) return close(socket, 'connections')
    connections.set(socket, { activeRequests: 0, waitingSince: clock.now(), hasServed: false, readBytes: 0 })
    socket.once('close', () => connections.delete(socket))
  })

  const sweep = (): void => {
    for (const socket of chooseHeadsToClose([...connections].map(([socket, connection]) => [socket, { headBytes: headBytesOf(socket, connection) }]), capacity.headBytes)) close(socket, 'heads')
    if (server.listening || connections.size > 0) clock.setTimer(SWEEP_MILLISECONDS, sweep)
  }
  server.once('listening', sweep)

  // Node calls this when nothing was read from or written to a connection for its time-out. A part of a large write counts too.
  server.timeout = unreadResponseMilliseconds
  server.on('timeout', (socket: Socket) => {
    if ((connections.get(socket)?.activeRequests ?? 0) === 0) socket.destroy()
    else if (socket.writableLength > 0) close(socket, 'unread-response')
  })

  const closeIdle = (): void => { for (const [socket, { activeRequests }] of connections) if (activeRequests === 0) socket.destroy() }

  return {
    count: () => connections.size,
    beginRequest: (socket) => {
      const connection = connections.get(socket)
      if (connection === undefined) return undefined
      if (connection.activeRequests >= MAXIMUM_PIPELINED) {
        close(socket, 'pipelined')
        return undefined
      }
      connection.activeRequests++
      connection.hasServed = true
      return () => {
        connection.activeRequests--
        connection.waitingSince = clock.now()
        connection.readBytes = socket.bytesRead
        // Sends the rest of the response first.
        if (isClosing && connection.activeRequests === 0) socket.destroySoon()
      }
    },
    closeIdle,
    closeAll: () => {
      isClosing = true
      closeIdle()
    }
  }
}

/** Bytes of the head that is arriving on a connection; 0 while a request is in progress. */
function headBytesOf (socket: Socket, { activeRequests, readBytes }: Connection): number {
  return activeRequests > 0 ? 0 : socket.bytesRead - readBytes
}
