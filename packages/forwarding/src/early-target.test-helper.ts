import { createServer, type AddressInfo, type Socket } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'

/** A target in a thread of its own, so that its connections do what those of another process do while the sender is busy. */
export interface EarlyTarget {
  /** The answer to each request, which is sent after the first bytes of the request; the target reads no more before that. */
  readonly bytes: string
  readonly end: EarlyEnd
  /** Time between the answer and its end. */
  readonly pauseMilliseconds: number
}

/** What a target does once it has written its answer. The system resets a connection that is closed while bytes are unread. */
export type EarlyEnd = 'reset' | 'closed' | 'ended, closed' | 'ended, reset later' | 'ended, read on' | 'ended' | 'read on'

function reset (socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true })
  socket.destroy()
}

function finish (socket: Socket, end: EarlyEnd): void {
  switch (end) {
    case 'reset':
      reset(socket)
      return
    case 'closed':
      socket.destroy()
      return
    case 'ended, closed':
      socket.end(() => setImmediate(() => socket.destroy()))
      return
    case 'ended, reset later':
      socket.end(() => setTimeout(() => reset(socket), 50))
      return
    case 'ended, read on':
      socket.end(() => socket.resume())
      return
    case 'ended':
      socket.end()
      return
    case 'read on':
      socket.resume()
  }
}

if (parentPort !== null) {
  const port = parentPort
  const { bytes, end, pauseMilliseconds } = workerData as EarlyTarget
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      socket.pause()
      socket.write(bytes, () => pauseMilliseconds === 0 ? finish(socket, end) : setTimeout(() => finish(socket, end), pauseMilliseconds))
    })
  })
  server.listen(0, '127.0.0.1', () => port.postMessage(`127.0.0.1:${(server.address() as AddressInfo).port}`))
}
