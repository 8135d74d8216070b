// Single daemons are killed while they relay streams, some of which have neither a length nor chunks.
import { setTimeout as sleep } from 'node:timers/promises'
import { sendAttempt } from '../stand-ins-2/client.mjs'
import { HOST_NAME, startDeployment } from '../stand-ins-2/deployment.mjs'
import { createRecord, HAS_TROUBLE, runCase } from '../stand-ins-2/record.mjs'
import { createServerStandIn } from '../stand-ins-2/servers.mjs'

const DAEMONS = 7
const SERVERS = 8
/** Servers of which some answers have neither a length nor chunks, and the share of these answers. */
const UNFRAMED_SERVERS = 4
const UNFRAMED_SHARE = 0.05
const EVENTS = 20
const EVENT_MILLISECONDS = 100
const STREAM_PERIOD_MILLISECONDS = 8
const CALM_MILLISECONDS = 4_000
const KILL_PERIOD_MILLISECONDS = 3_500
const RESTART_MILLISECONDS = 500

const route = (name, fields) => ({ name, host: HOST_NAME, prefix: `/${name}/`, kind: 'stream', gap_aim_ms: 500, slo_ms: 2_000, timeout_ms: 13_000, priority: 1, service: 'drafter', ...fields })
const CONFIGURATION = {
  version: 3,
  routes: [route('letter-audit', { resumable: true, attempts: 2 }), route('clause-check', { resumable: false, attempts: 1 })],
  services: [{ name: 'drafter', health: '/health', max_conns: 490 }],
  limits: { header_bytes: 16_384, body_bytes: 1_048_576, header_ms: 3_000, idle_ms: 15_000 }
}

const record = createRecord(new URL('record.txt', import.meta.url))

async function run (deployment) {
  /** Events that a server has written, and whether it wrote the last one and ended the answer, by attempt. */
  const written = new Map()
  for (let index = 0; index < SERVERS; index++) {
    const server = createServerStandIn({
      store: deployment.store,
      id: `i-${index}`,
      host: `${deployment.network}.251`,
      port: 8_700 + index,
      service: 'drafter',
      zone: 'van-a',
      slots: 96,
      serve: async ({ run: { attempt }, response, headers }) => {
        const isUnframed = index < UNFRAMED_SERVERS && Math.random() < UNFRAMED_SHARE
        written.set(attempt, { server: `i-${index}`, isUnframed })
        if (isUnframed) {
          response.useChunkedEncodingByDefault = false
          response.shouldKeepAlive = false
        }
        response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' })
        for (let event = 1; event <= EVENTS && !response.destroyed; event++) {
          await sleep(EVENT_MILLISECONDS)
          response.write(`id: ${event}\ndata: word ${event}\n\n`)
        }
        response.end()
      }
    })
    await server.start()
  }
  deployment.store.put('keyed.op', 'config', CONFIGURATION)
  deployment.startAll()
  const all = Array.from({ length: DAEMONS }, (_, daemon) => daemon)
  await deployment.waitUntilReady(all)
  await sleep(CALM_MILLISECONDS)

  const streams = []
  const ending = new AbortController()
  const load = (async () => {
    for (let index = 0; !ending.signal.aborted; index++) {
      const path = index % 2 === 0 ? '/letter-audit/x' : '/clause-check/x'
      streams.push(sendAttempt({ host: deployment.hostOf(Math.floor(Math.random() * DAEMONS)), path, body: '{}', deadlineMilliseconds: 13_000 }))
      await sleep(STREAM_PERIOD_MILLISECONDS)
    }
  })()
  for (const daemon of all) {
    await sleep(KILL_PERIOD_MILLISECONDS)
    if (!HAS_TROUBLE) continue
    record.note(`daemon ${daemon} at ${deployment.hostOf(daemon)} is killed`)
    deployment.killAndRestart(daemon, RESTART_MILLISECONDS)
  }
  await sleep(KILL_PERIOD_MILLISECONDS)
  ending.abort()
  await load

  const counts = { complete: 0, brokenOff: 0, unanswered: 0, falselyComplete: 0 }
  for (const { attempt, host, path, status, complete, text } of await Promise.all(streams)) {
    const ids = [...text.matchAll(/id: (\d+)\ndata: word \d+\n\n/g)].map(([, id]) => Number(id))
    if (status !== 200) counts.unanswered++
    else if (!complete) counts.brokenOff++
    else if (ids.at(-1) === EVENTS) counts.complete++
    else {
      counts.falselyComplete++
      const { server, isUnframed } = written.get(attempt) ?? {}
      record.note(`attempt ${attempt} on ${path} at ${host}: 200, the end of the answer is orderly, but its last event is ${ids.at(-1) ?? 'none'} of ${EVENTS}; server ${server} answered ${isUnframed ? 'without a length or chunks' : 'in chunks'}`)
    }
  }
  record.note(`streams: ${counts.complete} complete, ${counts.brokenOff} visibly broken off, ${counts.unanswered} not answered with 200, ${counts.falselyComplete} ended as complete before the last event`)
  return [counts.falselyComplete > 0 ? 1 : 0, `${counts.falselyComplete} streams ended as complete before the last event; none may`]
}

await runCase(record, async () => await startDeployment({ daemons: DAEMONS }), run)
