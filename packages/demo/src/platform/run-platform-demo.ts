import { createSystemClock, type Clock } from '@fuchsiastage/clock'
import type { EngineModel, RequestKind, ServingConfiguration, ServingRoute } from '@fuchsiastage/fleet'
import { request } from 'undici'
import { STAND_IN_HEADER } from './stand-in-codec.js'
import { startFleet, type StartedDaemon } from './start-fleet.js'
import { startStandInTarget } from './stand-in-target.js'

interface ReceivedResponse {
  readonly status: number
  readonly seal: string | undefined
  readonly retryAfter: string | undefined
  readonly text: string
}

const HOST = 'letters.example'
/** Far above the time that a step takes, so that the demo also passes on a busy machine. */
const STEP_TIMEOUT_MILLISECONDS = 20_000
const POLL_MILLISECONDS = 100
const BURST_REQUESTS = 60
const STREAM: RequestKind = { kind: 'stream', isResumable: false, maximumPauseMilliseconds: undefined }

function createModel (name: string): EngineModel {
  return { name, megabytes: 30_000, storeLoadMilliseconds: 2_000, diskLoadMilliseconds: 300, memoryLoadMilliseconds: 200, adapterMegabytes: 40 }
}

function createRoute (name: string, requestKind: RequestKind, service: string): ServingRoute {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    requestKind,
    timeoutMilliseconds: STEP_TIMEOUT_MILLISECONDS,
    objectiveMilliseconds: STEP_TIMEOUT_MILLISECONDS / 4,
    priority: 1,
    maximumTargets: 2,
    services: [{ service, weight: 1 }]
  }
}

const CONFIGURATION: ServingConfiguration = {
  version: 1,
  routes: [createRoute('draft', STREAM, 'letters'), createRoute('post', { kind: 'unsafe' }, 'ledger')],
  services: new Map([
    ['ledger', { name: 'ledger', healthPath: '/health', maximumConnections: 100, engine: undefined }],
    ['letters', {
      name: 'letters',
      healthPath: '/health',
      maximumConnections: 100,
      engine: { models: new Map(['draft-7b', 'audit-13b'].map((name) => [name, createModel(name)])), megabytes: 40_000, adapterPlaces: 4, batchSlots: 8, cacheTokens: 100_000, storeLoadsPerSecond: 1 }
    }]
  ]),
  limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }
}

/**
 * Serves requests through the whole path of the platform on loopback: directory, entry daemons,
 * targets and order lease. Resolves with true if every step had the expected result.
 *
 * @example
 * process.exitCode = await runPlatformDemo((line) => process.stdout.write(line + '\n')) ? 0 : 1
 */
