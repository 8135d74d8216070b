// Requests on kept channels while the list of servers holds one entry of another writer.
import { Agent } from 'node:http'
import { fileURLToPath } from 'node:url'
import { BROKEN, Deployment, HAS_TROUBLE, HELD, HOST, runCase, send, sleep } from '../stand-ins/deployment.mjs'
import { Store } from '../stand-ins/store.mjs'
import { Server } from '../stand-ins/server.mjs'
import { configuration, modelHeaders, MODELS, streamAnswer } from '../stand-ins/configuration.mjs'

const MACHINES = 3
const ENGINES = 3
const CLIENTS_PER_MACHINE = 24
/** A stream begins within its objective of 1,000 ms. */
const FIRST_EVENT_MILLISECONDS = 700
const WATCHED_MILLISECONDS = 15_000
/** The rule allows three such requests. */
const ALLOWED = 3

await runCase(async () => {
  const deployment = await Deployment.create({ recordPath: fileURLToPath(new URL('record.txt', import.meta.url)), machines: MACHINES, zones: ['van-a', 'van-b', 'vic-a'] })
  const { network, record } = deployment
  const ending = new AbortController()
  try {
    const store = new Store(`${network}.250`, 0)
    await store.start()
    store.writeConfiguration(configuration(1))
    const servers = []
    for (let index = 0; index < ENGINES; index++) {
      const server = new Server({
        host: `${network}.200`,
        service: 'drafter',
        zone: 'van-a',
        models: [MODELS[0], MODELS[1]],
        record,
        store,
        answer: async (...args) => {
          await sleep(FIRST_EVENT_MILLISECONDS)
          await streamAnswer(() => server)(...args)
        }
      })
      await server.start()
      servers.push(server)
    }
    for (let index = 1; index <= MACHINES; index++) deployment.start(index, store.address)
    await deployment.waitUntilReady(deployment.daemons)
    await sleep(2_000)

    const cut = []
    let count = 0
    const client = async (daemon) => {
      let agent
      // The clients are at different points of their requests at any time.
      await sleep(1_000 * Math.random())
      while (!ending.signal.aborted) {
        // A client keeps its channel, and opens a new one after it has lost one.
        const isKept = agent !== undefined
        agent ??= new Agent({ keepAlive: true, maxSockets: 1 })
        const answer = await send(daemon.front, { host: HOST, path: '/draft/1', body: 'a letter', headers: modelHeaders(MODELS[0]), budgetMilliseconds: 5_000, agent })
        count++
        const runs = servers.filter(({ runs }) => runs.includes(answer.id)).length
        record(`client ${answer.id} at ${daemon.name}${isKept ? ' on a kept channel' : ''}: ${answer.status ?? 'no status'}, ${answer.end}, ran ${runs} times`)
        if (isKept && runs > 0 && answer.status === undefined && answer.end.startsWith('channel closed')) cut.push(answer.id)
        if (answer.end !== 'complete') {
          agent.destroy()
          agent = undefined
          await sleep(200)
        }
        await sleep(300 * Math.random())
      }
      agent?.destroy()
    }
    const clients = deployment.daemons.flatMap((daemon) => Array.from({ length: CLIENTS_PER_MACHINE }, () => client(daemon)))
    await sleep(3_000)
    if (HAS_TROUBLE) {
      // A field of another type: the address is a text that names no port.
      store.writeServer('i-of-another-writer', { service: 'drafter', addr: `${network}.201:70000`, zone: 'van-a', version: 'v1', slots: 96, state: 'ready', cold_ms: 0, seq: 0, born: Date.now(), models: [] })
      record('another writer adds the entry of a server whose address has the port 70000')
    }
    await sleep(WATCHED_MILLISECONDS)
    ending.abort()
    await Promise.all(clients)

    const ends = deployment.daemons.flatMap(({ name, ends: own }) => own.map(({ code, signal }) => `${name} ${signal ?? code}`))
    record(`${count} requests; daemons that ended by themselves: ${ends.length} times (${ends.join(', ')})`)
    record(`${cut.length > ALLOWED ? 'BROKEN' : 'held'}: ${cut.length} requests from kept channels reached a sound server and their channel was closed without an answer; ${ALLOWED} are allowed`)
    if (count === 0) throw new Error('no request was sent')
    return cut.length > ALLOWED ? BROKEN : HELD
  } finally {
    ending.abort()
    await deployment.end()
  }
})
