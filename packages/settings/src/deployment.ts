import { err, ok, type Result } from 'true-myth/result'
import { z } from 'zod'
import { camelCaseKeys, type CamelCased } from './camel-case.js'
import { parseIni, type ParsedFile, type SettingsFault } from './parse-ini.js'
import { address, choice, decimal, integer, name, optionalAddress } from './setting-types.js'

/** Role name of the VMs that run a daemon. */
export const ENTRY_ROLE = 'entry'

const MINIMUM_ENGINE_MEGABYTES = 80_000
const MAXIMUM_ENGINE_MEGABYTES = 160_000

const sections = {
  deployment: z.strictObject({
    name: name('Name of the deployment.'),
    region: name('Region of all data centres of the deployment.')
  }),
  'log-service': z.strictObject({
    address: address('Address of the log service.'),
    'appends-per-second': integer('Maximum appends per second that the service accepts.', { minimum: 1, default: 400 }),
    'retention-milliseconds': integer('Time for which the service keeps records.', { minimum: 1_000, default: 86_400_000 })
  }),
  'vm-list': z.strictObject({
    address: address('Address of the VM list.'),
    'lag-milliseconds': integer('Delay before a change of a VM appears in the list.', { default: 2_000 })
  }),
  'weight-store': z.strictObject({
    address: address('Address of the weight store.'),
    'loads-per-second': decimal('Maximum loads per second that the store starts.', { minimum: 0.01 }),
    'concurrent-loads': integer('Concurrent loads that the store serves at full speed.', { minimum: 1, default: 4 }),
    'megabytes-per-second': decimal('Transfer rate of one load at full speed.', { minimum: 1, default: 2_000 })
  }),
  latency: z.strictObject({
    'data-centres-milliseconds': decimal('One-way latency between data centres.'),
    'clients-milliseconds': decimal('One-way latency between callers and entry VMs.')
  })
}

const groups = {
  role: z.strictObject({
    kind: choice('Kind of target.', ['engine', 'service']),
    fencing: choice('Whether targets of this role reject orders with an outdated fencing token.', ['checked', 'ignored']),
    'maximum-concurrent': integer('Maximum concurrent requests of one target.', { minimum: 1 }),
    'first-token-milliseconds': decimal('Time until the first token of an engine, or until the response of a service.'),
    'token-milliseconds': decimal('Interval between two tokens.', { default: 0 }),
    'load-lag-milliseconds': decimal('Delay before a change of the load appears in the load report.', { default: 0 })
  }),
  vm: z.strictObject({
    role: name('Role of the VM: `entry` or a section `role.<name>`.'),
    'data-centre': name('Data centre of the VM.'),
    address: address('Address for callers on an entry VM, for requests from daemons on a target.'),
    'peer-address': optionalAddress('Address for the other daemons; entry VMs only.'),
    'memory-megabytes': integer('Accelerator memory of the VM; engines only.', { maximum: MAXIMUM_ENGINE_MEGABYTES, default: 0 })
  })
}

type Section<Name extends keyof typeof sections> = CamelCased<z.output<(typeof sections)[Name]>>
export type DeploymentRole = CamelCased<z.output<(typeof groups)['role']>>
export type DeploymentVm = CamelCased<z.output<(typeof groups)['vm']>>

/** The VMs and platform services of a deployment, which the stand-ins simulate. */
export interface Deployment {
  readonly deployment: Section<'deployment'>
  readonly logService: Section<'log-service'>
  readonly vmList: Section<'vm-list'>
  readonly weightStore: Section<'weight-store'>
  readonly latency: Section<'latency'>
  readonly roles: ReadonlyMap<string, DeploymentRole>
  readonly vms: ReadonlyMap<string, DeploymentVm>
}

/**
 * Parses and validates the description of a deployment's stand-ins.
 *
 * @example
 * const deployment = parseDeployment(await readFile('examples/renewal-office/deployment.ini', 'utf8'))
 */
export function parseDeployment (text: string): Result<Deployment, readonly SettingsFault[]> {
  const parsed = parseIni(text, { sections, groups })
  const faults = [...parsed.faults, ...checkVms(parsed)]
  if (faults.length > 0) return err(faults)
  const valuesOfSection = <Name extends keyof typeof sections>(sectionName: Name): Section<Name> =>
    camelCaseKeys(parsed.sections.get(sectionName) ?? {}) as unknown as Section<Name>
  const valuesOfGroup = <Value>(groupName: string): ReadonlyMap<string, Value> =>
    new Map([...parsed.groups.get(groupName) ?? []].map(([member, values]) => [member, camelCaseKeys(values) as unknown as Value]))
  return ok(Object.freeze({
    deployment: valuesOfSection('deployment'),
    logService: valuesOfSection('log-service'),
    vmList: valuesOfSection('vm-list'),
    weightStore: valuesOfSection('weight-store'),
    latency: valuesOfSection('latency'),
    roles: valuesOfGroup<DeploymentRole>('role'),
    vms: valuesOfGroup<DeploymentVm>('vm')
  }))
}

function checkVms (parsed: ParsedFile): readonly SettingsFault[] {
  const roles = parsed.groups.get('role') ?? new Map<string, DeploymentRole>()
  const faults: SettingsFault[] = []
  const sectionsByAddress = new Map<string, string>()
  const checkAddress = (section: string, key: string, value: unknown): void => {
    if (typeof value !== 'string') return
    const firstSection = sectionsByAddress.get(value)
    if (firstSection === undefined) sectionsByAddress.set(value, section)
    else faults.push({ section, key, given: value, expected: `an address other than that of ${firstSection}` })
  }
  for (const section of ['log-service', 'vm-list', 'weight-store']) checkAddress(section, 'address', parsed.sections.get(section)?.address)
  for (const [vmName, vm] of parsed.groups.get('vm') ?? []) {
    const section = `vm.${vmName}`
    checkAddress(section, 'address', vm.address)
    checkAddress(section, 'peer-address', vm['peer-address'])
    const role = String(vm.role)
    if (role !== ENTRY_ROLE && !roles.has(role)) faults.push({ section, key: 'role', given: role, expected: `${ENTRY_ROLE} or one of ${[...roles.keys()].join(', ')}` })
    if (role === ENTRY_ROLE && vm['peer-address'] === undefined) faults.push({ section, key: 'peer-address', given: '(nothing)', expected: 'an address, because the VM is an entry VM' })
    const isEngine = (roles.get(role) as { readonly kind?: unknown } | undefined)?.kind === 'engine'
    const memory = Number(vm['memory-megabytes'])
    if (isEngine && memory < MINIMUM_ENGINE_MEGABYTES) {
      faults.push({ section, key: 'memory-megabytes', given: String(memory), expected: `a whole number from ${MINIMUM_ENGINE_MEGABYTES} to ${MAXIMUM_ENGINE_MEGABYTES}, because the VM is an engine` })
    }
  }
  return faults
}
