// A trial, not a case: whether daemons live when clients send prompt lists of 60,000 bytes, where `header_bytes` is 16,384.
// Exits with 1 if a process ended, 0 if none did, 2 if the trial could not run. With TROUBLE=0 the lists have 15,000 bytes.
import { randomBytes } from 'node:crypto'
import { request as sendHttp } from 'node:http'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { chooseNetwork, FRONT_PORT, startDeployment, waitUntilReady } from '../stand-ins-3/deployment.mjs'
import { createPlainServer } from '../stand-ins-3/plain-server.mjs'
import { createRecord, sleep } from '../stand-ins-3/record.mjs'

const DAEMONS = 3
const SERVERS = 4
const HEADER_BYTES = 16_384
/** Bytes of the header with the prompt parts: above the limit of the configuration, or below it. */
const hasTrouble = process.env.TROUBLE !== '0'
const PREFIX_BYTES = hasTrouble ? 60_000 : 15_000
const ID_DIGITS = 4
const ODD_REQUESTS = 6
const ODD_GAP_MILLISECONDS = 500
const ORDINARY_PER_SECOND = 30
const HOST = 'ficu95.example'
const folder = dirname(fileURLToPath(import.meta.url))
const record = createRecord(join(folder, 'record.txt'))
const network = await chooseNetwork()
const deployment = await startDeployment({ network, daemons: DAEMONS, record, contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'platform'], log: true })
const { store } = deployment
const servers = Array.from({ length: SERVERS }, (_, index) => createPlainServer({ id: `i-${index}`, host: `${network}.250`, port: 8700 + index, store, service: 'ledger', workMilliseconds: 20, heartbeatMilliseconds: 1_200, onRun: (id, attempt) => record.add('run', { server: id, attempt }) }))
const outcomes = new Map()

/** The prompt parts, as `ID:TOKENS` pairs. */
function promptParts (bytes) {
  const count = Math.floor(bytes / (ID_DIGITS + 3))
  const digits = randomBytes(count * ID_DIGITS / 2).toString('hex')
  return Array.from({ length: count }, (_, index) => `${digits.slice(index * ID_DIGITS, (index + 1) * ID_DIGITS)}:1`).join(',')
}

async function send (kind, daemon, headers) {
  const attempt = randomBytes(8).toString('hex')
  record.add('sent', { kind, daemon, attempt, headerBytes: Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + value.length + 4, 0) })
  await new Promise((resolve) => {
    const request = sendHttp({ agent: false, host: deployment.hostOf(daemon), port: FRONT_PORT, method: 'POST', path: '/ledger/x', headers: { Host: HOST, 'X-Fuchsiastage-Attempt-Id': attempt, 'X-Fuchsiastage-Deadline-Ms': '1500', 'Content-Length': '2', ...headers } })
    let isOver = false
    const end = (status) => {
      if (isOver) return
      isOver = true
      clearTimeout(timer)
      outcomes.set(`${kind} ${status}`, (outcomes.get(`${kind} ${status}`) ?? 0) + 1)
      record.add('answered', { attempt, status })
      resolve()
    }
    const timer = setTimeout(() => { end('time'); request.destroy() }, 1_500)
    request.on('error', (error) => end(error.code))
    request.on('response', (response) => response.resume().on('end', () => end(response.statusCode)).on('error', () => end('cut')))
    request.end('{}')
  })
}

let code = 2
const ended = []
let isOver = false
const giveUp = setTimeout(() => { record.add('gave up', 'the case took too long'); record.write(); process.exit(2) }, 110_000)
let timer
try {
  store.put('keyed.op', 'config', {
    version: 3,
    routes: [{ name: 'payouts', host: HOST, prefix: '/ledger/', kind: 'unsafe', timeout_ms: 1_500, slo_ms: 150, priority: 2, attempts: 1, service: 'ledger' }],
    services: [{ name: 'ledger', health: '/health', max_conns: 490 }],
    limits: { header_bytes: HEADER_BYTES, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000 }
  })
  for (const server of servers) await server.start()
  for (let daemon = 0; daemon < DAEMONS; daemon++) {
    const { exited } = deployment.start(daemon)
    exited.then(() => { if (!isOver) ended.push({ daemon, at: record.at() }) })
  }
  if (!await waitUntilReady(deployment, DAEMONS)) throw new Error('the daemons did not become ready')
  await sleep(1_500)
  let next = 0
  timer = setInterval(() => { send('ordinary', next++ % DAEMONS, {}) }, 1_000 / ORDINARY_PER_SECOND)
  await sleep(3_000)
  for (let count = 0; count < ODD_REQUESTS; count++) {
    send('odd', count % DAEMONS, { 'X-Fuchsiastage-Model': 'm0', 'X-Fuchsiastage-Token-Usage': '10000,10', 'X-Fuchsiastage-Prompt-Prefix': promptParts(PREFIX_BYTES) })
    await sleep(ODD_GAP_MILLISECONDS)
  }
  await sleep(3_000)
  clearInterval(timer)
  await sleep(2_000)
  isOver = true
  const causes = deployment.output.join('\n').split('\n').filter((line) => line.includes('FATAL ERROR'))
  for (const cause of causes) record.add('output', cause)
  const result = { ended, causes, outcomes: Object.fromEntries(outcomes) }
  record.add('result', result)
  console.log(JSON.stringify(result))
  code = ended.length > 0 ? 1 : 0
} catch (error) {
  record.add('error', String(error.stack))
  console.error(error)
} finally {
  clearTimeout(giveUp)
  clearInterval(timer)
  isOver = true
  await deployment.end()
  for (const server of servers) server.end()
  record.write()
}
process.exit(code)
