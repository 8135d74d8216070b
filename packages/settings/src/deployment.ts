import { err, ok, type Result } from 'true-myth/result'
import { z } from 'zod'
import { camelCaseKeys, type CamelCased } from './camel-case.js'
import { parseIni, type ParsedFile, type SettingsFault } from './parse-ini.js'
import { address, choice, decimal, integer, name, optionalAddress } from './setting-types.js'

/** Role name of the VMs that run a daemon. */
export const ENTRY_ROLE = 'entry'

const SMALLEST_ENGINE_MEGABYTES = 80_000
const LARGEST_ENGINE_MEGABYTES = 160_000

const sections = {
  deployment: z.strictObject({
    name: name('Name of the deployment.'),
    region: name('Region of all its data centres.')
  }),
  'log-service': z.strictObject({
    address: address('Address of the log service.'),
    'appends-per-second': integer('Appends that the service accepts in a second.', { minimum: 1, default: 400 }),
    'retention-milliseconds': integer('Time for which records are kept.', { minimum: 1_000, default: 86_400_000 })
  }),
  'vm-list': z.strictObject({
    address: address('Address of the VM list.'),
    'lag-milliseconds': integer('How far the list lags.', { default: 2_000 })
  }),
  'weight-store': z.strictObject({
    address: address('Address of the weight store.'),
    'loads-per-second': decimal('Loads that the store starts in a second.', { minimum: 0.01 }),
    'concurrent-loads': integer('Loads at once at full speed.', { minimum: 1, default: 4 }),
    'megabytes-per-second': decimal('Rate of one load at full speed.', { minimum: 1, default: 2_000 })
  }),
  latency: z.strictObject({
    'data-centres-milliseconds': decimal('One-way latency between data centres.'),
    'clients-milliseconds': decimal('One-way latency between callers and entries.')
  })
}

const groups = {
  role: z.strictObject({
    kind: choice('Kind of target.', ['engine', 'service']),
    fencing: choice('Whether orders with an old fencing token are refused.', ['checked', 'ignored']),
    'maximum-concurrent': integer('Requests that one target runs at once.', { minimum: 1 }),
    'first-token-milliseconds': decimal('Time to the first token, or to a service\'s answer.'),
    'token-milliseconds': decimal('Time between two tokens.', { default: 0 }),
    'load-lag-milliseconds': decimal('Lag of the load report.', { default: 0 })
  }),
  vm: z.strictObject({
    role: name('Role of the VM: `entry` or a section `role.<name>`.'),
    'data-centre': name('Data centre of the VM.'),
    address: address('Address for callers or for requests of daemons.'),
    'peer-address': optionalAddress('Address for the other daemons; entries only.'),
    'memory-megabytes': integer('Accelerator memory; engines only.', { maximum: LARGEST_ENGINE_MEGABYTES, default: 0 })
  })
}

type Section<Name extends keyof typeof sections> = CamelCased<z.output<(typeof sections)[Name]>>
export type DeploymentRole = CamelCased<z.output<(typeof groups)['role']>>
export type DeploymentVm = CamelCased<z.output<(typeof groups)['vm']>>

/** What the stand-ins of a deployment must offer. */
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
 * Parses and checks the description of a deployment's stand-ins.
 *
 * @example
 * const deployment = parseDeployment(await readFile('examples/renewal-office/deployment.ini', 'utf8'))
 */
export function parseDeployment (text: string): Result<Deployment, readonly SettingsFault[]> {
  const parsed = parseIni(text, { sections, groups })
  const faults = [...parsed.faults, ...checkVms(parsed)]
  if (faults.length > 0) return err(faults)
  const section = <Name extends keyof typeof sections>(sectionName: Name): Section<Name> =>
    camelCaseKeys(parsed.sections.get(sectionName) ?? {}) as unknown as Section<Name>
  const group = <Value>(groupName: string): ReadonlyMap<string, Value> =>
    new Map([...parsed.groups.get(groupName) ?? []].map(([member, values]) => [member, camelCaseKeys(values) as unknown as Value]))
  return ok(Object.freeze({
    deployment: section('deployment'),
    logService: section('log-service'),
    vmList: section('vm-list'),
    weightStore: section('weight-store'),
    latency: section('latency'),
    roles: group<DeploymentRole>('role'),
    vms: group<DeploymentVm>('vm')
  }))
}

function checkVms (parsed: ParsedFile): readonly SettingsFault[] {
  const roles = parsed.groups.get('role') ?? new Map<string, DeploymentRole>()
  const faults: SettingsFault[] = []
  const owners = new Map<string, string>()
  const claimAddress = (section: string, key: string, value: unknown): void => {
    if (typeof value !== 'string') return
    const owner = owners.get(value)
    if (owner === undefined) owners.set(value, section)
    else faults.push({ section, key, given: value, expected: `an address other than that of ${owner}` })
  }
  for (const section of ['log-service', 'vm-list', 'weight-store']) claimAddress(section, 'address', parsed.sections.get(section)?.address)
  for (const [vmName, vm] of parsed.groups.get('vm') ?? []) {
    const section = `vm.${vmName}`
    claimAddress(section, 'address', vm.address)
    claimAddress(section, 'peer-address', vm['peer-address'])
    const role = String(vm.role)
    if (role !== ENTRY_ROLE && !roles.has(role)) faults.push({ section, key: 'role', given: role, expected: `${ENTRY_ROLE} or one of ${[...roles.keys()].join(', ')}` })
    if (role === ENTRY_ROLE && vm['peer-address'] === undefined) faults.push({ section, key: 'peer-address', given: '(nothing)', expected: 'an address, because the VM is an entry' })
    const isEngine = (roles.get(role) as { readonly kind?: unknown } | undefined)?.kind === 'engine'
    const memory = Number(vm['memory-megabytes'])
    if (isEngine && memory < SMALLEST_ENGINE_MEGABYTES) {
      faults.push({ section, key: 'memory-megabytes', given: String(memory), expected: `a whole number from ${SMALLEST_ENGINE_MEGABYTES} to ${LARGEST_ENGINE_MEGABYTES}, because the VM is an engine` })
    }
  }
  return faults
}
