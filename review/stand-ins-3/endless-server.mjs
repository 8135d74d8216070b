import { createServer } from 'node:http'
import { readAll, sleep } from './record.mjs'

const EVENTS = 58
const EVENT_MILLISECONDS = 100

/** A server of streams. One in trouble sends bytes without end in the body of each answer, until its caller closes. */
export function createEndlessServer ({ id, host, port, store, service, record, isInTrouble, blockBytes, blockMilliseconds, heartbeatMilliseconds, slots = 48, onEndless }) {
  const born = Date.now()
  const block = 'x'.repeat(blockBytes)
  let server
  let timer
  const checkIn = () => store.put('keyed.servers', id, { born, service, addr: `${host}:${port}`, zone: 'van-a', version: 's1', slots, state: 'ready', cold_ms: 0, seq: 0 })

  const answer = async (request, response) => {
    await readAll(request)
    if (request.url === '/health') return response.writeHead(200, { 'X-Fuchsiastage-Instance-Id': id }).end()
    const header = (name) => request.headers[`x-fuchsiastage-${name}`]
    if (header('expect-instance') !== id) return response.writeHead(421, { 'X-Fuchsiastage-Instance-Id': id }).end()
    const attempt = header('attempt-id')
    record.add('run', { server: id, attempt, trouble: isInTrouble })
    response.setMaxListeners(0)
    response.writeHead(200, { 'X-Fuchsiastage-Attempt-Id': attempt, 'X-Fuchsiastage-Server-Seal': `seal-${id}-${attempt}`, 'Content-Type': 'text/event-stream' })
    if (isInTrouble) {
      onEndless()
      response.write('id: 1\ndata: ')
      while (!response.destroyed) {
        if (!response.write(block)) await new Promise((resolve) => response.once('drain', resolve).once('close', resolve))
        await sleep(blockMilliseconds)
      }
      record.add('closed', { server: id, attempt })
      return
    }
    for (let event = 1; event <= EVENTS && !response.destroyed; event++) {
      await sleep(EVENT_MILLISECONDS)
      response.write(`id: ${event}\ndata: {"word":${event}}\n\n`)
    }
    response.end()
  }

  return {
    start: async () => {
      server = createServer((request, response) => { answer(request, response).catch(() => response.destroy()) })
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
