// Orders to model servers before and after the store comes back from a copy some seconds old.
import { fileURLToPath } from 'node:url'
import { BROKEN, Deployment, HAS_TROUBLE, HELD, HOST, runCase, send, sleep } from '../stand-ins/deployment.mjs'
import { Store } from '../stand-ins/store.mjs'
import { Server } from '../stand-ins/server.mjs'
import { configuration, modelHeaders, MODELS, streamAnswer } from '../stand-ins/configuration.mjs'

const MACHINES = 3
const ENGINES = 3
/** Time for which the store is away in the drill. */
const AWAY_MILLISECONDS = 1_000
/** Time after the drill in which a daemon sends orders again: the lease expires, is claimed, and a waiting period passes. */
const OBSERVED_MILLISECONDS = 20_000
/** lease_ms of the settings. */
const LEASE_MILLISECONDS = 3_000

await runCase(async () => {
  const deployment = await Deployment.create({ recordPath: fileURLToPath(new URL('record.txt', import.meta.url)), machines: MACHINES, zones: ['van-a', 'van-b', 'vic-a'] })
  const { network, record } = deployment
  const servers = []
  const ending = new AbortController()
  try {
    const store = new Store(`${network}.250`, 0)
    await store.start()
    store.writeConfiguration(configuration(1))
    for (let index = 0; index < ENGINES; index++) {
      const server = new Server({ host: `${network}.200`, service: 'drafter', zone: 'van-a', models: [MODELS[0], MODELS[index + 1]], record, store, answer: streamAnswer(() => server) })
      await server.start()
      servers.push(server)
    }
    for (let index = 1; index <= MACHINES; index++) deployment.start(index, store.address)
    await deployment.waitUntilReady(deployment.daemons)

    // Clients ask for all models in turn, so that the holder of the lease has orders to send.
    const client = async () => {
      for (let count = 0; !ending.signal.aborted; count++) {
        const { front } = deployment.daemons[count % MACHINES]
        const answer = await send(front, { host: HOST, path: '/audit/1', headers: modelHeaders(MODELS[count % MODELS.length]), budgetMilliseconds: 5_000 })
        record(`client ${answer.id} at ${front}: ${answer.status ?? ''} ${answer.end}`)
        await sleep(150)
      }
    }
    const clients = [client(), client()]

    const orders = () => servers.flatMap((server) => server.orders.map((order) => ({ ...order, server: server.id }))).sort((one, other) => one.at - other.at)
    await deployment.waitUntil(() => orders().length > 0, 20_000, 'a first order')
    const [{ holder: firstHolder }] = orders()
    const first = deployment.daemons.find(({ name }) => name === firstHolder)

    // A planned restart of the machine that holds the lease; another one takes over.
    const copiedAt = Date.now()
    deployment.terminate(first)
    await deployment.waitUntil(() => orders().some(({ holder }) => holder !== firstHolder), 20_000, 'an order of the next holder')
    await sleep(500)
    if (HAS_TROUBLE) {
      record(`the store goes away, and comes back after ${AWAY_MILLISECONDS} ms from a copy ${((Date.now() - copiedAt) / 1000).toFixed(1)} s old`)
      await store.restore(copiedAt, AWAY_MILLISECONDS)
      record('the store is back')
    }
    const countBefore = orders().length
    await sleep(OBSERVED_MILLISECONDS)
    ending.abort()
    await Promise.all(clients)

    if (orders().length === countBefore) throw new Error('no order arrived after the drill')
    let isBroken = false
    for (const server of servers) {
      let highest
      for (const order of server.orders) {
        if (highest !== undefined && (order.fence < highest.fence || (order.fence === highest.fence && order.holder !== highest.holder))) {
          record(`BROKEN: server ${server.id} got generation ${order.fence} from ${order.holder} after generation ${highest.fence} from ${highest.holder}`)
          isBroken = true
          break
        }
        highest = order
      }
      const turn = server.orders.find((order, index) => index > 0 && order.holder !== server.orders[index - 1].holder && order.at - server.orders[index - 1].at < LEASE_MILLISECONDS)
      if (turn !== undefined) record(`also: server ${server.id} got an order from ${turn.holder} within ${LEASE_MILLISECONDS} ms after one of another machine`)
    }
    if (!isBroken) record('held: no server got a lower generation after a higher one')
    return isBroken ? BROKEN : HELD
  } finally {
    ending.abort()
    await deployment.end()
  }
})
