// Streams of a server that sends without end: whether what clients get of them until the route's timeout looks complete.
import { fileURLToPath } from 'node:url'
import { BROKEN, Deployment, HAS_TROUBLE, HELD, HOST, runCase, send, sleep } from '../stand-ins/deployment.mjs'
import { Store } from '../stand-ins/store.mjs'
import { Server } from '../stand-ins/server.mjs'
import { configuration, modelHeaders, MODELS } from '../stand-ins/configuration.mjs'

const MACHINES = 3
const CLIENTS = 24
const ROUNDS = 2
const EVENTS = 10
const EVENT_MILLISECONDS = 30
/** Time budget of the clients and timeout of the route. */
const TIMEOUT_MILLISECONDS = 5_000
/** Events that the server in trouble writes at once. It writes on when its connection takes more. */
const BURST_EVENTS = 500

const eventOf = (event) => `id: ${event}\ndata: ${`word ${event} `.repeat(12)}\n\n`

/** Writes a stream with neither a length nor chunks; it ends with its channel, or never. */
function unframedStream (server, runs) {
  return async (request, response, body, id) => {
    const { socket } = response
    socket.on('error', () => undefined)
    const headers = Object.entries({ ...server().headers(id), 'Content-Type': 'text/event-stream', Connection: 'close' })
    socket.write(`HTTP/1.1 200 OK\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
    if (!HAS_TROUBLE) {
      for (let event = 1; event <= EVENTS && !socket.destroyed; event++) {
        socket.write(eventOf(event))
        await sleep(EVENT_MILLISECONDS)
      }
      runs.set(id, 'sent all events')
      socket.end()
      return
    }
    runs.set(id, 'sends without end')
    for (let event = 1; !socket.destroyed; event += BURST_EVENTS) {
      const events = Array.from({ length: BURST_EVENTS }, (_, index) => eventOf(event + index)).join('')
      if (socket.write(events)) await sleep(0)
      else {
        await new Promise((resolve) => {
          socket.once('drain', resolve)
          socket.once('close', resolve)
        })
      }
    }
  }
}

await runCase(async () => {
  const deployment = await Deployment.create({ recordPath: fileURLToPath(new URL('record.txt', import.meta.url)), machines: MACHINES, zones: ['van-a', 'van-b', 'vic-a'] })
  const { network, record } = deployment
  try {
    const store = new Store(`${network}.250`, 0)
    await store.start()
    store.writeConfiguration(configuration(1))
    const runs = new Map()
    const server = new Server({ host: `${network}.200`, service: 'drafter', zone: 'van-a', models: [MODELS[0], MODELS[1]], record, store, answer: unframedStream(() => server, runs) })
    await server.start()
    for (let index = 1; index <= MACHINES; index++) deployment.start(index, store.address)
    await deployment.waitUntilReady(deployment.daemons)
    await sleep(2_000)

    let early = 0
    let count = 0
    for (let round = 0; round < ROUNDS; round++) {
      await Promise.all(Array.from({ length: CLIENTS }, async (_, index) => {
        const daemon = deployment.daemons[index % MACHINES]
        await sleep(index * 10)
        const headers = { ...modelHeaders(MODELS[0]), 'X-Fuchsiastage-Prompt-Prefix': `${round}${index}a:800,${round}${index}b:250` }
        const answer = await send(daemon.front, { host: HOST, path: `/draft/${round}-${index}`, body: `letter ${round}-${index}`, headers, budgetMilliseconds: TIMEOUT_MILLISECONDS, keptBytes: 200 })
        const isWholeEvent = answer.body.endsWith('\n\n')
        const run = runs.get(answer.id) ?? 'did not run'
        // The server has not broken off. The channel ended in order, so nothing shows the client that the rest is missing.
        const isEarly = run === 'sends without end' && answer.status === 200 && answer.end === 'complete'
        count++
        if (isEarly) early++
        record(`client ${answer.id} at ${daemon.name}: ${answer.status ?? 'no status'}, ${answer.end}, ${answer.bytes} bytes, ${isWholeEvent ? 'ended after a whole event' : 'ended inside an event'}, after ${answer.endedAt - answer.sentAt} ms; the server ${run}${isEarly ? ', LOOKS COMPLETE' : ''}`)
      }))
    }
    record(`${early > 0 ? 'BROKEN' : 'held'}: of ${count} answers, ${early} ended early and look complete`)
    if (runs.size === 0) throw new Error('no request ran')
    return early > 0 ? BROKEN : HELD
  } finally {
    await deployment.end()
  }
})
