import { createHash } from 'node:crypto'
import { parseSettings, type Settings } from '@fuchsiastage/settings'
import type { ConfigurationChange, JsonValue, VmRecord } from '@fuchsiastage/types'
import type { Deployment } from './scenario-schema.js'

export const REGION = 'bc-coast'

const STANDARD_ROLES: Deployment['roles'] = {
  drafter: { kind: 'engine', fencing: 'checked', memory: 40_000, concurrent: 8 },
  ledger: { kind: 'service', fencing: 'checked', memory: 0, concurrent: 16 }
}
const STANDARD_MODELS: Deployment['models'] = {
  letter: { role: 'drafter', memory: 12_000, weights: 10_000, dataCentres: ['van-a', 'van-b'], maximum: 2, warm: 0 }
}
const STANDARD_SERVICES: Deployment['services'] = {
  ledger: { role: 'ledger', dataCentres: ['van-a', 'van-b'], nonIdempotent: ['POST /payouts'] }
}
const STANDARD_CALLERS: Deployment['callers'] = {
  office: { priority: 'normal', concurrent: 1_000, perSecond: 1_000, deadline: 120_000 },
  desk: { priority: 'urgent', concurrent: 1_000, perSecond: 1_000, deadline: 120_000 },
  batch: { priority: 'bulk', concurrent: 1_000, perSecond: 1_000, deadline: 120_000 }
}

/** Adds the standard roles, models, services and callers to those that a scenario defines. */
export function completeDeployment (deployment: Deployment): Deployment {
  return {
    ...deployment,
    roles: { ...STANDARD_ROLES, ...deployment.roles },
    models: { ...STANDARD_MODELS, ...deployment.models },
    services: { ...STANDARD_SERVICES, ...deployment.services },
    callers: { ...STANDARD_CALLERS, ...deployment.callers }
  }
}

/** Bearer token of a caller. */
export function tokenOf (caller: string): string {
  return `token-of-${caller}`
}

/** Returns the changes of the patch that creates the initial configuration. */
export function initialChanges (deployment: Deployment): readonly ConfigurationChange[] {
  const changes: [string, JsonValue][] = []
  for (const [name, { kind, fencing, memory, concurrent }] of Object.entries(deployment.roles)) {
    changes.push([`role/${name}`, { kind, fencing, memoryMegabytes: memory, accelerators: kind === 'engine' ? 2 : 0, maximumConcurrent: concurrent }])
  }
  for (const [name, { role, memory, weights, dataCentres, maximum, warm }] of Object.entries(deployment.models)) {
    changes.push([`model/${name}`, { role, memoryMegabytes: memory, weightsMegabytes: weights }])
    changes.push([`rule/${name}`, { dataCentres, maximumReplicas: maximum, minimumWarm: warm }])
  }
  for (const [name, { model, memory, weights, dataCentres, maximum }] of Object.entries(deployment.adapters)) {
    changes.push([`adapter/${name}`, { model, memoryMegabytes: memory, weightsMegabytes: weights }])
    changes.push([`rule/${name}`, { dataCentres, maximumReplicas: maximum, minimumWarm: 0 }])
  }
  for (const [name, { role, dataCentres, nonIdempotent }] of Object.entries(deployment.services)) {
    changes.push([`service/${name}`, { role, dataCentres, nonIdempotent }])
  }
  for (const [name, { priority, concurrent, perSecond, deadline }] of Object.entries(deployment.callers)) {
    changes.push([`caller/${name}`, {
      tokenSha256: createHash('sha256').update(tokenOf(name)).digest('hex'),
      priority,
      weight: 1,
      maximumConcurrent: concurrent,
      requestsPerSecond: perSecond,
      deadlineMilliseconds: deadline,
      models: ['*'],
      services: ['*']
    }])
  }
  return changes.map(([key, value]) => ({ key, value }))
}

/** Builds the VM record of a daemon or target; `index` is unique in the deployment and determines the address. */
export function vmRecord (name: string, role: string, dataCentre: string, index: number): VmRecord {
  const host = `10.0.${Math.floor(index / 250)}.${index % 250 + 1}`
  return {
    name, role, region: REGION, dataCentre, address: `${host}:8080`, ...(role === 'entry' ? { peerAddress: `${host}:7100` } : {}), state: 'live'
  }
}

/** Builds the settings of a daemon; settings that are not written here have their defaults. */
export function daemonSettings (deployment: Deployment, vm: VmRecord): Settings {
  const host = vm.address.split(':')[0] ?? ''
  const text = `
[daemon]
name = ${vm.name}
region = ${REGION}
data-centre = ${vm.dataCentre}
[listen]
callers = ${vm.address}
operators = ${host}:8081
peers = ${vm.peerAddress ?? ''}
[log-service]
address = 10.255.0.1:7000
snapshot-every-records = ${deployment.snapshotEveryRecords}
[vm-list]
address = 10.255.0.2:7000
[peers]
key = scenario-peer-key-0123456789
[operators]
token = scenario-operator-token-0123456789
[weight-store]
loads-per-second = 2
concurrent-loads = 4
[configuration]
unverified = ${deployment.unverified}
member-list-difference = ${deployment.memberListDifference}
[claims]
partitions = ${deployment.claimPartitions}
${deployment.dataCentres.map((name) => `[data-centre.${name}]\nregion = ${REGION}\nlatency-milliseconds = ${name === vm.dataCentre ? 0.1 : 0.9}\n`).join('')}`
  const settings = parseSettings(text)
  if (settings.isErr) throw new Error(`invalid settings: ${JSON.stringify(settings.error)}`)
  return settings.value
}
