// Streams of clients while each machine is stopped with SIGTERM and started again, one after the other.
import { fileURLToPath } from 'node:url'
import { BROKEN, Deployment, HAS_TROUBLE, HELD, runCase, sleep } from '../stand-ins/deployment.mjs'
import { Client } from '../stand-ins/client.mjs'
import { Store } from '../stand-ins/store.mjs'
import { Server } from '../stand-ins/server.mjs'
import { configuration, modelHeaders, MODELS, streamAnswer } from '../stand-ins/configuration.mjs'

const MACHINES = 4
const ENGINES = 3
const CLIENTS = 120
/** Pause between two SIGTERMs, as in the site's days. */
const GAP_MILLISECONDS = 1_100
const GRACE_MILLISECONDS = 8_000
/** Number of events of a clause-check, as the site file spreads it: 58.3 on average, 191 at most. */
const MEAN_EVENTS = 58.3
const EVENTS_SPREAD = 0.69
const MAXIMUM_EVENTS = 191
/** An event holds 5 tokens. A step takes 4.73 ms and more in a full batch, and prompts are read between the steps. */
const EVENT_MILLISECONDS = 45
const BUDGET_MILLISECONDS = 15_000

/** A number of events, log-normally distributed. */
function drawEvents () {
  const normal = Math.sqrt(-2 * Math.log(1 - Math.random())) * Math.cos(2 * Math.PI * Math.random())
  const events = Math.exp(Math.log(MEAN_EVENTS) - EVENTS_SPREAD ** 2 / 2 + EVENTS_SPREAD * normal)
  return Math.max(1, Math.min(MAXIMUM_EVENTS, Math.round(events)))
}

await runCase(async () => {
  const deployment = await Deployment.create({ recordPath: fileURLToPath(new URL('record.txt', import.meta.url)), machines: MACHINES, zones: ['van-a', 'van-b', 'vic-a', 'kam-a'] })
  const { network, record } = deployment
  const ending = new AbortController()
  try {
    const store = new Store(`${network}.250`, 0)
    await store.start()
    store.writeConfiguration(configuration(1))
    /** When each run began and ended at its server. */
    const runs = new Map()
    for (let index = 0; index < ENGINES; index++) {
      const server = new Server({
        host: `${network}.200`,
        service: 'drafter',
        zone: 'van-a',
        models: [MODELS[0], MODELS[1]],
        record: () => undefined,
        store,
        answer: async (request, response, body, id) => {
          runs.set(id, { from: Date.now() })
          await streamAnswer(() => server, { events: Number(body.toString()), gapMilliseconds: EVENT_MILLISECONDS })(request, response, body, id)
          runs.get(id).to = Date.now()
          runs.get(id).isComplete = response.writableFinished
        }
      })
      await server.start()
    }
    for (let index = 1; index <= MACHINES; index++) deployment.start(index, store.address)
    await deployment.waitUntilReady(deployment.daemons)
    await sleep(2_000)

    const answers = []
    const client = async (index) => {
      const { zone } = deployment.daemons[index % MACHINES]
      const caller = new Client({ directories: deployment.daemons, zone, holdFactor: index % 3 === 0 ? 3 : 1, record })
      while (!ending.signal.aborted) {
        const events = drawEvents()
        const answer = await caller.send({ path: '/clause/1', body: String(events), headers: modelHeaders(MODELS[0]), budgetMilliseconds: BUDGET_MILLISECONDS })
        if (answer !== undefined) answers.push(answer)
        await sleep(200 * Math.random())
      }
      caller.close()
    }
    const clients = Array.from({ length: CLIENTS }, (_, index) => client(index))
    await sleep(6_000)
    const stoppedAt = new Map()
    if (HAS_TROUBLE) {
      for (const daemon of deployment.daemons) {
        deployment.terminate(daemon)
        stoppedAt.set(daemon.front, Date.now())
        await sleep(GAP_MILLISECONDS)
      }
    }
    await sleep(GRACE_MILLISECONDS + 4_000)
    ending.abort()
    await Promise.all(clients)

    let lost = 0
    for (const { id, address, sentAt, endedAt, end } of answers) {
      if (end === 'complete') continue
      const stopAt = stoppedAt.get(address)
      const run = runs.get(id)
      const isAround = stopAt !== undefined && sentAt >= stopAt && endedAt <= stopAt + GRACE_MILLISECONDS + 1_000
      // Excused: the server was still at work in the last sixth of the grace time, on a request that was sent within 3 s of the SIGTERM.
      const isExcused = stopAt !== undefined && sentAt <= stopAt + 3_000 && (run?.to ?? Infinity) >= stopAt + GRACE_MILLISECONDS * 5 / 6
      const isBudgetOver = endedAt - sentAt >= BUDGET_MILLISECONDS
      const isLost = run !== undefined && isAround && !isExcused && !isBudgetOver
      if (isLost) lost++
      record(`client ${id} at ${address}, sent ${stopAt === undefined ? 'without a SIGTERM' : `${((sentAt - stopAt) / 1000).toFixed(2)} s after the SIGTERM`}, ended after ${endedAt - sentAt} ms: ${end}, ${run === undefined ? 'not passed on' : 'passed on to a server'}${isLost ? ', LOST' : ''}`)
    }
    record(`${answers.length} requests, ${answers.filter(({ end }) => end === 'complete').length} with a complete answer`)
    record(`${lost > 0 ? 'BROKEN' : 'held'}: ${lost} requests that were read and passed on around a planned stop ended without a complete answer, beyond the excuse`)
    if (answers.length < CLIENTS) throw new Error('too few requests were sent')
    return lost > 0 ? BROKEN : HELD
  } finally {
    ending.abort()
    await deployment.end()
  }
})
