import type { ServerResponse } from 'node:http'

export type ReplyHeaders = Readonly<Record<string, string>>

/** The answer to one request. Nothing is written to a connection that has been silenced. */
export interface Reply {
  readonly clientAddress: string | undefined
  readonly isSilenced: () => boolean
  readonly sendJson: (status: number, body: unknown, headers?: ReplyHeaders) => void
  readonly sendEmpty: (status: number) => void
  /** Sends the head of an answer whose body follows in parts. */
  readonly open: (status: number, headers: ReplyHeaders) => void
  readonly write: (text: string) => void
  readonly end: () => void
  /** Cuts the connection. */
  readonly destroy: () => void
  /** Cuts the connection of an event stream after what was written has left the process. */
  readonly destroyAfterWrites: () => void
  /** Calls back once when the client has gone before the answer was complete. */
  readonly onAbandoned: (callback: () => void) => void
}

/**
 * Wraps a response so that faults of the connection apply to everything that is written.
 *
 * @example
 * createReply(response, () => silenced.has(socket)).sendJson(200, { vms: [] })
 */
export function createReply (response: ServerResponse, isSilenced: () => boolean): Reply {
  // Silence lasts for the connection's life, so an answer that was cut short is never completed.
  const isWritable = (): boolean => !isSilenced() && !response.destroyed && !response.writableEnded
  return {
    clientAddress: response.req.socket.remoteAddress,
    isSilenced,
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
    open: (status, headers) => {
      if (!isWritable()) return
      response.writeHead(status, headers)
      response.flushHeaders()
    },
    write: (text) => { if (isWritable()) response.write(text) },
    end: () => { if (isWritable()) response.end() },
    destroy: () => { if (!isSilenced()) response.req.socket.destroy() },
    destroyAfterWrites: () => {
      const { socket } = response.req
      if (!isWritable()) return
      // Write callbacks run in order, so an empty comment tells when the events before it were written.
      response.write(':\n\n', () => socket.destroy())
    },
    onAbandoned: (callback) => {
      response.once('close', () => { if (!response.writableFinished) callback() })
    }
  }
}
