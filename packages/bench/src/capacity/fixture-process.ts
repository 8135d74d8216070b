/**
 * Runs the counterparts of a measured process (log service, peers, targets, VM list) in a separate
 * process, so that their processor time is not measured. Communicates with its parent over IPC.
 */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createManualClock, createSystemClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { startPeerServer, type MembershipProbe, type PeerHandlers } from '@fuchsiastage/peer'
import { createEngineStandIn, createLogStandIn } from '@fuchsiastage/stand-ins'
import type { JsonValue, VmRecord } from '@fuchsiastage/types'
import { createHttpLogService } from '@fuchsiastage/log-client'
import { createPeerClient } from '@fuchsiastage/peer'
import { FIXTURE_PEER_KEY } from './fixture-key.js'
import { createEngineState } from './fixtures.js'
import { countSocketBytes } from './measure.js'

/** Requests of the parent. The response to each is `{ id, value }`, or `{ id, error }` on failure. */
export type FixtureRequest =
  | { readonly kind: 'start-log', readonly streams: Readonly<Record<string, readonly JsonValue[]>> }
  | { readonly kind: 'append', readonly stream: string, readonly values: readonly JsonValue[] }
  | { readonly kind: 'start-targets', readonly count: number }
  | { readonly kind: 'start-peers', readonly names: readonly string[] }
  | { readonly kind: 'start-engines', readonly count: number, readonly stepMilliseconds: number, readonly maximumConcurrent: number }
  | { readonly kind: 'start-list', readonly vms: readonly VmRecord[] }
  | { readonly kind: 'probe', readonly address: string, readonly from: readonly string[], readonly perSecond: number }
  | { readonly kind: 'counts' }

export interface FixtureCounts {
  readonly received: number
  readonly sent: number
  readonly clientReceived: number
  readonly clientSent: number
  readonly requests: Readonly<Record<string, number>>
}

const clock = createSystemClock()
const socketBytes = countSocketBytes()
const requestCounts: Record<string, number> = {}
const countRequest = (kind: string): void => { requestCounts[kind] = (requestCounts[kind] ?? 0) + 1 }
let logAddress = ''

async function listen (server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Starts a server that sends the same JSON for every request, which keeps its own processor time low. */
async function startFixedServer (kind: string, value: JsonValue): Promise<string> {
  const body = Buffer.from(JSON.stringify(value))
  const server = createServer((_request, response) => {
    countRequest(kind)
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
    response.end(body)
  })
  server.keepAliveTimeout = 0
  return await listen(server)
}

async function startPeers (names: readonly string[]): Promise<readonly string[]> {
  const { logger } = createMemoryLogger(createManualClock())
  const notMeasured = async (): Promise<never> => { throw new Error('this call is not part of the measurement') }
  const startPeer = async (name: string): Promise<string> => {
    const handlers: PeerHandlers = {
      probe: async (): Promise<MembershipProbe> => {
        countRequest('probe')
        return { from: name, incarnation: 0, isLeaving: false, updates: [], payload: { c: [21_000, 1_234, 86_400_000], t: 17 } }
      },
      probeIndirect: notMeasured,
      configurationPosition: async () => {
        countRequest('position')
        return { nextOffset: 21_000, version: 20_000, verifiedAgeMilliseconds: 1_000, uptimeMilliseconds: 86_400_000 }
      },
      configurationCopy: notMeasured,
      targetReports: async ({ targets }) => {
        countRequest('targetReports')
        return { reports: targets.map((target) => ({ target, incarnation: '00000000-0000-4000-8000-000000000000', state: 'live', load: { running: 5, waiting: 0, capacity: 32, ageMilliseconds: 500 }, ageMilliseconds: 300 })) }
      },
      targetChanged: async () => {
        countRequest('targetChanged')
        return {}
      },
      wantReplica: async () => ({ kind: 'ready' }),
      usageReport: async () => ({}),
      claim: async ({ message }) => ({ kind: 'granted', claimId: message.claimId }),
      settleClaim: async () => ({ kind: 'confirmed' }),
      claimState: notMeasured,
      roleHolder: notMeasured,
      versionInForce: notMeasured
    }
    const server = await startPeerServer({ handlers, acceptedKeys: [FIXTURE_PEER_KEY], host: '127.0.0.1', port: 0, logger })
    return server.address
  }
  return await Promise.all(names.map(startPeer))
}

/** Probes a daemon as its peers do, each time in the name of the next peer. */
function probePeriodically (address: string, from: readonly string[], perSecond: number): void {
  const client = createPeerClient({ key: FIXTURE_PEER_KEY, defaultTimeoutMilliseconds: 1_000 })
  let probeCount = 0
  const probe = (): void => {
    const name = from[probeCount++ % from.length] ?? ''
    void client.call('probe', address, (api, signal) => api.probe.mutate({ from: name, incarnation: 0, isLeaving: false, updates: [], payload: { c: [21_000, 1_234, 86_400_000], t: 17 } }, { signal }))
    clock.setTimer(1_000 / perSecond, probe)
  }
  probe()
}

async function handleRequest (request: FixtureRequest): Promise<unknown> {
  switch (request.kind) {
    case 'start-log': {
      const log = await createLogStandIn({ clock, appendsPerSecond: 1_000_000 })
      logAddress = log.address
      for (const [stream, values] of Object.entries(request.streams)) await handleRequest({ kind: 'append', stream, values })
      return log.address
    }
    case 'append': {
      const service = createHttpLogService({ url: `http://${logAddress}`, appendTimeoutMilliseconds: 20_000, readMarginMilliseconds: 2_000 })
      const result = await service.append(request.stream, request.values)
      if (result.isErr) throw result.error
      return result.value.firstOffset
    }
    case 'start-targets':
      return await Promise.all(Array.from({ length: request.count }, (_, index) => startFixedServer('state', createEngineState(index))))
    case 'start-peers':
      return await startPeers(request.names)
    case 'start-engines':
      return await Promise.all(Array.from({ length: request.count }, async () => (await createEngineStandIn({
        clock,
        memoryMegabytes: 160_000,
        maximumConcurrent: request.maximumConcurrent,
        fencing: 'checked',
        timing: { stepMilliseconds: request.stepMilliseconds, stepGrowth: 0, prefillMillisecondsPerThousandCharacters: 1, remoteMegabytesPerSecond: 100_000 }
      })).address))
    case 'start-list':
      return await startFixedServer('list', { vms: request.vms } as unknown as JsonValue)
    case 'probe':
      probePeriodically(request.address, request.from, request.perSecond)
      return null
    case 'counts': {
      const totals = socketBytes.totals()
      const counts: FixtureCounts = { received: totals.serverRead, sent: totals.serverWritten, clientReceived: totals.clientRead, clientSent: totals.clientWritten, requests: { ...requestCounts } }
      return counts
    }
  }
}

process.on('message', (message: { readonly id: number, readonly request: FixtureRequest }) => {
  handleRequest(message.request).then(
    (value) => process.send?.({ id: message.id, value }),
    (reason: unknown) => process.send?.({ id: message.id, error: String(reason) })
  )
})
process.on('disconnect', () => process.exit(0))
