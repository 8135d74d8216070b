import test from 'ava'
import { checkConfiguration, severityOf, type ConfigurationFinding, type ServingConfiguration, type ServingService } from '../index.js'
import { ALLOWANCE, CUSTOMER, customersOf, ENGINE, MODEL, ROUTE, SOUND, withService } from './configurations.test-helper.js'

const withRoute = (change: Partial<typeof ROUTE>): ServingConfiguration => ({ ...SOUND, routes: [{ ...ROUTE, ...change }] })
const withAllowance = (change: Partial<typeof ALLOWANCE>): ServingConfiguration => ({ ...SOUND, customers: customersOf([{ ...CUSTOMER, allowance: { ...ALLOWANCE, ...change } }, ['digest-1']]) })

const kindsOf = (configuration: ServingConfiguration): ReadonlyArray<ConfigurationFinding['kind']> => checkConfiguration(configuration).map(({ kind }) => kind)

test('a sound configuration has no findings, also with more adapters than places', (t) => {
  t.deepEqual(checkConfiguration(SOUND), [])
  t.deepEqual(checkConfiguration(withService({ ...ENGINE, adapterPlaces: 0 })), [])
})

interface Case {
  /** The failure that the finding prevents. */
  readonly failure: string
  readonly configuration: ServingConfiguration
  readonly kind: ConfigurationFinding['kind']
  readonly severity: 'error' | 'warning'
  readonly details?: object
}

const PLAIN_SERVICE: ServingService = { name: 'plain', healthPath: '/health', maximumConnections: 10, engine: undefined }

const CASES: readonly Case[] = [
  { failure: 'a route without a service answers no request', kind: 'route-without-service', severity: 'error', configuration: { ...withRoute({ services: [] }), services: new Map() } },
  { failure: 'a route to a misspelt service finds no target', kind: 'unknown-service', severity: 'error', configuration: withRoute({ services: [{ service: 's', weight: 1 }, { service: 'S', weight: 1 }] }), details: { service: 'S' } },
  { failure: 'a split without weights sends all requests to its last service', kind: 'split-without-weight', severity: 'error', configuration: withRoute({ services: [{ service: 's', weight: 0 }] }) },
  { failure: 'a service of weight 0 gets no request', kind: 'weight-zero', severity: 'warning', configuration: { ...withRoute({ services: [{ service: 's', weight: 1 }, { service: 'plain', weight: 0 }] }), services: new Map([...SOUND.services, ['plain', PLAIN_SERVICE]]) }, details: { service: 'plain' } },
  { failure: 'the requests of a route go to another one with the same prefix', kind: 'same-prefix', severity: 'error', configuration: { ...SOUND, routes: [ROUTE, { ...ROUTE, prefix: '/b/' }, { ...ROUTE, name: 'other' }] }, details: { firstPosition: 0, location: { kind: 'route', position: 2, name: 'other', host: 'h', prefix: '/a/' } } },
  { failure: 'a prefix without a leading slash matches no path', kind: 'prefix-without-slash', severity: 'error', configuration: withRoute({ prefix: 'a/' }) },
  { failure: 'a host with a port matches no request', kind: 'host-with-port', severity: 'error', configuration: withRoute({ host: 'h:8080' }) },
  { failure: 'a timeout of 0 ends every request', kind: 'timeout-zero', severity: 'error', configuration: withRoute({ timeoutMilliseconds: 0 }) },
  { failure: 'requests end before their objective', kind: 'timeout-below-objective', severity: 'warning', configuration: withRoute({ timeoutMilliseconds: 999 }), details: { timeoutMilliseconds: 999, objectiveMilliseconds: 1_000 } },
  { failure: 'targets of a service wait for requests that no route sends', kind: 'unused-service', severity: 'warning', configuration: { ...SOUND, services: new Map([...SOUND.services, ['plain', PLAIN_SERVICE]]) }, details: { location: { kind: 'service', name: 'plain' } } },
  { failure: 'a model is larger than the memory of every engine', kind: 'model-exceeds-engine', severity: 'error', configuration: withService({ ...ENGINE, models: new Map([['m', { ...MODEL, megabytes: 1_001 }]]) }), details: { megabytes: 1_001, engineMegabytes: 1_000 } },
  { failure: 'no adapter fits beside its model', kind: 'adapter-exceeds-engine', severity: 'warning', configuration: withService({ ...ENGINE, models: new Map([['m', { ...MODEL, megabytes: 999 }]]) }), details: { megabytes: 999, adapterMegabytes: 10 } },
  { failure: 'an empty list of customers admits nobody', kind: 'no-customers', severity: 'warning', configuration: { ...SOUND, customers: customersOf() } },
  { failure: 'a customer without keys can send no request', kind: 'customer-without-keys', severity: 'warning', configuration: { ...SOUND, customers: customersOf([CUSTOMER, ['digest-1']], [{ ...CUSTOMER, name: 'c2' }, []]) }, details: { location: { kind: 'customer', position: 1, name: 'c2' } } },
  { failure: 'a burst in tokens has no room for a plain request', kind: 'burst-below-plain-request', severity: 'warning', configuration: withAllowance({ burst: 199 }), details: { burst: 199, plainCost: 200 } },
  { failure: 'a burst in requests has no room for one request', kind: 'burst-below-plain-request', severity: 'warning', configuration: withAllowance({ unit: 'requests', burst: 0.5 }), details: { burst: 0.5, plainCost: 1 } },
  { failure: 'a customer waits for seconds for each model request', kind: 'allowance-below-model-request', severity: 'warning', configuration: withAllowance({ perSecond: 1_149 }), details: { perSecond: 1_149, requestTokens: 9_200, seconds: 8 } }
]

for (const { failure, configuration, kind, severity, details } of CASES) {
  test(`it is reported that ${failure}`, (t) => {
    const findings = checkConfiguration(configuration)
    t.deepEqual(findings.map((finding) => finding.kind), [kind])
    t.is(severityOf(kind), severity)
    t.like(findings[0], { kind, ...details })
  })
}

test('limits that just suffice are not reported', (t) => {
  t.deepEqual(kindsOf(withRoute({ timeoutMilliseconds: 1_000 })), [])
  t.deepEqual(kindsOf(withAllowance({ perSecond: 1_150, burst: 200 })), [])
  t.deepEqual(kindsOf(withAllowance({ unit: 'requests', perSecond: 0.5, burst: 1 })), [])
  t.deepEqual(kindsOf(withService({ ...ENGINE, models: new Map([['m', { ...MODEL, megabytes: 990 }]]) })), [])
  t.deepEqual(kindsOf({ ...SOUND, routes: [ROUTE, { ...ROUTE, host: 'other' }, { ...ROUTE, prefix: '/a/b/' }, { ...ROUTE, prefix: '' }] }), [])
})

test('a small allowance of tokens is not reported where no service has models', (t) => {
  t.deepEqual(kindsOf({ ...withAllowance({ perSecond: 500 }), services: new Map([['s', { ...PLAIN_SERVICE, name: 's' }]]) }), [])
})
