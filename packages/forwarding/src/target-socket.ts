import type { Socket } from 'node:net'
import type { Milliseconds } from '@fuchsiastage/types'

/**
 * Time in which a target that has ended, or has closed the connection, resets it because more of the request arrives:
 * a round trip, and the time until a lost packet is sent again.
 */
const MAXIMUM_RESET_DELAY_MILLISECONDS: Milliseconds = 250

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
  endAfterWrites(socket)
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

/**
 * Reports the end of a connection only when the request is sent, or could not be. A target that closes its connection
 * in order resets it when more of the request arrives; one that still reads it has ended its answer. One that
 * does neither is there and has only stopped reading.
 */
function endAfterWrites (socket: Socket): void {
  const push = socket.push.bind(socket)
  socket.push = (chunk, encoding) => {
    if (chunk !== null || socket.writableLength === 0) return push(chunk, encoding)
    const end = (): void => {
      socket.off('drain', end)
      socket.setTimeout(0)
      if (!socket.destroyed) push(null)
    }
    socket.once('drain', end)
    // The time begins anew whenever the target takes more of the request.
    socket.setTimeout(MAXIMUM_RESET_DELAY_MILLISECONDS, end)
    return false
  }
}
