import { z } from 'zod'
import type { VmRecord } from '@fuchsiastage/types'
import { parseAddress } from './fault-proxy.js'
import { LOOPBACK } from './http-server.js'

const milliseconds = z.number().nonnegative()
const address = z.string().refine(isValidAddress, 'expected an address of the form IP:PORT')

const engineTimingSchema = z.strictObject({
  stepMilliseconds: milliseconds,
  stepGrowth: z.number().nonnegative(),
  prefillMillisecondsPerThousandCharacters: milliseconds,
  prefixHitFactor: z.number().nonnegative(),
  memoryMegabytesPerSecond: z.number().positive(),
  diskMegabytesPerSecond: z.number().positive(),
  remoteMegabytesPerSecond: z.number().positive(),
  unloadMilliseconds: milliseconds,
  commentMilliseconds: milliseconds,
  loadReportLagMilliseconds: milliseconds,
  cacheEventLagMilliseconds: milliseconds,
  resumeMilliseconds: milliseconds
}).partial().readonly()

const engineRoleSchema = z.strictObject({
  kind: z.literal('engine'),
  fencing: z.enum(['checked', 'ignored']),
  memoryMegabytes: z.number().positive(),
  maximumConcurrent: z.number().int().positive(),
  maximumBatch: z.number().int().positive().optional(),
  cachedWeights: z.record(z.string(), z.enum(['memory', 'disk', 'remote'])).optional(),
  hostMemoryMegabytes: z.number().nonnegative().optional(),
  diskMegabytes: z.number().nonnegative().optional(),
  prefixCacheEntries: z.number().int().positive().optional(),
  cacheEventGapEvery: z.number().int().nonnegative().optional(),
  timing: engineTimingSchema.optional()
}).readonly()

const serviceRoleSchema = z.strictObject({
  kind: z.literal('service'),
  callMilliseconds: milliseconds.optional(),
  maximumConcurrent: z.number().int().positive().optional()
}).readonly()

const vmDescriptionSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9][a-z0-9.-]*$/),
  /** `entry` for VMs that run a daemon, otherwise a key of `roles`. */
  role: z.string(),
  /** Defaults to the region of the deployment. */
  region: z.string().optional(),
  dataCentre: z.string(),
  /** For daemons, the address that callers use. Targets may use port 0 to listen on a free port. */
  address,
  peerAddress: address.optional(),
  /** Accelerator memory of this VM; overrides that of its role. */
  memoryMegabytes: z.number().positive().optional(),
  /** Locations of cached weights by model, merged with those of the role. */
  cachedWeights: z.record(z.string(), z.enum(['memory', 'disk', 'remote'])).optional()
}).readonly()

export const deploymentDescriptionSchema = z.strictObject({
  name: z.string(),
  region: z.string(),
  dataCentres: z.array(z.string()).min(1).readonly(),
  roles: z.record(z.string(), z.discriminatedUnion('kind', [engineRoleSchema, serviceRoleSchema])).readonly(),
  vms: z.array(vmDescriptionSchema).readonly(),
  logService: z.strictObject({
    address: address.optional(),
    appendsPerSecond: z.number().positive().optional(),
    retentionMilliseconds: milliseconds.optional(),
    retentionRecords: z.number().int().positive().optional()
  }).readonly(),
  vmList: z.strictObject({ address: address.optional(), lagMilliseconds: milliseconds.optional() }).readonly(),
  weightStore: z.strictObject({
    address: address.optional(),
    loadsPerSecond: z.number().positive(),
    concurrentLoads: z.number().int().positive(),
    megabytesPerSecond: z.number().positive().optional(),
    overRate: z.enum(['slow', 'refuse']).optional(),
    overConcurrency: z.enum(['slow', 'refuse']).optional()
  }).readonly()
}).readonly().superRefine(({ dataCentres, roles, vms }, context) => {
  const names = new Set<string>()
  vms.forEach((vm, index) => {
    const addVmIssue = (field: string, message: string): void => context.addIssue({ code: 'custom', path: ['vms', index, field], message })
    if (names.has(vm.name) || RESERVED_NAMES.has(vm.name)) addVmIssue('name', `the VM name ${vm.name} is duplicate or reserved`)
    names.add(vm.name)
    if (vm.role !== ENTRY_ROLE && !Object.hasOwn(roles, vm.role)) addVmIssue('role', `the role ${vm.role} is not defined in roles`)
    if (!dataCentres.includes(vm.dataCentre)) addVmIssue('dataCentre', `the data centre ${vm.dataCentre} is not listed in dataCentres`)
    // The VM list has to contain the address of a daemon before the daemon starts.
    if (vm.role === ENTRY_ROLE && vm.address.endsWith(':0')) addVmIssue('address', 'the address of a daemon needs a fixed port, not port 0')
  })
})

/** A deployment on loopback addresses: its VMs, the capabilities of their roles, and the limits of the platform services. */
export type DeploymentDescription = z.infer<typeof deploymentDescriptionSchema>

export type VmDescription = DeploymentDescription['vms'][number]

export type RoleDescription = DeploymentDescription['roles'][string]

export const ENTRY_ROLE = 'entry'

export const LOG_SERVICE_NAME = 'log-service'

export const VM_LIST_NAME = 'vm-list'

export const WEIGHT_STORE_NAME = 'weight-store'

const RESERVED_NAMES: ReadonlySet<string> = new Set([LOG_SERVICE_NAME, VM_LIST_NAME, WEIGHT_STORE_NAME])

/** Addresses of a running deployment. */
export interface DeploymentAddresses {
  readonly logService: string
  readonly vmList: string
  readonly weightStore: string
  /** Addresses of targets by VM name. */
  readonly targets: ReadonlyMap<string, string>
}

/**
 * Validates a description. Throws a `ZodError` that lists every error.
 *
 * @example
 * const description = parseDeploymentDescription(JSON.parse(text))
 */
export function parseDeploymentDescription (value: unknown): DeploymentDescription {
  return deploymentDescriptionSchema.parse(value)
}

/**
 * Creates the records of the VM list. The addresses of started targets replace those of the description.
 *
 * @example
 * const records = createVmRecords(description, targetAddresses)
 */
export function createVmRecords (description: DeploymentDescription, targets: ReadonlyMap<string, string>): readonly VmRecord[] {
  return description.vms.map((vm) => ({
    name: vm.name,
    role: vm.role,
    region: vm.region ?? description.region,
    dataCentre: vm.dataCentre,
    address: targets.get(vm.name) ?? vm.address,
    ...(vm.peerAddress === undefined ? {} : { peerAddress: vm.peerAddress }),
    state: 'live'
  }))
}

/**
 * Lists the VMs of a description that run targets, with their roles.
 *
 * @example
 * for (const { vm, role } of listTargets(description)) console.log(vm.name, role.kind)
 */
export function listTargets (description: DeploymentDescription): readonly { readonly vm: VmDescription, readonly role: RoleDescription }[] {
  return description.vms.flatMap((vm) => {
    const role = description.roles[vm.role]
    return role === undefined ? [] : [{ vm, role }]
  })
}

/**
 * Returns the given address of a platform service, or the loopback address with port 0 if there is none.
 *
 * @example
 * addressOrLoopback(description.logService.address)
 */
export function addressOrLoopback (configuredAddress: string | undefined): string {
  return configuredAddress ?? `${LOOPBACK.host}:${LOOPBACK.port}`
}

function isValidAddress (text: string): boolean {
  try {
    parseAddress(text)
    return true
  } catch {
    return false
  }
}
