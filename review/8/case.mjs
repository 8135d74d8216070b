// All daemons are killed while the partition of the store with their member records is down. Each of them then
// knows no other one and issues the whole allowance of a tenant.
import { setTimeout as sleep } from 'node:timers/promises'
import { sendAttempt } from '../stand-ins-2/client.mjs'
import { HOST_NAME, startDeployment } from '../stand-ins-2/deployment.mjs'
import { createRecord, HAS_TROUBLE, runCase } from '../stand-ins-2/record.mjs'
import { createServerStandIn } from '../stand-ins-2/servers.mjs'

const DAEMONS = 7
const SERVERS = 8
const MEMBERS_TOPIC = 'keyed.fuchsiastage-members'
const KEY = 'asnm7d20kk11'
const QUOTA = { windowMilliseconds: 8_000, over: 0.1, slack: 110_000 }
const TENANT = { name: 'hule930', keys: [KEY], unit: 'tokens', per_s: 100_000, burst: 100_000, plain_tokens: 200 }
const TOKEN_USAGE = '9140,50'
/** Four times the limit, which is 1.8 times what a tenant usually sends. */
const REQUEST_PERIOD_MILLISECONDS = 22
const WORK_MILLISECONDS = 60
const CALM_MILLISECONDS = 5_000
const BEFORE_MILLISECONDS = 9_000
const DOWN_MILLISECONDS = 5_900
const RESTART_MILLISECONDS = 600
const AFTER_MILLISECONDS = 6_000

const CONFIGURATION = {
  version: 3,
  routes: [{ name: 'draft', host: HOST_NAME, prefix: '/draft/', kind: 'safe', slo_ms: 1_000, timeout_ms: 5_000, priority: 1, attempts: 2, service: 'drafter' }],
  services: [{ name: 'drafter', health: '/health', max_conns: 490 }],
  tenants: [TENANT],
  limits: { header_bytes: 16_384, body_bytes: 1_048_576, header_ms: 3_000, idle_ms: 15_000 }
}

const record = createRecord(new URL('record.txt', import.meta.url))
let isPartitionDown = false

async function run (deployment) {
  const servers = []
  for (let index = 0; index < SERVERS; index++) {
    const server = createServerStandIn({
      store: deployment.store,
      id: `i-${index}`,
      host: `${deployment.network}.251`,
      port: 8_700 + index,
      service: 'drafter',
      zone: 'van-a',
      slots: 96,
      serve: async ({ run, request, response, headers }) => {
        run.tenant = request.headers['x-fuchsiastage-tenant']
        run.tokens = (request.headers['x-fuchsiastage-token-usage'] ?? '').split(',').reduce((sum, text) => sum + Number(text), 0)
        await sleep(WORK_MILLISECONDS)
        response.writeHead(200, headers).end('done')
      }
    })
    servers.push(server)
    await server.start()
  }
  deployment.store.put('keyed.op', 'config', CONFIGURATION)
  deployment.startAll()
  const all = Array.from({ length: DAEMONS }, (_, daemon) => daemon)
  await deployment.waitUntilReady(all)
  await sleep(CALM_MILLISECONDS)

  const answers = new Map()
  const startedAt = Date.now()
  const ending = new AbortController()
  const load = (async () => {
    for (let index = 0; !ending.signal.aborted; index++) {
      sendAttempt({ host: deployment.hostOf(index % DAEMONS), path: '/draft/letter', body: '{}', deadlineMilliseconds: 5_000, headers: { Authorization: `Bearer ${KEY}`, 'X-Fuchsiastage-Token-Usage': TOKEN_USAGE } })
        .then(({ status, error }) => answers.set(status ?? error, (answers.get(status ?? error) ?? 0) + 1))
      await sleep(REQUEST_PERIOD_MILLISECONDS)
    }
  })()
  record.note(`tenant ${TENANT.name} begins to send a request of ${TOKEN_USAGE} tokens every ${REQUEST_PERIOD_MILLISECONDS} ms`)
  await sleep(BEFORE_MILLISECONDS)
  isPartitionDown = HAS_TROUBLE
  if (HAS_TROUBLE) {
    record.note('the partition of the store with the member records answers 503')
    await Promise.all(all.map(async (daemon) => await deployment.killAndRestart(daemon, RESTART_MILLISECONDS)))
    record.note('all daemons were killed and have been started again')
  }
  await sleep(DOWN_MILLISECONDS - RESTART_MILLISECONDS)
  isPartitionDown = false
  record.note('all partitions of the store answer')
  await sleep(AFTER_MILLISECONDS)
  ending.abort()
  await load

  const runs = servers.flatMap((server) => server.runs).filter(({ tenant }) => tenant === TENANT.name).sort((one, other) => one.at - other.at)
  let most = { tokens: 0, at: 0 }
  let first = 0
  let tokens = 0
  for (const run of runs) {
    tokens += run.tokens
    while (runs[first].at <= run.at - QUOTA.windowMilliseconds) tokens -= runs[first++].tokens
    if (tokens > most.tokens) most = { tokens, at: run.at }
  }
  const allowed = Math.round((TENANT.per_s * QUOTA.windowMilliseconds / 1_000 + TENANT.burst) * (1 + QUOTA.over) + QUOTA.slack)
  for (let second = 0; second * 1_000 < Date.now() - startedAt; second++) {
    record.note(`second ${second} of the tenant: ${runs.filter(({ at }) => Math.floor((at - startedAt) / 1_000) === second).reduce((sum, run) => sum + run.tokens, 0)} tokens begun by servers`)
  }
  record.note(`answers: ${[...answers].map(([status, count]) => `${status}: ${count}`).join(', ')}`)
  return [most.tokens > allowed ? 1 : 0, `${most.tokens} tokens of the tenant ran within ${QUOTA.windowMilliseconds} ms, up to ${((most.at - startedAt) / 1_000).toFixed(1)} s; ${allowed} are allowed`]
}

const bounds = `quota_window_s = ${QUOTA.windowMilliseconds / 1_000}\nquota_over = ${QUOTA.over}\nquota_slack = ${QUOTA.slack}\n`
const intercept = (_daemon, request, response, answer) => {
  if (!isPartitionDown || !request.url.includes(`topic=${MEMBERS_TOPIC}`)) return answer()
  request.resume()
  response.writeHead(503, { 'Content-Type': 'application/json' }).end('{}')
}
await runCase(record, async () => await startDeployment({ daemons: DAEMONS, bounds, intercept }), run)
