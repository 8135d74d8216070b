// A trial, not a case: which service runs the requests of a route after the operator has moved it, when the store has
// come back from a copy.
import { fileURLToPath } from 'node:url'
import { BROKEN, Deployment, HAS_TROUBLE, HELD, HOST, runCase, send, sleep } from '../stand-ins/deployment.mjs'
import { Store } from '../stand-ins/store.mjs'
import { Server } from '../stand-ins/server.mjs'
import { configuration } from '../stand-ins/configuration.mjs'

const MACHINES = 3
const AWAY_MILLISECONDS = 1_000
/** apply_ms + skew_ms + stability_ms and a margin, from the acknowledgement of the last version. */
const SETTLED_MILLISECONDS = 12_000
const REQUESTS = 60

const OTHER_SERVICE = 'ledger-b'

/** A version of the configuration; from the last one on, the route belongs to the other service. */
function version (number, service, timeout) {
  const base = configuration(number, { routes: { 'payout-post': { service }, 'rollover-post': { timeout_ms: timeout } } })
  return { ...base, services: [...base.services, { name: OTHER_SERVICE, health: '/health', max_conns: 100 }] }
}

await runCase(async () => {
  const deployment = await Deployment.create({ recordPath: fileURLToPath(new URL('record.txt', import.meta.url)), machines: MACHINES, zones: ['van-a', 'van-b', 'vic-a'] })
  const { network, record } = deployment
  try {
    const store = new Store(`${network}.250`, 0)
    await store.start()
    const write = (configurationVersion) => {
      const offset = store.writeConfiguration(configurationVersion)
      record(`the store has acknowledged version ${configurationVersion.version} at offset ${offset}`)
      return Date.now()
    }
    write(version(10, 'ledger', 800))
    const servers = []
    for (const service of ['ledger', 'ledger', OTHER_SERVICE, OTHER_SERVICE]) {
      const server = new Server({ host: `${network}.200`, service, zone: 'van-a', record, store })
      await server.start()
      servers.push(server)
    }
    for (let index = 1; index <= MACHINES; index++) deployment.start(index, store.address)
    await deployment.waitUntilReady(deployment.daemons)
    await sleep(4_000)

    // Two changes in quick succession, and a third one while the store is away.
    const copiedAt = Date.now()
    await sleep(500)
    write(version(13, 'ledger', 810))
    await sleep(1_500)
    write(version(17, 'ledger', 820))
    await sleep(2_000)
    if (HAS_TROUBLE) {
      record(`the store goes away, and comes back after ${AWAY_MILLISECONDS} ms from a copy ${((Date.now() - copiedAt) / 1000).toFixed(1)} s old`)
      await store.restore(copiedAt, AWAY_MILLISECONDS)
      record(`the store is back; the operator has written its newest version again: the topic ends at ${store.end('keyed.op')}`)
    }
    // The operator has kept trying to write its next change, and goes on until the store takes it.
    const acknowledgedAt = write(version(22, OTHER_SERVICE, 830))
    await sleep(SETTLED_MILLISECONDS)

    let old = 0
    for (let count = 0; count < REQUESTS; count++) {
      const daemon = deployment.daemons[count % MACHINES]
      const answer = await send(daemon.front, { host: HOST, path: '/payout/1', body: 'payout' })
      const service = servers.find(({ runs }) => runs.includes(answer.id))?.service ?? 'no service'
      record(`client ${answer.id} at ${daemon.name}, ${((answer.sentAt - acknowledgedAt) / 1000).toFixed(1)} s after the acknowledgement: ${answer.status}, run by ${service}`)
      if (service === 'ledger') old++
      await sleep(50)
    }
    record(`${old > 0 ? 'BROKEN' : 'held'}: ${old} of ${REQUESTS} requests ran at the service to which only older versions send them`)
    return old > 0 ? BROKEN : HELD
  } finally {
    await deployment.end()
  }
})
