import type { CustomerAllowance, CustomerDirectory, EngineDefinition, ServingConfiguration, ServingRoute, ServingService } from '../serving-configuration.js'
import { customerLocation, modelLocation, routeLocation, serviceLocation } from './entry-locations.js'
import type { ConfigurationFinding } from './findings.js'

/** Prompt and output tokens of a usual model request, as counted on the users' platform. */
const MODEL_REQUEST_TOKENS = 9_200
/** The use of an allowance is measured over windows of this length. */
const ALLOWANCE_WINDOW_SECONDS = 8

/**
 * Finds faults of a configuration that the decoder accepts: entries that can never match, references to nothing,
 * and limits that contradict each other. Findings are in the order of routes, services and customers.
 *
 * @example
 * const findings = checkConfiguration(configuration)
 * if (findings.some(({ kind }) => severityOf(kind) === 'error')) throw new Error('do not apply this version')
 */
export function checkConfiguration (configuration: ServingConfiguration): readonly ConfigurationFinding[] {
  const { routes, services, customers } = configuration
  const used = new Set(routes.flatMap((route) => route.services.map(({ service }) => service)))
  return [
    ...routes.flatMap((route, position) => checkRoute(configuration, route, position)),
    ...[...services.values()].flatMap((service) => checkService(service, used)),
    ...customers === undefined ? [] : checkCustomers(customers, [...services.values()].some(({ engine }) => engine !== undefined))
  ]
}

function checkRoute (configuration: ServingConfiguration, route: ServingRoute, position: number): readonly ConfigurationFinding[] {
  const location = routeLocation(route, position)
  const findings: ConfigurationFinding[] = []
  const firstPosition = configuration.routes.findIndex(({ host, prefix }) => host === route.host && prefix === route.prefix)
  if (firstPosition < position) findings.push({ kind: 'same-prefix', location, firstPosition })
  if (route.prefix !== '' && !route.prefix.startsWith('/')) findings.push({ kind: 'prefix-without-slash', location })
  if (/:\d+$/.test(route.host)) findings.push({ kind: 'host-with-port', location })

  if (route.services.length === 0) findings.push({ kind: 'route-without-service', location })
  else if (route.services.every(({ weight }) => weight === 0)) findings.push({ kind: 'split-without-weight', location })
  else findings.push(...route.services.filter(({ weight }) => weight === 0).map(({ service }) => ({ kind: 'weight-zero', location, service } as const)))
  const unknown = new Set(route.services.map(({ service }) => service).filter((service) => !configuration.services.has(service)))
  findings.push(...[...unknown].map((service) => ({ kind: 'unknown-service', location, service } as const)))

  const { timeoutMilliseconds, objectiveMilliseconds } = route
  if (timeoutMilliseconds === 0) findings.push({ kind: 'timeout-zero', location })
  else if (timeoutMilliseconds !== undefined && timeoutMilliseconds < objectiveMilliseconds) findings.push({ kind: 'timeout-below-objective', location, timeoutMilliseconds, objectiveMilliseconds })
  return findings
}

function checkService (service: ServingService, used: ReadonlySet<string>): readonly ConfigurationFinding[] {
  return [
    ...used.has(service.name) ? [] : [{ kind: 'unused-service', location: serviceLocation(service.name) } as const],
    ...service.engine === undefined ? [] : checkModels(service.name, service.engine)
  ]
}

/** The number of adapters may exceed the places of an engine: adapters are loaded and unloaded as they are requested. */
function checkModels (service: string, engine: EngineDefinition): readonly ConfigurationFinding[] {
  return [...engine.models.values()].flatMap(({ name, megabytes, adapterMegabytes }): readonly ConfigurationFinding[] => {
    const location = modelLocation(service, name)
    if (megabytes > engine.megabytes) return [{ kind: 'model-exceeds-engine', location, megabytes, engineMegabytes: engine.megabytes }]
    if (megabytes + adapterMegabytes > engine.megabytes) return [{ kind: 'adapter-exceeds-engine', location, megabytes, adapterMegabytes, engineMegabytes: engine.megabytes }]
    return []
  })
}

function checkCustomers ({ customers, byKeyDigest }: CustomerDirectory, hasModels: boolean): readonly ConfigurationFinding[] {
  if (customers.length === 0) return [{ kind: 'no-customers', location: { kind: 'configuration' } }]
  const withKeys = new Set([...byKeyDigest.values()].map(({ name }) => name))
  return customers.flatMap((customer, position): readonly ConfigurationFinding[] => {
    const location = customerLocation(customer, position)
    return [
      ...withKeys.has(customer.name) ? [] : [{ kind: 'customer-without-keys', location } as const],
      ...customer.allowance === undefined ? [] : checkAllowance(customer.allowance, hasModels).map((finding) => ({ ...finding, location }))
    ]
  })
}

type AllowanceFinding = Extract<ConfigurationFinding, { kind: 'burst-below-plain-request' | 'allowance-below-model-request' }>
type WithoutLocation<Finding> = Finding extends unknown ? Omit<Finding, 'location'> : never

function checkAllowance ({ unit, perSecond, burst, plainTokens }: CustomerAllowance, hasModels: boolean): ReadonlyArray<WithoutLocation<AllowanceFinding>> {
  const findings: Array<WithoutLocation<AllowanceFinding>> = []
  const plainCost = plainCostOf(unit, plainTokens)
  if (burst < plainCost) findings.push({ kind: 'burst-below-plain-request', burst, plainCost })
  if (hasModels && unit === 'tokens' && perSecond * ALLOWANCE_WINDOW_SECONDS < MODEL_REQUEST_TOKENS) {
    findings.push({ kind: 'allowance-below-model-request', perSecond, requestTokens: MODEL_REQUEST_TOKENS, seconds: ALLOWANCE_WINDOW_SECONDS })
  }
  return findings
}

function plainCostOf (unit: CustomerAllowance['unit'], plainTokens: number): number {
  switch (unit) {
    case 'requests':
      return 1
    case 'tokens':
      return plainTokens
  }
}
