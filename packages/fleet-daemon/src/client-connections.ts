import { STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { chooseConnectionsToClose, chooseHeadsToClose, type ClientCapacity } from '@fuchsiastage/client-memory'
import { readPendingEvents, type Clock } from '@fuchsiastage/clock'
import type { ClientLimits } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

/** A request whose head was read and whose response has not ended. */
interface ActiveRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  state: 'waiting' | 'forwarded'
  /** Called when it may be forwarded, and when it must not be any more. */
  onTurn: () => void
}

/** When a connection is closed: as other limits say, when no whole request is in progress on it, or after the response of the request that was forwarded. */
type ConnectionEnd = 'open' | 'when-idle' | 'after-response'

interface Connection {
  /** In the order in which they arrived. */
  readonly requests: ActiveRequest[]
  end: ConnectionEnd
  waitingSince: number
  /** Number of requests whose heads have arrived. */
  begunRequests: number
  /** Bytes that had arrived when the last request ended. */
  readBytes: number
}

/** A request on a connection, which ends with its response or with the connection. */
export interface ConnectionRequest {
  /** Waits for the responses of the earlier requests on the connection; returns whether the request may be forwarded. */
  readonly waitForTurn: () => Promise<boolean>
  /** Whether no later request has arrived on the connection. */
  readonly isLast: () => boolean
}

