import { createServer } from 'node:http'
import { sleep } from './record.mjs'

/**
 * A server of streams that may be resumed. Each event names the software version that has written it. It writes its
 * entry to the store at every check-in, the first of them within one interval after its start.
 */
export function createStreamServer ({ id, host, port, store, service, record, events, eventMilliseconds, heartbeatMilliseconds }) {
  let server
  let born
  let version
  let timer

  const checkIn = () => {
    store.put('keyed.servers', id, { born, service, addr: `${host}:${port}`, zone: 'van-a', version, slots: 96, state: 'ready', cold_ms: 0, seq: 0 })
    record.add('check-in', { id, born, version })
  }

  const answer = async (request, response) => {
    const header = (name) => request.headers[`x-fuchsiastage-${name}`]
    const attempt = header('attempt-id')
    for await (const chunk of request) void chunk
    if (request.url === '/health') return response.writeHead(200, { 'X-Fuchsiastage-Instance-Id': id }).end()
    if (header('expect-instance') !== id) return response.writeHead(421, { 'X-Fuchsiastage-Instance-Id': id }).end()
    const after = Number(request.headers['last-event-id'] ?? 0)
    record.add('run', { server: id, version, attempt, after })
    response.writeHead(200, { 'X-Fuchsiastage-Attempt-Id': attempt, 'X-Fuchsiastage-Server-Seal': `seal-${id}-${attempt}`, 'Content-Type': 'text/event-stream' })
    const ownVersion = version
    for (let event = after + 1; event <= events && !response.destroyed; event++) {
      await sleep(eventMilliseconds)
      response.write(`id: ${event}\ndata: {"word":${event},"software":"${ownVersion}","server":"${id}"}\n\n`)
    }
    response.end()
  }

  return {
    id,
    version: () => version,
    start: async ({ softwareVersion, firstCheckInMilliseconds }) => {
      version = softwareVersion
      born = Date.now()
      server = createServer((request, response) => { answer(request, response).catch(() => response.destroy()) })
      await new Promise((resolve, reject) => server.once('error', reject).listen(port, host, resolve))
      record.add('server-started', { id, version, born })
      timer = setTimeout(() => {
        checkIn()
        timer = setInterval(checkIn, heartbeatMilliseconds)
      }, firstCheckInMilliseconds)
    },
    /** Ends as a process that crashes: nothing is written to the store, and all connections are reset. */
    crash: () => {
      record.add('server-crashed', { id, version })
      clearTimeout(timer)
      clearInterval(timer)
      server.close()
      for (const socket of server.sockets ?? []) socket.resetAndDestroy()
      server.closeAllConnections()
    },
    end: () => {
      clearTimeout(timer)
      clearInterval(timer)
      server?.close()
      server?.closeAllConnections()
    }
  }
}
