import { createServer } from 'node:http'
import { readAll, sleep } from './record.mjs'

/**
 * A server of streams that crashes when it begins to answer a request with the given prompt part. It is back after some
 * time, as a new boot with a new identifier.
 */
export function createCrashingServer ({ name, host, port, store, service, record, deadlyPart, events, eventMilliseconds, heartbeatMilliseconds, backMilliseconds, onDeadly, onCrash }) {
  let server
  let born
  let id
  let boot = 0
  let timer
  let isUp = false
  let isEnding = false
  const running = new Set()

  const checkIn = () => store.put('keyed.servers', id, { born, service, addr: `${host}:${port}`, zone: 'van-a', version: 's1', slots: 96, state: 'ready', cold_ms: 0, seq: 0 })

  const crash = (attempt) => {
    if (!isUp) return
    isUp = false
    clearTimeout(timer)
    clearInterval(timer)
    const lost = [...running].filter((other) => other !== attempt)
    record.add('server-crashed', { id, by: attempt, soundRequestsLost: lost.length })
    running.clear()
    server.close()
    server.closeAllConnections()
    onCrash({ lost: lost.length })
    const gone = id
    // Its entry is removed after three check-in intervals of silence.
    setTimeout(() => { if (!isEnding) store.put('keyed.servers', gone, undefined) }, 3 * heartbeatMilliseconds)
    setTimeout(() => { if (!isEnding) start() }, backMilliseconds)
  }

  const answer = async (request, response) => {
    await readAll(request)
    if (request.url === '/health') return response.writeHead(200, { 'X-Fuchsiastage-Instance-Id': id }).end()
    const header = (name) => request.headers[`x-fuchsiastage-${name}`]
    if (header('expect-instance') !== id) return response.writeHead(421, { 'X-Fuchsiastage-Instance-Id': id }).end()
    const attempt = header('attempt-id')
    const isDeadly = String(header('prompt-prefix')).split(',').some((part) => part.split(':')[0] === deadlyPart)
    record.add('run', { server: id, attempt, deadly: isDeadly })
    running.add(attempt)
    response.once('close', () => running.delete(attempt))
    await sleep(eventMilliseconds)
    if (isDeadly) {
      onDeadly()
      crash(attempt)
      return
    }
    response.writeHead(200, { 'X-Fuchsiastage-Attempt-Id': attempt, 'X-Fuchsiastage-Server-Seal': `seal-${id}-${attempt}`, 'Content-Type': 'text/event-stream' })
    for (let event = 1; event <= events && !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: {"word":${event}}\n\n`)
      await sleep(eventMilliseconds)
    }
    response.end()
  }

  const start = async () => {
    boot++
    id = `i-${name}-${boot}`
    born = Date.now()
    isUp = true
    server = createServer((request, response) => { answer(request, response).catch(() => response.destroy()) })
    await new Promise((resolve, reject) => server.once('error', reject).listen(port, host, resolve))
    record.add('server-started', { id })
    checkIn()
    timer = setInterval(checkIn, heartbeatMilliseconds)
  }

  return {
    start,
    end: () => {
      isEnding = true
      isUp = false
      clearInterval(timer)
      server?.close()
      server?.closeAllConnections()
    }
  }
}
