import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { chooseNetwork, startDeployment, waitUntilReady } from '../stand-ins-3/deployment.mjs'
import { createRecord, sleep } from '../stand-ins-3/record.mjs'
import { readStream } from '../stand-ins-3/stream-client.mjs'
import { createStreamServer } from '../stand-ins-3/stream-server.mjs'

const DAEMONS = 3
const SERVERS = 16
/** Servers that a release has replaced before the case begins: they run the newer software beside the others. */
const REPLACED = 2
/** A quarter of the servers crash at a time, twice; the standard days have a quarter of a service for 2 s. */
const CRASHING = 4
const ROUNDS = 3
const DOWN_MILLISECONDS = 2_000
const UP_MILLISECONDS = 1_300
const EVENTS = 20
const EVENT_MILLISECONDS = 100
const HEARTBEAT_MILLISECONDS = 1_200
/** A server writes its entry at once when it starts. */
const FIRST_CHECK_IN_MILLISECONDS = 0
const STREAMS_PER_SECOND = 40
const SECONDS = 26
const HOST = 'ficu95.example'
/** More streams than these may not hold events of two versions. */
const ALLOWED = 2

const hasTrouble = process.env.TROUBLE !== '0'
const folder = dirname(fileURLToPath(import.meta.url))
const record = createRecord(join(folder, 'record.txt'))
const network = await chooseNetwork()
const deployment = await startDeployment({ network, daemons: DAEMONS, record, contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'platform'], log: process.env.LOGS === '1' })
const { store } = deployment
const servers = Array.from({ length: SERVERS }, (_, index) => createStreamServer({ id: `i-${index}`, host: `${network}.250`, port: 8700 + index, store, service: 'drafter', record, events: EVENTS, eventMilliseconds: EVENT_MILLISECONDS, heartbeatMilliseconds: HEARTBEAT_MILLISECONDS }))
let code = 2
const timer = setTimeout(() => { record.add('gave up', 'the case took too long'); record.write(); process.exit(2) }, 110_000)
try {
  store.put('keyed.op', 'config', {
    version: 3,
    routes: [{ name: 'letters', host: HOST, prefix: '/letters/', kind: 'stream', resumable: true, timeout_ms: 15_000, slo_ms: 2_000, gap_aim_ms: 500, priority: 1, attempts: 3, service: 'drafter' }],
    services: [{ name: 'drafter', health: '/health', max_conns: 490 }],
    limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000 }
  })
  for (const [index, server] of servers.entries()) await server.start({ softwareVersion: index >= SERVERS - REPLACED ? 'v2' : 'v1', firstCheckInMilliseconds: 0 })
  for (let daemon = 0; daemon < DAEMONS; daemon++) deployment.start(daemon)
  if (!await waitUntilReady(deployment, DAEMONS)) throw new Error('the daemons did not become ready')
  await sleep(2_000)

  const disturb = async () => {
    await sleep(2_000)
    for (let round = 0; round < ROUNDS; round++) {
      const crashing = servers.slice(round * CRASHING, (round + 1) * CRASHING)
      for (let count = 0; count < 2; count++) {
        for (const server of crashing) server.crash()
        await sleep(DOWN_MILLISECONDS)
        // The release has put the newer software in place there too; the servers start again with it, under the ids that they had.
        for (const server of crashing) await server.start({ softwareVersion: 'v2', firstCheckInMilliseconds: FIRST_CHECK_IN_MILLISECONDS })
        await sleep(UP_MILLISECONDS)
      }
    }
  }
  const disturbed = hasTrouble ? disturb() : Promise.resolve()
  const streams = []
  for (let count = 0; count < SECONDS * STREAMS_PER_SECOND; count++) {
    streams.push(readStream({ deployment, daemons: DAEMONS, hostHeader: HOST, path: '/letters/x', deadlineMilliseconds: 13_000, tries: 4, record }))
    await sleep(1_000 / STREAMS_PER_SECOND)
  }
  const finished = await Promise.all(streams)
  await disturbed
  const mixed = finished.filter(({ events }) => new Set(events.map(({ software }) => software)).size > 1)
  const gaps = finished.filter(({ events }) => events.some(({ id }, index) => id !== index + 1))
  const complete = finished.filter(({ isComplete }) => isComplete).length
  for (const { events, outcomes } of mixed) record.add('mixed', { events: events.map(({ id, software, server }) => `${id}:${software}@${server}`).join(' '), outcomes })
  record.add('result', { streams: finished.length, complete, mixed: mixed.length, gaps: gaps.length, allowed: ALLOWED })
  console.log(JSON.stringify({ streams: finished.length, complete, mixed: mixed.length, gaps: gaps.length, allowed: ALLOWED }))
  code = mixed.length > ALLOWED ? 1 : complete < finished.length / 2 ? 2 : 0
} catch (error) {
  record.add('error', String(error.stack))
  console.error(error)
} finally {
  clearTimeout(timer)
  await deployment.end()
  for (const server of servers) server.end()
  if (process.env.LOGS === '1') record.add('logs', `\n${deployment.output.join('\n')}`)
  record.write()
}
process.exit(code)
