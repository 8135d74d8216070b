import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createPeerClient, startPeerServer, type MembershipProbe, type PeerHandlers } from './index.js'

const unexpectedCall = async (): Promise<never> => { throw new Error('this procedure must not be called in this test') }

const probe: MembershipProbe = { from: 'entry-1', incarnation: 0, isLeaving: false, updates: [], payload: {} }

const handlers: PeerHandlers = {
  probe: async (message) => message,
  probeIndirect: unexpectedCall,
  configurationPosition: unexpectedCall,
  configurationCopy: unexpectedCall,
  targetReports: unexpectedCall,
  targetChanged: unexpectedCall,
  wantReplica: unexpectedCall,
  usageReport: unexpectedCall,
  claim: unexpectedCall,
  settleClaim: unexpectedCall,
  claimState: unexpectedCall,
  roleHolder: async ({ stream }) => ({ holder: stream === 'placement.bc-coast' ? 'entry-2' : null, epoch: 4 }),
  versionInForce: unexpectedCall
}

async function startServer (acceptedKeys: readonly string[]) {
  const { logger } = createMemoryLogger(createManualClock())
  return await startPeerServer({ handlers, acceptedKeys, host: '127.0.0.1', port: 0, logger })
}

test('a call with the current or the previous key is accepted while keys are rotated', async (t) => {
  const server = await startServer(['new-key', 'old-key'])
  for (const key of ['new-key', 'old-key']) {
    const client = createPeerClient({ key, defaultTimeoutMilliseconds: 5_000 })
    const answer = await client.call('roleHolder', server.address, (api, signal) => api.roleHolder.query({ stream: 'placement.bc-coast' }, { signal }))
    t.deepEqual(answer.unwrapOr(undefined), { holder: 'entry-2', epoch: 4 })
    await client.close()
  }
  await server.close()
})

test('a call with a wrong key is refused', async (t) => {
  const server = await startServer(['right-key'])
  const client = createPeerClient({ key: 'wrong-key', defaultTimeoutMilliseconds: 5_000 })
  const answer = await client.call('probe', server.address, (api, signal) => api.probe.mutate(probe, { signal }))
  t.true(answer.isErr && answer.error.message.includes('peer key'))
  await client.close()
  await server.close()
})

test('a call to a peer that never responds times out with an error that names the step and the peer', async (t) => {
  const unresponsiveServer: Server = createServer(() => {})
  await new Promise<void>((resolve) => unresponsiveServer.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(unresponsiveServer.address() as AddressInfo).port}`
  const client = createPeerClient({ key: 'key', defaultTimeoutMilliseconds: 50 })
  const answer = await client.call('probe', address, (api, signal) => api.probe.mutate(probe, { signal }))
  t.true(answer.isErr)
  if (answer.isErr) t.like(answer.error, { code: 'peer-timeout', step: 'probe', peer: address, outcome: 'unknown' })
  await client.close()
  unresponsiveServer.closeAllConnections()
  unresponsiveServer.close()
})
