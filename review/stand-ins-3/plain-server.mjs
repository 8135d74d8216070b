import { createServer } from 'node:http'
import { readAll, sleep } from './record.mjs'

/** A server of plain requests that answers each after a fixed time. */
export function createPlainServer ({ id, host, port, store, service, workMilliseconds, heartbeatMilliseconds, onRun }) {
  let server
  let timer
  const born = Date.now()
  const checkIn = () => store.put('keyed.servers', id, { born, service, addr: `${host}:${port}`, zone: 'van-a', version: 's1', slots: 96, state: 'ready', cold_ms: 0, seq: 0 })
  const answer = async (request, response) => {
    await readAll(request)
    if (request.url === '/health') return response.writeHead(200, { 'X-Fuchsiastage-Instance-Id': id }).end()
    const header = (name) => request.headers[`x-fuchsiastage-${name}`]
    if (header('expect-instance') !== id) return response.writeHead(421, { 'X-Fuchsiastage-Instance-Id': id }).end()
    const attempt = header('attempt-id')
    onRun(id, attempt)
    await sleep(workMilliseconds)
    response.writeHead(200, { 'X-Fuchsiastage-Attempt-Id': attempt, 'X-Fuchsiastage-Server-Seal': `seal-${id}-${attempt}`, 'Content-Length': '2' }).end('ok')
  }
  return {
    start: async () => {
      server = createServer({ maxHeaderSize: 65_536, keepAliveTimeout: 30_000 }, (request, response) => { answer(request, response).catch(() => response.destroy()) })
      await new Promise((resolve, reject) => server.once('error', reject).listen(port, host, resolve))
      checkIn()
      timer = setInterval(checkIn, heartbeatMilliseconds)
    },
    end: () => {
      clearInterval(timer)
      server?.close()
      server?.closeAllConnections()
    }
  }
}
