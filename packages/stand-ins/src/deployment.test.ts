import test from 'ava'
import { createSystemClock } from '@fuchsiastage/clock'
import { parseDeploymentDescription, type DeploymentDescription } from './deployment.js'
import { createTestClient } from './http-test-client.js'
import { startDeployment } from './start-deployment.js'

const description: DeploymentDescription = {
  name: 'small',
  region: 'bc-coast',
  dataCentres: ['van-a', 'van-b'],
  roles: {
    drafter: { kind: 'engine', fencing: 'ignored', memoryMegabytes: 100, maximumConcurrent: 4, cachedWeights: { a: 'disk' } },
    ledger: { kind: 'service', callMilliseconds: 0 }
  },
  vms: [
    { name: 'entry-1', role: 'entry', dataCentre: 'van-a', address: '127.0.0.1:7001', peerAddress: '127.0.0.1:7002' },
    { name: 'drafter-1', role: 'drafter', dataCentre: 'van-a', address: '127.0.0.1:0', cachedWeights: { b: 'memory' } },
    { name: 'drafter-2', role: 'drafter', dataCentre: 'van-b', address: '127.0.0.1:0' },
    { name: 'ledger-1', role: 'ledger', dataCentre: 'van-b', address: '127.0.0.1:0' }
  ],
  logService: {},
  vmList: {},
  weightStore: { loadsPerSecond: 2, concurrentLoads: 4 }
}

test('all stand-ins of a deployment start and the VM list contains their addresses', async (t) => {
  const running = await startDeployment(description, { clock: createSystemClock() })
  const client = createTestClient(running.addresses.vmList)
  t.teardown(async () => {
    await client.close()
    await running.close()
  })
  const vms = (await client.send('/vms')).json.vms as { name: string, address: string }[]
  t.deepEqual(vms.map(({ name, address }) => [name, address]), [
    ['entry-1', '127.0.0.1:7001'],
    ['drafter-1', running.engines.get('drafter-1')?.address],
    ['drafter-2', running.engines.get('drafter-2')?.address],
    ['ledger-1', running.services.get('ledger-1')?.address]
  ])
  t.deepEqual(running.peakReplicas(), {})
})

test('an engine has the memory and cached weights from the description of its VM and role', async (t) => {
  const running = await startDeployment(description, { clock: createSystemClock() })
  const client = createTestClient(running.addresses.targets.get('drafter-1') ?? '')
  t.teardown(async () => {
    await client.close()
    await running.close()
  })
  const { memoryMegabytes, cachedWeights } = (await client.send('/state')).json
  t.deepEqual([memoryMegabytes, cachedWeights], [100, { a: 'disk', b: 'memory' }])
})

test('the validation error lists every error of a description', (t) => {
  const error = t.throws(() => parseDeploymentDescription({
    ...description,
    vms: [
      { name: 'entry-1', role: 'entry', dataCentre: 'van-a', address: '127.0.0.1:0' },
      { name: 'entry-1', role: 'drafter', dataCentre: 'nowhere', address: '127.0.0.1:1' },
      { name: 'log-service', role: 'unknown', dataCentre: 'van-a', address: '127.0.0.1:2' }
    ]
  }), { any: true })
  t.deepEqual((error as unknown as { issues: { path: unknown[] }[] }).issues.map(({ path }) => path.join('.')), [
    'vms.0.address', 'vms.1.name', 'vms.1.dataCentre', 'vms.2.name', 'vms.2.role'
  ])
})
