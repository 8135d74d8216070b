// Streams without a length at a daemon that is killed: whether what clients get of them looks complete.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BROKEN, Deployment, HAS_TROUBLE, HELD, HOST, runCase, send, sleep } from '../stand-ins/deployment.mjs'
import { Store } from '../stand-ins/store.mjs'
import { Server } from '../stand-ins/server.mjs'
import { configuration, modelHeaders, MODELS, streamAnswer } from '../stand-ins/configuration.mjs'

const MACHINES = 3
const ENGINES = 3
const CLIENTS = 60
const EVENTS = 58
const EVENT_MILLISECONDS = 30

/** Writes a stream with neither a length nor chunks; it ends with its channel. */
function unframedStream (server) {
  return async (request, response, body, id) => {
    const { socket } = response
    socket.on('error', () => undefined)
    const headers = Object.entries({ ...server().headers(id), 'Content-Type': 'text/event-stream', Connection: 'close' })
    socket.write(`HTTP/1.1 200 OK\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
    for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= EVENTS && !socket.destroyed; event++) {
      socket.write(`id: ${event}\ndata: word ${event}\n\n`)
      await sleep(EVENT_MILLISECONDS)
    }
    socket.end()
  }
}

await runCase(async () => {
  const deployment = await Deployment.create({ folder: dirname(fileURLToPath(import.meta.url)), machines: MACHINES, zones: ['van-a', 'van-b', 'vic-a'] })
  const { network, record } = deployment
  let isEnding = false
  try {
    const store = new Store(`${network}.250`, 0)
    await store.start()
    store.writeConfiguration(configuration(1))
    for (let index = 0; index < ENGINES; index++) {
      // One of the servers sends its streams with neither a length nor chunks, the others in chunks.
      const stream = index === 0 ? unframedStream(() => server) : streamAnswer(() => server, { events: EVENTS, gapMilliseconds: EVENT_MILLISECONDS })
      const server = new Server({ host: `${network}.200`, service: 'drafter', zone: 'van-a', models: [MODELS[0], MODELS[1]], record, store, answer: stream })
      await server.start()
    }
    for (let index = 1; index <= MACHINES; index++) deployment.start(index, store.address)
    await deployment.waitUntilReady(deployment.daemons)
    await sleep(2_000)

    const answers = []
    const client = async (index) => {
      const daemon = deployment.daemons[index % MACHINES]
      while (!isEnding) {
        const answer = await send(daemon.front, { host: HOST, path: '/clause/1', body: 'a clause', headers: modelHeaders(MODELS[0]), budgetMilliseconds: 15_000 })
        const events = answer.body.split('\n\n').length - 1
        record(`client ${answer.id} at ${daemon.name}: ${answer.status ?? 'no status'}, ${answer.end}, ${events} of ${EVENTS} events, last bytes ${JSON.stringify(answer.body.slice(-12))}`)
        answers.push({ ...answer, events, isWholeEvent: answer.body.endsWith('\n\n') })
        await sleep(100 * Math.random())
      }
    }
    const clients = Array.from({ length: CLIENTS }, (_, index) => client(index))
    await sleep(4_000)
    if (HAS_TROUBLE) {
      const [daemon] = deployment.daemons
      record(`SIGKILL to ${daemon.name}`)
      daemon.process.kill('SIGKILL')
    }
    await sleep(4_000)
    isEnding = true
    await Promise.all(clients)

    // The channel ended in order, after a whole event, so nothing shows the client that the rest is missing.
    const early = answers.filter(({ status, end, events, isWholeEvent }) => status === 200 && end === 'complete' && isWholeEvent && events < EVENTS)
    record(`${answers.length} answers, ${answers.filter(({ events }) => events === EVENTS).length} of them with all events`)
    record(`${early.length > 0 ? 'BROKEN' : 'held'}: ${early.length} answers ended early and look complete`)
    if (answers.length < CLIENTS) throw new Error('too few requests were sent')
    return early.length > 0 ? BROKEN : HELD
  } finally {
    isEnding = true
    await deployment.end()
  }
})