export interface ClientConnections {
  readonly count: () => number
  /** Counts a request until its response ends; undefined if its connection is closed, because it has too many. */
  readonly beginRequest: (request: IncomingMessage, response: ServerResponse) => ConnectionRequest | undefined
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
/** A connection is closed this long after the idle time that its last response has stated, as Node does. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1_000
/** Error code of Node's server when a head is not complete within its limit. */
const LATE_HEAD = 'ERR_HTTP_REQUEST_TIMEOUT'
/** Statuses for errors of Node's parser; 400 for all others. */
const ERROR_STATUSES: ReadonlyMap<string, number> = new Map([['HPE_HEADER_OVERFLOW', 431], ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413], [LATE_HEAD, 408]])
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
    const states = [...connections].map(([socket, connection]) => [socket, { ...connection, activeRequests: connection.requests.length, hasServed: connection.begunRequests > 0 }] as const)
    const chosen = chooseConnectionsToClose(states, clock.now(), { idleMilliseconds: limits().idleMilliseconds, maximumCount: CLOSED_TOGETHER })
    if (chosen.length === 0) nextChoiceAt = clock.now() + CHOICE_MILLISECONDS
    for (const socket of chosen) close(socket, 'connections')
  }

  server.on('connection', (socket) => {
    if (connections.size >= capacity.maximumConnections) makeRoom()
    if (connections.size >= capacity.maximumConnections) return close(socket, 'connections')
    const connection: Connection = { requests: [], end: 'open', waitingSince: clock.now(), begunRequests: 0, readBytes: 0 }
    connections.set(socket, connection)
    socket.once('close', () => {
      connections.delete(socket)
      // Node reports the close only to the response that is being sent, not to those that wait behind it.
      for (const { response } of [...connection.requests]) {
        response.destroy()
        response.emit('close')
      }
    })
  })

  const endByError = (socket: Socket, error: NodeJS.ErrnoException): void => {
    const connection = connections.get(socket)
    // Node would write its own response in place of the one to a request in progress, or cut it off.
    if (connection !== undefined && connection.requests.some(({ request }) => request.complete) && socket.writable && !socket.readableEnded) {
      if (connection.end === 'open') connection.end = 'when-idle'
    } else {
      if (socket.writable && connection?.requests[0]?.response.headersSent !== true) socket.write(errorResponse(error))
      socket.destroy(error)
    }
  }

  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (error.code === LATE_HEAD) void unlessChanged(() => connections.get(socket)?.begunRequests, () => endByError(socket, error))
    else endByError(socket, error)
  })

  // Node takes its parser and listeners from the connection, and destroys it if nothing listens to the event.
  server.on('connect', ({ socket }) => {
    socket.on('error', () => undefined).once('end', () => socket.destroy())
    socket.on('drain', () => connections.get(socket)?.requests[0]?.response.emit('drain'))
    socket.resume()
    endByError(socket, new Error('tunnels are not supported'))
  })

  const sweep = (): void => {
    for (const socket of chooseHeadsToClose([...connections].map(([socket, connection]) => [socket, { headBytes: headBytesOf(socket, connection) }]), capacity.headBytes)) close(socket, 'heads')
    if (server.listening || connections.size > 0) clock.setTimer(SWEEP_MILLISECONDS, sweep)
  }
  server.once('listening', sweep)

  // Node calls this when nothing was read from or written to a connection for its time-out. A part of a large write counts too.
  server.timeout = unreadResponseMilliseconds
  server.on('timeout', (socket: Socket) => {
    if ((connections.get(socket)?.requests.length ?? 0) === 0) void unlessChanged(() => socket.bytesRead, () => socket.destroy())
    else if (socket.writableLength > 0) close(socket, 'unread-response')
  })

  /** Closes a connection with too many requests; the response of the one that was forwarded is sent first. */
  const closeFlooded = (socket: Socket, connection: Connection): void => {
    if (connection.requests[0]?.state !== 'forwarded') return close(socket, 'pipelined')
    connection.end = 'after-response'
    socket.pause()
    onClosed('pipelined')
  }

  /** Whether a connection on which a response has ended is closed after it. */
  const isEnding = ({ requests, end }: Connection): boolean => {
    switch (end) {
      case 'open':
        return isClosing && requests.length === 0
      case 'when-idle':
        return !requests.some(({ request }) => request.complete)
      case 'after-response':
        return true
    }
  }

  const closeIdle = (): void => { for (const [socket, { requests }] of connections) if (requests.length === 0) socket.destroy() }

  return {
    count: () => connections.size,
    beginRequest: (request, response) => {
      const { socket } = request
      const connection = connections.get(socket)
      if (connection === undefined || connection.end === 'after-response') return undefined
      const { requests } = connection
      if (requests.length >= MAXIMUM_PIPELINED) {
        closeFlooded(socket, connection)
        return undefined
      }
      const active: ActiveRequest = { request, response, state: 'waiting', onTurn: () => undefined }
      requests.push(active)
      connection.end = 'open'
      connection.begunRequests++
      // Node states the time of the beginning of a request, and closes the connection after that of its end, when a new configuration may have a shorter one.
      const statedTimeout = server.keepAliveTimeout
      const hasTurn = (): boolean => requests[0] === active && connection.end !== 'after-response' && !socket.writableEnded && !socket.destroyed
      response.once('close', () => {
        requests.splice(requests.indexOf(active), 1)
        connection.waitingSince = clock.now()
        connection.readBytes = socket.bytesRead
        active.onTurn()
        requests[0]?.onTurn()
        if (isEnding(connection)) socket.destroySoon()
        else if (requests.length === 0 && statedTimeout > server.keepAliveTimeout) socket.setTimeout(statedTimeout + KEEP_ALIVE_MARGIN_MILLISECONDS)
      })
      return {
        waitForTurn: async () => {
          if (requests[0] !== active && requests.includes(active)) await new Promise<void>((resolve) => { active.onTurn = resolve })
          if (!hasTurn()) return false
          active.state = 'forwarded'
          return true
        },
        isLast: () => requests.at(-1) === active
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
function headBytesOf (socket: Socket, { requests, readBytes }: Connection): number {
  return requests.length > 0 ? 0 : socket.bytesRead - readBytes
}

/** Calls a function after a time limit, unless a counter has changed once the process, which may have been busy, has read what arrived meanwhile. */
async function unlessChanged (counter: () => number | undefined, onLate: () => void): Promise<void> {
  const before = counter()
  await readPendingEvents()
  if (counter() === before) onLate()
}

/** The response to bytes that are no request, or to a head that was not complete in time. */
function errorResponse ({ code }: NodeJS.ErrnoException): string {
  const status = ERROR_STATUSES.get(code ?? '') ?? 400
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`
}
