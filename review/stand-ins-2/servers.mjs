// Stand-in of a server of a plain service and of a service of streams. It registers itself in the store and
// checks in there at its interval.
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

export const CHECK_IN_MILLISECONDS = 1_200
/** The platform removes an entry after three intervals of silence. */
const SILENCE_MILLISECONDS = 3 * CHECK_IN_MILLISECONDS

/**
 * Creates a server. `serve(run, request, response)` answers a request that has begun to run. A server that has
 * crashed can start again: with the identifier that it had, or with a new one.
 */
export function createServerStandIn ({ store, id, host, port, service, zone, version = 'v1', slots = 6, checkInDelay = () => 0, serve }) {
  let generation = 0
  let server
  let checkIn
  let expiry
  let current = { id, version, born: 0, seq: 0 }
  const runs = []

  const register = (state = 'ready') => {
    clearTimeout(expiry)
    const { id: registered } = current
    expiry = setTimeout(() => store.put('keyed.servers', registered, undefined), SILENCE_MILLISECONDS)
    store.put('keyed.servers', current.id, { born: current.born, service, addr: `${host}:${port}`, zone, version: current.version, slots, state, cold_ms: 0, seq: current.seq++ })
  }

  const answer = async (request, response) => {
    const incarnation = generation
    const header = (name) => request.headers[`x-fuchsiastage-${name}`]
    const attempt = header('attempt-id') ?? ''
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (header('expect-instance') !== undefined && header('expect-instance') !== current.id) {
      response.writeHead(421, { 'X-Fuchsiastage-Attempt-Id': attempt, 'X-Fuchsiastage-Instance-Id': current.id, 'X-Fuchsiastage-Not-Executed': '1' }).end()
      return
    }
    const run = { attempt, path: request.url, server: current.id, born: current.born, version: current.version, at: Date.now(), lastEventId: request.headers['last-event-id'], resumes: request.headers.resumes }
    runs.push(run)
    await serve({ run, request, response, body: Buffer.concat(chunks), headers: { 'X-Fuchsiastage-Attempt-Id': attempt, 'X-Fuchsiastage-Server-Seal': `${current.id}.${current.born}.${runs.length}` }, isCurrent: () => incarnation === generation })
  }

  const start = async ({ newId, newVersion } = {}) => {
    generation++
    current = { id: newId ?? current.id, version: newVersion ?? current.version, born: Date.now(), seq: 0 }
    server = createServer((request, response) => { answer(request, response).catch(() => response.destroy()) })
    server.keepAliveTimeout = 5_000
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    })
    const incarnation = generation
    const beat = () => {
      if (incarnation !== generation) return
      register()
      checkIn = setTimeout(beat, CHECK_IN_MILLISECONDS)
    }
    const delay = checkInDelay()
    if (delay > 0) checkIn = setTimeout(beat, delay)
    else beat()
  }

  return {
    runs,
    start,
    current: () => current,
    isUp: () => server !== undefined,
    /** Ends the server like a process that is killed: its connections are reset and its port is closed. */
    crash: () => {
      generation++
      clearTimeout(checkIn)
      const ended = server
      server = undefined
      ended?.close()
      ended?.closeAllConnections()
    },
    sleep
  }
}
