import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Clock } from '@fuchsiastage/clock'
import type { EngineReport, TargetEntry } from '@fuchsiastage/fleet'
import type { EngineOrder, OrderAnswer } from '@fuchsiastage/model-placement'
import type { Milliseconds } from '@fuchsiastage/types'
import { STAND_IN_HEADER } from './stand-in-codec.js'

export interface StandInTargetOptions {
  readonly clock: Clock
  readonly id: string
  readonly service: string
  /** Models that are loaded at the start; a plain service has none. */
  readonly models?: readonly string[]
  /** Further models whose weights are cached on disk at the start. */
  readonly modelsOnDisk?: readonly string[]
  /** The target ends when it begins to run a request with this path. */
  readonly deadlyPath?: string
}

/** Target of the demo: a plain service, or a model engine that executes orders. */
export interface StandInTarget {
  readonly entry: () => TargetEntry
  readonly order: (order: EngineOrder) => OrderAnswer
  readonly report: () => EngineReport
  /** States from now on that this target accepts the given number of requests a second. */
  readonly limitTo: (requestsPerSecond: number) => void
  /** Turns all requests away from now on and asks for a pause each time. */
  readonly pauseFor: (milliseconds: Milliseconds) => void
  /** States from now on that this target is going to be removed. */
  readonly leave: () => void
  /** Ids of the requests that arrived here and were turned away. */
  readonly turnedAwayIds: () => readonly string[]
  /** Ids of the requests that this target ran. */
  readonly requestIds: () => readonly string[]
}

const STREAM_EVENTS = 5
/** Interval that is short enough for a demo and long enough for the events to arrive one by one. */
const EVENT_MILLISECONDS: Milliseconds = 40
const LOAD_MILLISECONDS: Milliseconds = 300

/**
 * Starts a target on loopback.
 *
 * @example
 * const engine = await startStandInTarget({ clock, id: 'engine-1', service: 'letters', models: ['draft-7b'], modelsOnDisk: ['audit-13b'] })
 */
export async function startStandInTarget (options: StandInTargetOptions): Promise<StandInTarget> {
  const { clock, id, service } = options
  const models = new Set(options.models ?? [])
  const requestIds: string[] = []
  let orderCount = 0
  let isBusy = false
  let statedLimit: number | undefined
  let pauseMilliseconds: Milliseconds | undefined
  let isLeaving = false
  const turnedAwayIds: string[] = []

  const refuse = (response: ServerResponse, status: number): void => {
    response.writeHead(status, { [STAND_IN_HEADER.notExecuted]: '1' }).end()
  }

  const stream = async (response: ServerResponse): Promise<void> => {
    for (let event = 1; event <= STREAM_EVENTS; event++) {
      await clock.sleep(EVENT_MILLISECONDS)
      response.write(`id: ${event}\ndata: word ${event}\n\n`)
    }
    response.end()
  }

  const serve = (request: IncomingMessage, response: ServerResponse): void => {
    request.resume()
    const requestId = String(request.headers[STAND_IN_HEADER.request] ?? '')
    const model = request.headers[STAND_IN_HEADER.model]
    if (request.headers[STAND_IN_HEADER.target] !== id) return refuse(response, 421)
    if (model !== undefined && !models.has(String(model))) return refuse(response, 421)
    if (pauseMilliseconds !== undefined) {
      turnedAwayIds.push(requestId)
      response.setHeader(STAND_IN_HEADER.pauseMilliseconds, String(pauseMilliseconds))
      return refuse(response, 503)
    }
    requestIds.push(requestId)
    if (request.url === options.deadlyPath) {
      server.close()
      server.closeAllConnections()
      return
    }
    const headers = { [STAND_IN_HEADER.request]: requestId, [STAND_IN_HEADER.seal]: `${id}-${requestIds.length}`, ...(statedLimit === undefined ? {} : { [STAND_IN_HEADER.requestsPerSecond]: String(statedLimit) }), ...(isLeaving ? { [STAND_IN_HEADER.leaving]: '1' } : {}) }
    if (model === undefined) {
      response.writeHead(200, { ...headers, 'content-type': 'text/plain' }).end(`posted by ${id}`)
      return
    }
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    void stream(response)
  }

  const order = ({ operation, model, expectedOrderCount }: EngineOrder): OrderAnswer => {
    if (expectedOrderCount !== orderCount || isBusy) return { kind: 'conflict' }
    if ((operation === 'load') === models.has(model)) return { kind: 'holds' }
    orderCount++
    isBusy = true
    clock.setTimer(operation === 'load' ? LOAD_MILLISECONDS : 0, () => {
      if (operation === 'load') models.add(model)
      else models.delete(model)
      isBusy = false
    })
    return { kind: 'accepted' }
  }

  const placement = (): TargetEntry['placement'] => ({
    orderCount,
    models: [...models].map((name) => ({ name, adapters: [] })),
    pendingAdapters: [],
    modelsInMemory: [],
    modelsOnDisk: [...options.models ?? [], ...options.modelsOnDisk ?? []]
  })

  const server = createServer(serve)
  const address = `127.0.0.1:${await listen(server)}`
  return {
    entry: () => ({ id, startedAt: 0, service, address, dataCentre: 'demo-a', slots: 8, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement: placement() }),
    order,
    report: () => ({ startedAt: 0, isBusy, isLeaving: false, placement: placement(), load: { running: 0, waiting: 0, cacheTokensUsed: 0, cacheTokens: 1 } }),
    limitTo: (requestsPerSecond) => { statedLimit = requestsPerSecond },
    pauseFor: (milliseconds) => { pauseMilliseconds = milliseconds },
    leave: () => { isLeaving = true },
    turnedAwayIds: () => turnedAwayIds,
    requestIds: () => requestIds
  }
}

async function listen (server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return (server.address() as AddressInfo).port
}
