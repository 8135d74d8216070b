import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createPeerClient, startPeerServer, type MembershipProbe, type PeerHandlers } from './index.js'

const unused = async (): Promise<never> => { throw new Error('not expected in this test') }

const probe: MembershipProbe = { from: 'entry-1', incarnation: 0, isLeaving: false, updates: [], payload: {} }

const handlers: PeerHandlers = {
  probe: async (message) => message,
  probeIndirect: unused,
  configurationPosition: unused,
  configurationCopy: unused,
  targetReports: unused,
  targetChanged: unused,
  wantReplica: unused,
  usageReport: unused,
  claim: unused,
  settleClaim: unused,
  claimState: unused,
  roleHolder: async ({ stream }) => ({ holder: stream === 'placement.bc-coast' ? 'entry-2' : null, epoch: 4 }),
  versionInForce: unused
}

async function startServer (acceptedKeys: readonly string[]) {
  const { logger } = createMemoryLogger(createManualClock())
  return await startPeerServer({ handlers, acceptedKeys, host: '127.0.0.1', port: 0, logger })
}

test('answers a call with the current and with the previous key while keys are rotated', async (t) => {
  const server = await startServer(['new-key', 'old-key'])
  for (const key of ['new-key', 'old-key']) {
    const client = createPeerClient({ key, defaultTimeoutMilliseconds: 5_000 })
    const answer = await client.call('roleHolder', server.address, (api, signal) => api.roleHolder.query({ stream: 'placement.bc-coast' }, { signal }))
    t.deepEqual(answer.unwrapOr(undefined), { holder: 'entry-2', epoch: 4 })
    await client.close()
  }
  await server.close()
})

test('refuses a call with a wrong key', async (t) => {
  const server = await startServer(['right-key'])
  const client = createPeerClient({ key: 'wrong-key', defaultTimeoutMilliseconds: 5_000 })
  const answer = await client.call('probe', server.address, (api, signal) => api.probe.mutate(probe, { signal }))
  t.true(answer.isErr && answer.error.message.includes('peer key'))
  await client.close()
  await server.close()
})

test('gives up on a peer whose connection is silent and names step and peer', async (t) => {
  const silent: Server = createServer(() => {})
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(silent.address() as AddressInfo).port}`
  const client = createPeerClient({ key: 'key', defaultTimeoutMilliseconds: 50 })
  const answer = await client.call('probe', address, (api, signal) => api.probe.mutate(probe, { signal }))
  t.true(answer.isErr)
  if (answer.isErr) t.like(answer.error, { code: 'peer-timeout', step: 'probe', peer: address, outcome: 'unknown' })
  await client.close()
  silent.closeAllConnections()
  silent.close()
})
