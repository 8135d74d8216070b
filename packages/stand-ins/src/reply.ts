import type { ServerResponse } from 'node:http'

export type ReplyHeaders = Readonly<Record<string, string>>

/** Writes the response to one request. Nothing is written to a stalled connection. */
export interface Reply {
  readonly clientAddress: string | undefined
  readonly isConnectionStalled: () => boolean
  readonly sendJson: (status: number, body: unknown, headers?: ReplyHeaders) => void
  readonly sendEmpty: (status: number) => void
  /** Sends the status and headers of a response whose body is written in chunks. */
  readonly writeHead: (status: number, headers: ReplyHeaders) => void
  readonly write: (text: string) => void
  readonly end: () => void
  /** Closes the connection without completing the response. */
  readonly destroy: () => void
  /** Closes the connection of an event stream after all written events have been flushed to the socket. */
  readonly destroyAfterFlush: () => void
  /** Calls back once if the client disconnects before the response is complete. */
  readonly onClientDisconnect: (callback: () => void) => void
}

/**
 * Wraps a response so that an injected stall of the connection suppresses all writes.
 *
 * @example
 * createReply(response, () => stalledSockets.has(socket)).sendJson(200, { vms: [] })
 */
export function createReply (response: ServerResponse, isConnectionStalled: () => boolean): Reply {
  // A stall lasts until the connection closes, so an interrupted response is never completed.
  const isWritable = (): boolean => !isConnectionStalled() && !response.destroyed && !response.writableEnded
  return {
    clientAddress: response.req.socket.remoteAddress,
    isConnectionStalled,
    sendJson: (status, body, headers = {}) => {
      if (!isWritable() || response.headersSent) return
      const text = JSON.stringify(body)
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers })
      response.end(text)
    },
    sendEmpty: (status) => {
      if (!isWritable() || response.headersSent) return
      response.writeHead(status)
      response.end()
    },
    writeHead: (status, headers) => {
      if (!isWritable()) return
      response.writeHead(status, headers)
      response.flushHeaders()
    },
    write: (text) => { if (isWritable()) response.write(text) },
    end: () => { if (isWritable()) response.end() },
    destroy: () => { if (!isConnectionStalled()) response.req.socket.destroy() },
    destroyAfterFlush: () => {
      const { socket } = response.req
      if (!isWritable()) return
      // Write callbacks run in order, so the callback of an empty comment runs after the events before it are flushed.
      response.write(':\n\n', () => socket.destroy())
    },
    onClientDisconnect: (callback) => {
      response.once('close', () => { if (!response.writableFinished) callback() })
    }
  }
}
