import type { Socket } from 'node:net'

/** Errors of a write to a connection that the target has closed or reset. What it sent before can still be read. */
const ERRORS_OF_CLOSED_CONNECTIONS: ReadonlySet<string | undefined> = new Set(['EPIPE', 'ECONNRESET'])

type WriteCallback = (error?: NodeJS.ErrnoException | null) => void

export interface TargetSocket {
  /** Whether the target has closed or reset the connection before it took the whole request. */
  readonly isRequestCut: () => boolean
}

/**
 * Lets a socket report everything that its target has sent, in the order in which it was sent, also if the target does
 * not read the whole request.
 *
 * @example
 * const { isRequestCut } = readWholeAnswer(socket)
 */
export function readWholeAnswer (socket: Socket): TargetSocket {
  readInLaterTurn(socket)
  return readAfterFailedWrites(socket)
}

/**
 * Lets a socket go on to read only after the event loop has left the callback that brought its last chunk. If it is
 * reading when that callback returns, libuv reports a reset that came together with the chunk as an orderly end.
 */
function readInLaterTurn (socket: Socket): void {
  const read = socket._read.bind(socket)
  socket._read = (size) => { setImmediate(() => { if (!socket.destroyed) read(size) }) }
}

/**
 * Lets a socket read on after a write has failed, which would destroy it with the answer that has arrived. The system
 * reports a reset only once: after the failed write, the connection seems to end in order.
 */
function readAfterFailedWrites (socket: Socket): TargetSocket {
  let isRequestCut = false
  const settle = (callback: WriteCallback): WriteCallback => (error) => {
    const isOfClosedConnection = ERRORS_OF_CLOSED_CONNECTIONS.has(error?.code)
    isRequestCut ||= isOfClosedConnection
    callback(isOfClosedConnection ? null : error)
  }
  const write = socket._write.bind(socket)
  socket._write = (chunk, encoding, callback) => write(chunk, encoding, settle(callback))
  const writeAll = socket._writev?.bind(socket)
  if (writeAll !== undefined) socket._writev = (chunks, callback) => writeAll(chunks, settle(callback))
  return { isRequestCut: () => isRequestCut }
}
