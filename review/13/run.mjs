import { randomBytes } from 'node:crypto'
import { request as sendHttp } from 'node:http'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { chooseNetwork, FRONT_PORT, startDeployment, waitUntilReady } from '../stand-ins-3/deployment.mjs'
import { createEngineServer } from '../stand-ins-3/engine-server.mjs'
import { createRecord, sleep } from '../stand-ins-3/record.mjs'

const DAEMONS = 3
const SERVERS = 4
const HEARTBEAT_MILLISECONDS = 1_200
const DOWN_MILLISECONDS = 1_000
/** Late orders are carried out 2 to 12 s later. */
const LATE_MILLISECONDS = 4_500
const HOST = 'ficu95.example'
const SECONDS = 24
const hasTrouble = process.env.TROUBLE !== '0'
const folder = dirname(fileURLToPath(import.meta.url))
const record = createRecord(join(folder, 'record.txt'))
const network = await chooseNetwork()
const deployment = await startDeployment({ network, daemons: DAEMONS, record, contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine', 'platform'], log: process.env.LOGS === '1' })
const { store } = deployment
/** Two models fit on a server. The last one is rare and loaded nowhere. */
const RARE = 'm8'
const definitions = new Map(Array.from({ length: 9 }, (_, index) => [`m${index}`, { name: `m${index}`, mb: 34_300, load_s: 6, warm_s: 0.39, disk_s: 0.52, adapters: 4, adapter_mb: 40 }]))
let overloads = 0
const servers = Array.from({ length: SERVERS }, (_, index) => createEngineServer({ id: `i-${index}`, host: `${network}.250`, port: 8700 + index, store, service: 'drafter', record, megabytes: 83_000, adapterSlots: 8, models: definitions, heartbeatMilliseconds: HEARTBEAT_MILLISECONDS, onOverload: () => { overloads++ } }))
const statuses = new Map()

async function send (model, deadlineMilliseconds = 5_000) {
  const id = randomBytes(8).toString('hex')
  const daemon = Math.floor(Math.random() * DAEMONS)
  await new Promise((resolve) => {
    const request = sendHttp({ host: deployment.hostOf(daemon), port: FRONT_PORT, method: 'POST', path: '/letters/x', agent: false, headers: { Host: HOST, 'X-Fuchsiastage-Attempt-Id': id, 'X-Fuchsiastage-Deadline-Ms': String(deadlineMilliseconds), 'X-Fuchsiastage-Model': model, 'X-Fuchsiastage-Token-Usage': '400,50', 'X-Fuchsiastage-Prompt-Prefix': `5c1e07a2:300,${id.slice(0, 8)}:100` } })
    const timer = setTimeout(() => request.destroy(), deadlineMilliseconds)
    const end = (status) => { clearTimeout(timer); statuses.set(status, (statuses.get(status) ?? 0) + 1); record.add('client', { attempt: id, model, daemon, status }); resolve() }
    request.on('error', () => end('none'))
    request.on('response', (response) => response.resume().on('end', () => end(response.statusCode)).on('error', () => end('cut')))
    request.end('{}')
  })
}

let code = 2
let hasCarriedOut = false
const giveUp = setTimeout(() => { record.add('gave up', 'the case took too long'); record.write(); process.exit(2) }, 110_000)
const timers = []
const every = (milliseconds, run) => { timers.push(setInterval(run, milliseconds)) }
try {
  const configure = (version, models) => store.put('keyed.op', 'config', {
    version,
    routes: [{ name: 'letters', host: HOST, prefix: '/letters/', kind: 'stream', resumable: false, timeout_ms: 5_000, slo_ms: 1_000, gap_aim_ms: 500, priority: 1, attempts: 1, affinity: true, service: 'drafter' }],
    services: [{ name: 'drafter', health: '/health', max_conns: 490, engine: { slots: 96, kv_tokens: 199_917, mb: 83_000, adapter_slots: 8, loads_per_s: 2.1, models } }],
    limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000 }
  })
  configure(3, [...definitions.values()].filter(({ name }) => name !== RARE))
  for (const [index, server] of servers.entries()) await server.startWith([`m${2 * index}`, `m${2 * index + 1}`])
  for (let daemon = 0; daemon < DAEMONS; daemon++) deployment.start(daemon)
  if (!await waitUntilReady(deployment, DAEMONS)) throw new Error('the daemons did not become ready')

  /** The server that got the order which stays unanswered. */
  let victim
  if (hasTrouble) {
    for (const server of servers) {
      server.setKeepBack((order) => {
        if (victim !== undefined || order.op !== 'load' || order.model !== RARE) return false
        victim = server
        record.add('kept-back', { server: server.id, ...order })
        setTimeout(() => {
          if (!server.isUp()) return
          hasCarriedOut = true
          server.carryOut(order, 'late')
        }, LATE_MILLISECONDS)
        const restart = async () => {
          await sleep(400)
          server.crash()
          await sleep(DOWN_MILLISECONDS)
          await server.restart()
        }
        restart()
        return true
      })
    }
  }
  // Each model is asked for about once in two seconds; one of them less often.
  for (let index = 0; index < 8; index++) every(index === 3 ? 2_600 : 1_900, () => { send(`m${index}`) })
  await sleep(4_000)
  // One adapter on each server.
  for (let index = 0; index < SERVERS; index++) send(`m${2 * index}/a1`)
  await sleep(4_000)
  configure(5, [...definitions.values()])
  await sleep(2_000)
  // A rare model is asked for at once.
  record.add('rare', servers.map((server) => `${server.id}:${server.seq()}`).join(' '))
  for (let count = 0; count < 3; count++) send(RARE, 13_000)
  await sleep(SECONDS * 1_000 - 8_000)
  for (const timer of timers) clearInterval(timer)
  await sleep(3_000)
  record.add('result', { overloads, late: hasCarriedOut, statuses: Object.fromEntries(statuses) })
  console.log(JSON.stringify({ overloads, late: hasCarriedOut, statuses: Object.fromEntries(statuses) }))
  code = overloads > 0 ? 1 : hasTrouble && !hasCarriedOut ? 2 : 0
} catch (error) {
  record.add('error', String(error.stack))
  console.error(error)
} finally {
  clearTimeout(giveUp)
  for (const timer of timers) clearInterval(timer)
  await deployment.end()
  for (const server of servers) server.end()
  if (process.env.LOGS === '1') record.add('logs', `\n${deployment.output.join('\n')}`)
  record.write()
}
process.exit(code)
