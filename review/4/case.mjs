// Streams without a length at a daemon that is stopped as planned: whether what clients get of them looks complete.
import { fileURLToPath } from 'node:url'
import { BROKEN, Deployment, HAS_TROUBLE, HELD, HOST, runCase, send, sleep } from '../stand-ins/deployment.mjs'
import { Store } from '../stand-ins/store.mjs'
import { Server } from '../stand-ins/server.mjs'
import { configuration, modelHeaders, MODELS, streamAnswer } from '../stand-ins/configuration.mjs'

const MACHINES = 3
const ENGINES = 3
const CLIENTS = 45
/** The longest stream of a clause-check in the site file, at a server with a full batch. */
const EVENTS = 191
const EVENT_MILLISECONDS = 50
const BUDGET_MILLISECONDS = 15_000
const GRACE_MILLISECONDS = 8_000

/** Writes a stream with neither a length nor chunks; it ends with its channel. */
function unframedStream (server, unframedIds) {
  return async (request, response, body, id) => {
    const { socket } = response
    unframedIds.add(id)
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
  const deployment = await Deployment.create({ recordPath: fileURLToPath(new URL('record.txt', import.meta.url)), machines: MACHINES, zones: ['van-a', 'van-b', 'vic-a'] })
  const { network, record } = deployment
  const unframedIds = new Set()
  try {
    const store = new Store(`${network}.250`, 0)
    await store.start()
    // All servers hold all models, so none is moved.
    store.writeConfiguration(configuration(1, { models: MODELS.slice(0, 2) }))
    for (let index = 0; index < ENGINES; index++) {
      // One of the servers sends its streams with neither a length nor chunks, the others in chunks.
      const stream = index === 0 ? unframedStream(() => server, unframedIds) : streamAnswer(() => server, { events: EVENTS, gapMilliseconds: EVENT_MILLISECONDS })
      const server = new Server({ host: `${network}.200`, service: 'drafter', zone: 'van-a', models: [MODELS[0], MODELS[1]], record, store, answer: stream })
      await server.start()
    }
    for (let index = 1; index <= MACHINES; index++) deployment.start(index, store.address)
    await deployment.waitUntilReady(deployment.daemons)
    await sleep(2_000)

    const sendStream = async (index) => {
      const daemon = deployment.daemons[index % MACHINES]
      await sleep(index * 20)
      // No two prompts are alike, so that they spread over the servers.
      const headers = { ...modelHeaders(MODELS[0]), 'X-Fuchsiastage-Prompt-Prefix': `${index}a:800,${index}b:410,${index}c:250` }
      const answer = await send(daemon.front, { host: HOST, path: '/clause/1', body: `clause ${index}`, headers, budgetMilliseconds: BUDGET_MILLISECONDS })
      const events = answer.body.split('\n\n').length - 1
      const framing = unframedIds.has(answer.id) ? 'without a length' : 'in chunks'
      record(`client ${answer.id} at ${daemon.name}, stream ${framing}: ${answer.status ?? 'no status'}, ${answer.end}, ${events} of ${EVENTS} events after ${answer.endedAt - answer.sentAt} ms, last bytes ${JSON.stringify(answer.body.slice(-12))}`)
      return { ...answer, events, isWholeEvent: answer.body.endsWith('\n\n') }
    }
    const streams = Array.from({ length: CLIENTS }, (_, index) => sendStream(index))
    await sleep(CLIENTS * 20 + 500)
    if (HAS_TROUBLE) deployment.terminate(deployment.daemons[0])
    const answers = await Promise.all(streams)
    await sleep(GRACE_MILLISECONDS / 4)

    // The channel ended in order, after a whole event, so nothing shows the client that the rest is missing.
    const early = answers.filter(({ status, end, events, isWholeEvent }) => status === 200 && end === 'complete' && isWholeEvent && events < EVENTS)
    record(`${answers.length} answers, ${answers.filter(({ events }) => events === EVENTS).length} of them with all events`)
    record(`${early.length > 0 ? 'BROKEN' : 'held'}: ${early.length} answers ended early and look complete`)
    if (unframedIds.size === 0) throw new Error('no stream without a length was sent')
    return early.length > 0 ? BROKEN : HELD
  } finally {
    await deployment.end()
  }
})