export async function runPlatformDemo (print: (line: string) => void): Promise<boolean> {
  const clock = createSystemClock()
  let isSuccessful = true
  const check = (isMet: boolean, fact: string): void => {
    print(`${isMet ? 'ok    ' : 'FAILED'} ${fact}`)
    isSuccessful &&= isMet
  }
  const ledger = await startStandInTarget({ clock, id: 'ledger-1', service: 'ledger' })
  const engine = await startStandInTarget({ clock, id: 'engine-1', service: 'letters', models: ['draft-7b'], modelsOnDisk: ['audit-13b'] })
  const daemons = await startFleet({ configuration: CONFIGURATION, targets: [ledger, engine], daemons: 3 }, clock)

  const entries = async (): Promise<readonly string[]> => await entriesOf(daemons)
  check(await waitUntil(clock, async () => (await entries()).length === 3), 'the directory lists three entry daemons')
  check(await waitUntil(clock, async () => daemons.some(({ lines }) => hasEvent(lines, 'engine-inventory'))), 'one daemon holds the order lease and reads the model inventory of the engine')

  const [entry = ''] = await entries()
  const posted = await send(entry, '/post/payout', 'r1')
  check(posted.status === 200 && posted.text === 'posted by ledger-1' && ledger.requestIds().length === 1, 'a non-idempotent call runs once and gets the response of its target')
  const draft = await send(entry, '/draft/letter', 'r2', 'draft-7b')
  check(draft.status === 200 && draft.text.includes('word 5'), 'a letter is streamed from the engine that has loaded its model')
  const audit = await send(entry, '/draft/letter', 'r3', 'audit-13b')
  check(audit.status === 200 && audit.text.includes('word 5'), 'a model that is only on disk is loaded for a waiting request')
  check((await send(entry, '/unknown/', 'r4')).status === 404, 'a path without a route gets status 404')
  const refused = await send(entry, '/draft/letter', 'r5', 'nobody-knows')
  check(refused.status === 503 && refused.retryAfter !== undefined, 'a request for an unknown model is refused with Retry-After')

  ledger.limitTo(1)
  check((await send(entry, '/post/payout', 'r6')).status === 200, 'a target states that it accepts one request a second')
  const ranBefore = ledger.requestIds().length
  const burst = await Promise.all(Array.from({ length: BURST_REQUESTS }, async (_, index) => await send((await entries())[index % 3] ?? '', '/post/payout', `burst-${index}`)))
  const served = burst.filter(({ status }) => status === 200).length
  check(served === ledger.requestIds().length - ranBefore && served < BURST_REQUESTS, 'of a burst at three daemons, the target gets only as many requests as it accepts')
  check(burst.every(({ status, retryAfter }) => status === 200 || (status === 503 && retryAfter !== undefined)), 'the others are refused with Retry-After')

  const holder = daemons.find(({ lines }) => hasEvent(lines, 'lease-taken'))
  const others = daemons.filter((daemon) => daemon !== holder)
  check(holder !== undefined, 'the log of the lease holder has the event lease-taken')
  void holder?.stop()
  check(await waitUntil(clock, async () => (await entriesOf(others)).length === 2), 'a daemon that stops is removed from the directory')
  check(await waitUntil(clock, async () => others.some(({ lines }) => hasEvent(lines, 'lease-taken'))), 'another daemon takes over the order lease')
  const [next = ''] = await entriesOf(others)
  const again = await send(next, '/draft/letter', 'r7', 'draft-7b')
  check(again.status === 200 && again.text.includes('word 5'), 'requests are served after the takeover')
  const line = others.flatMap(({ lines }) => lines).find((text) => text.includes('"request":"r7"') && text.includes('request-finished'))
  check(line !== undefined, 'the log has the event request-finished for the request')
  if (line !== undefined) print(line)
  return isSuccessful
}

function hasEvent (lines: readonly string[], event: string): boolean {
  return lines.some((line) => line.includes(`"event":"${event}"`))
}

async function entriesOf (daemons: readonly StartedDaemon[]): Promise<readonly string[]> {
  const [first] = daemons
  if (first === undefined) return []
  const response = await request(`http://${first.directoryAddress}/entries`)
  const body = await response.body.json() as { readonly addresses?: readonly string[] }
  return body.addresses ?? []
}

async function waitUntil (clock: Clock, isMet: () => Promise<boolean>): Promise<boolean> {
  for (const end = clock.now() + STEP_TIMEOUT_MILLISECONDS; clock.now() < end;) {
    if (await isMet()) return true
    await clock.sleep(POLL_MILLISECONDS)
  }
  return false
}

async function send (entry: string, path: string, id: string, model?: string): Promise<ReceivedResponse> {
  const response = await request(`http://${entry}${path}`, {
    method: 'POST',
    headers: {
      host: HOST,
      [STAND_IN_HEADER.request]: id,
      [STAND_IN_HEADER.remaining]: String(STEP_TIMEOUT_MILLISECONDS),
      ...(model === undefined ? {} : { [STAND_IN_HEADER.model]: model })
    },
    body: 'a letter'
  })
  const { seal, 'retry-after': retryAfter } = response.headers
  return { status: response.statusCode, seal: seal?.toString(), retryAfter: retryAfter?.toString(), text: await response.body.text() }
}
