import { inspect } from 'node:util'
import test from 'ava'
import { compareConfigurations, severityOf, type ServingConfiguration } from '../index.js'
import { ALLOWANCE, CUSTOMER, customersOf, ENGINE, MODEL, ROUTE, SOUND, withService } from './configurations.test-helper.js'

const CUSTOMER_LOCATION = { kind: 'customer', position: 0, name: 'c' } as const
const ROUTE_LOCATION = { kind: 'route', position: 0, name: 'r', host: 'h', prefix: '/a/' } as const

const differences = (after: Partial<ServingConfiguration>, before: ServingConfiguration = SOUND) => compareConfigurations(before, { ...SOUND, ...after }).differences
const withKeys = (...digests: readonly string[]) => ({ customers: customersOf([CUSTOMER, digests]) })

test('equal configurations have no differences', (t) => {
  t.deepEqual(differences({}), [])
  t.deepEqual(differences({ routes: [ROUTE, ROUTE] }, { ...SOUND, routes: [ROUTE, ROUTE] }), [])
})

test('it is reported that daemons would ignore a version that is not higher than the one in force', (t) => {
  for (const version of [6, 7]) {
    t.deepEqual(compareConfigurations(SOUND, { ...SOUND, version }).findings, [{ kind: 'version-not-higher', location: { kind: 'configuration' }, version, versionInForce: 7 }])
  }
  t.deepEqual(compareConfigurations(SOUND, { ...SOUND, version: 8 }).findings, [])
  t.is(severityOf('version-not-higher'), 'error')
})

test('it is reported that a version without customers serves requests without a key', (t) => {
  const { findings, differences } = compareConfigurations(SOUND, { ...SOUND, version: 8, customers: undefined })
  t.deepEqual(findings.map(({ kind }) => kind), ['keys-no-longer-required'])
  t.true(differences.some((difference) => difference.kind === 'value-changed' && difference.field === 'requiresKeys'))
  t.is(severityOf('keys-no-longer-required'), 'warning')
})

test('a route that disappears is listed, and a moved one is not', (t) => {
  const other = { ...ROUTE, prefix: '/b/' }
  t.deepEqual(differences({ routes: [other] }, { ...SOUND, routes: [ROUTE, other] }), [{ kind: 'entry-removed', location: ROUTE_LOCATION }])
  t.deepEqual(differences({ routes: [other, ROUTE] }), [{ kind: 'entry-added', location: { ...ROUTE_LOCATION, prefix: '/b/' } }])
})

test('changed limits are listed with both values, and a missing limit as null', (t) => {
  t.deepEqual(differences({ limits: { ...SOUND.limits, bodyBytes: 1 } }), [{ kind: 'value-changed', location: { kind: 'client-limits' }, field: 'bodyBytes', before: 4_194_304, after: 1 }])
  t.deepEqual(differences({ routes: [{ ...ROUTE, timeoutMilliseconds: undefined }] }), [{ kind: 'value-changed', location: ROUTE_LOCATION, field: 'timeoutMilliseconds', before: 5_000, after: null }])
  t.deepEqual(differences({ customers: customersOf([{ ...CUSTOMER, allowance: { ...ALLOWANCE, perSecond: 1 } }, ['digest-1', 'digest-2']]) }), [{ kind: 'value-changed', location: CUSTOMER_LOCATION, field: 'perSecond', before: 20_000, after: 1 }])
  t.deepEqual(differences(withService({ ...ENGINE, cacheTokens: 9 })), [{ kind: 'value-changed', location: { kind: 'service', name: 's' }, field: 'cacheTokens', before: null, after: 9 }])
})

test('a changed model and one that disappears are listed', (t) => {
  const location = { kind: 'model', service: 's', name: 'm' }
  t.deepEqual(differences(withService({ ...ENGINE, models: new Map([['m', { ...MODEL, megabytes: 501 }]]) })), [{ kind: 'value-changed', location, field: 'modelMegabytes', before: 500, after: 501 }])
  t.deepEqual(differences(withService({ ...ENGINE, models: new Map() })), [{ kind: 'entry-removed', location }])
})

test('keys that disappear are listed by customer and position, without their digests', (t) => {
  const removed = { kind: 'key-removed', location: CUSTOMER_LOCATION }
  const cases = [
    [withKeys('digest-2'), [{ ...removed, keyPosition: 0 }]],
    [withKeys('digest-1', 'digest-3'), [{ kind: 'key-replaced', location: CUSTOMER_LOCATION, keyPosition: 1 }]],
    [withKeys('digest-1', 'digest-2', 'digest-3'), [{ kind: 'key-added', location: CUSTOMER_LOCATION, keyPosition: 2 }]],
    [withKeys('digest-2', 'digest-1'), []],
    [{ customers: customersOf() }, [{ kind: 'entry-removed', location: CUSTOMER_LOCATION }, { ...removed, keyPosition: 0 }, { ...removed, keyPosition: 1 }]]
  ] as const
  for (const [after, expected] of cases) {
    t.deepEqual(differences(after), expected)
    t.notRegex(inspect(differences(after), { depth: null }), /digest/)
  }
})

test('a key that passes to another customer is listed for both', (t) => {
  const other = { ...CUSTOMER, name: 'c2' }
  const both = (one: readonly string[], two: readonly string[]) => ({ customers: customersOf([CUSTOMER, one], [other, two]) })
  t.deepEqual(differences(both(['digest-1'], ['digest-2']), { ...SOUND, ...both(['digest-1', 'digest-2'], []) }), [
    { kind: 'key-removed', location: CUSTOMER_LOCATION, keyPosition: 1 },
    { kind: 'key-added', location: { kind: 'customer', position: 1, name: 'c2' }, keyPosition: 0 }
  ])
})
