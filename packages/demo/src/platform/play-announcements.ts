import { createSystemClock, type Clock } from '@fuchsiastage/clock'
import type { ServingConfiguration } from '@fuchsiastage/fleet'
import { request } from 'undici'
import { STAND_IN_HEADER } from './stand-in-codec.js'
import { startFleet, type StartedDaemon } from './start-fleet.js'
import { startStandInTarget, type StandInTarget } from './stand-in-target.js'

const DAEMONS = 3
const TARGETS = 7
const REQUESTS = 20
const DEADLINE_MILLISECONDS = 8_000
const POLL_MILLISECONDS = 50
/** Longer than the demo runs. */
const PAUSE_MILLISECONDS = 600_000
const DEADLY_PATH = '/post/deadly'

const CONFIGURATION: ServingConfiguration = {
  version: 1,
  routes: [{ name: 'post', host: 'ledger.example', prefix: '/post/', requestKind: { kind: 'safe' }, timeoutMilliseconds: DEADLINE_MILLISECONDS, objectiveMilliseconds: 1_000, priority: 0, maximumTargets: 2, services: [{ service: 'ledger', weight: 1 }] }],
  services: new Map([['ledger', { name: 'ledger', healthPath: '/health', maximumConnections: 100, engine: undefined }]]),
  limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }
}

interface Response {
  readonly status: number
  readonly text: string
}

async function send (daemon: StartedDaemon, id: string, path = `/post/${id}`): Promise<Response> {
  const response = await request(`http://${daemon.frontAddress}${path}`, {
    method: 'POST',
    headers: { host: 'ledger.example', [STAND_IN_HEADER.request]: id, [STAND_IN_HEADER.remaining]: String(DEADLINE_MILLISECONDS) },
    body: path
  })
  return { status: response.statusCode, text: await response.body.text() }
}

async function waitUntil (clock: Clock, isMet: () => boolean | Promise<boolean>): Promise<void> {
  while (!await isMet()) await clock.sleep(POLL_MILLISECONDS)
}

/**
 * Plays targets that announce their removal or a pause, and a request that ends its targets, through real
 * daemons on loopback, and returns one line for each step.
 *
 * @example
 * for (const line of await playAnnouncements()) console.log(line)
 */
export async function playAnnouncements (): Promise<readonly string[]> {
  const clock = createSystemClock()
  const targets = await Promise.all(Array.from({ length: TARGETS }, async (_, index) => await startStandInTarget({ clock, id: `ledger-${index + 1}`, service: 'ledger', deadlyPath: DEADLY_PATH })))
  const daemons = await startFleet({ configuration: CONFIGURATION, targets, daemons: DAEMONS }, clock)
  const [first, second] = daemons as [StartedDaemon, StartedDaemon]
  const [leaving, pausing] = targets as [StandInTarget, StandInTarget]
  let requestCount = 0
  const nextId = (): string => `q${requestCount++}`
  const hasLogged = (daemon: StartedDaemon, ...texts: readonly string[]): boolean => daemon.lines.some((line) => texts.every((text) => line.includes(text)))
  const sendMany = async (daemon: StartedDaemon): Promise<number> => {
    const responses: Response[] = []
    for (let count = 0; count < REQUESTS; count++) responses.push(await send(daemon, nextId()))
    return responses.filter(({ status }) => status === 200).length
  }
  const lines: string[] = []

  await waitUntil(clock, async () => (await Promise.all(daemons.map(async (daemon) => await send(daemon, nextId())))).every(({ status }) => status === 200))
  await waitUntil(clock, () => daemons.every((daemon) => daemons.every((other) => other === daemon || hasLogged(daemon, 'member-heard', other.name))))

  leaving.leave()
  await waitUntil(clock, async () => {
    await send(first, nextId())
    return hasLogged(first, 'target-leaving', 'ledger-1')
  })
  const before = leaving.requestIds().length
  const served = await sendMany(first)
  lines.push(`ledger-1 states that it leaves: ${served} of ${REQUESTS} requests of entry-1 served, ${leaving.requestIds().length - before} there`)
  await waitUntil(clock, () => daemons.every((daemon) => hasLogged(daemon, 'target-leaving', 'ledger-1')))
  lines.push('all daemons have learned of it, while the list calls it ready')

  pausing.pauseFor(PAUSE_MILLISECONDS)
  await waitUntil(clock, async () => {
    await send(first, nextId())
    return hasLogged(first, 'target-paused', 'ledger-2')
  })
  lines.push(`ledger-2 asks for a pause: ${await sendMany(first)} of ${REQUESTS} requests of entry-1 served, ${pausing.turnedAwayIds().length} turned away there before`)

  await waitUntil(clock, async () => {
    const { text } = await send(second, nextId(), DEADLY_PATH)
    return text.includes('request-quarantined')
  })
  const ended = targets.filter((target) => target.requestIds().length > 0 && hasLogged(second, 'target-crash', target.entry().id)).length
  lines.push(`a request ends the targets that run it: rejected after ${ended >= 3 && ended <= 4 ? '3 or 4' : ended} targets`)
  await waitUntil(clock, () => daemons.every((daemon) => hasLogged(daemon, '"request-quarantined"')))
  const outcomes = await Promise.all(daemons.map(async (daemon) => await send(daemon, nextId(), DEADLY_PATH)))
  lines.push(`all daemons reject it: ${outcomes.map(({ status, text }) => `${status} ${text}`).join(', ')}`)
  lines.push(`other requests of entry-2: ${await sendMany(second)} of ${REQUESTS} served`)
  return lines
}
