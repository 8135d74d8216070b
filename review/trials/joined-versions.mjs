// A trial, not a case: streams of a server that has started again under its id with another software version.
// It serves for a second before it registers. Clients take their streams up again after it has ended.
import { fileURLToPath } from 'node:url'
import { BROKEN, Deployment, HAS_TROUBLE, HELD, HOST, runCase, send, sleep } from '../stand-ins/deployment.mjs'
import { Store } from '../stand-ins/store.mjs'
import { Server } from '../stand-ins/server.mjs'
import { configuration } from '../stand-ins/configuration.mjs'

const CLIENTS = 60
const EVENTS = 40
const EVENT_MILLISECONDS = 60
const ATTEMPTS = 4
/** Time from the start of the server to its entry in the store; less than its check-in interval of 1,200 ms. */
const REGISTERED_AFTER_MILLISECONDS = 1_000
const BUDGET_MILLISECONDS = 13_000
/** The rule allows two such streams. */
const ALLOWED = 2

class VersionedServer extends Server {
  softwareVersion = 'v1'
  registeredAfterMilliseconds = 0

  entry () { return { ...super.entry(), version: this.softwareVersion } }

  register () { setTimeout(() => super.register(), this.registeredAfterMilliseconds) }

  async stream (request, response, id) {
    const { softwareVersion } = this
    response.writeHead(200, { ...this.headers(id), 'Content-Type': 'text/event-stream' })
    for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= EVENTS && !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: ${softwareVersion} word ${event}\n\n`)
      await sleep(EVENT_MILLISECONDS)
    }
    response.end()
  }
}

await runCase(async () => {
  const deployment = await Deployment.create({ recordPath: fileURLToPath(new URL('record.txt', import.meta.url)), machines: 3, zones: ['van-a', 'van-b', 'vic-a'] })
  const { network, record } = deployment
  try {
    const store = new Store(`${network}.250`, 0)
    await store.start()
    const base = configuration(1)
    const feed = { name: 'feed', host: HOST, prefix: '/feed/', kind: 'stream', timeout_ms: BUDGET_MILLISECONDS, slo_ms: 2_000, priority: 1, attempts: 2, service: 'ledger', resumable: true, gap_aim_ms: 500 }
    store.writeConfiguration({ ...base, routes: [...base.routes, feed] })
    const servers = []
    for (const zone of deployment.zones) {
      const server = new VersionedServer({ host: `${network}.200`, service: 'ledger', zone, slots: 96, record, store, answer: async (request, response, body, id) => await server.stream(request, response, id) })
      await server.start()
      servers.push(server)
    }
    for (let index = 1; index <= 3; index++) deployment.start(index, store.address)
    await deployment.waitUntilReady(deployment.daemons)
    await sleep(3_000)

    const [restarted] = servers
    await restarted.stop()
    await sleep(300)
    restarted.born = Date.now()
    restarted.registeredAfterMilliseconds = REGISTERED_AFTER_MILLISECONDS
    if (HAS_TROUBLE) restarted.softwareVersion = 'v2'
    await restarted.start()
    record(`server ${restarted.id} has started again with version ${restarted.softwareVersion}`)

    const client = async (index) => {
      await sleep(Math.random() * 300)
      const versions = new Set()
      let lastEvent
      let begunBy
      for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
        const headers = lastEvent === undefined ? {} : { 'Last-Event-Id': lastEvent, Resumes: begunBy }
        const { front, name } = deployment.daemons[index % 3]
        const answer = await send(front, { host: HOST, path: '/feed/1', body: `client ${index}`, budgetMilliseconds: BUDGET_MILLISECONDS, headers })
        const events = [...answer.body.matchAll(/^id: (\d+)\ndata: (v\d) /gm)]
        if (events.length > 0) {
          begunBy ??= answer.id
          lastEvent = events.at(-1)[1]
          for (const [, , version] of events) versions.add(version)
        }
        record(`client ${index}, attempt ${answer.id} at ${name}: ${answer.status ?? 'no status'}, ${answer.end}, last event ${lastEvent ?? 'none'}, versions ${[...versions].join(' + ')}`)
        if (answer.status === 200 && answer.end === 'complete') break
        await sleep(300)
      }
      return versions.size > 1
    }
    const clients = Array.from({ length: CLIENTS }, (_, index) => client(index))
    await sleep(1_500)
    await restarted.stop()
    record(`server ${restarted.id} has crashed`)
    const joined = (await Promise.all(clients)).filter(Boolean).length
    record(`${joined > ALLOWED ? 'BROKEN' : 'held'}: ${joined} of ${CLIENTS} clients hold events of two versions in one stream; ${ALLOWED} are allowed`)
    return joined > ALLOWED ? BROKEN : HELD
  } finally {
    await deployment.end()
  }
})
