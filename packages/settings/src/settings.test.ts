import { readdirSync, readFileSync } from 'node:fs'
import test from 'ava'
import { findEnvironmentFaults, formatFaults, parseDeployment, parseSettings, settingsReference } from './index.js'

const examples = new URL('../../../examples/', import.meta.url)
const readExample = (path: string): string => readFileSync(new URL(path, examples), 'utf8')
const exampleSettings = readExample('renewal-office/entry-1.ini')

const faultsOf = (text: string): readonly string[] => {
  const result = parseSettings(text)
  return result.isErr ? formatFaults(result.error) : []
}

for (const deployment of ['renewal-office', 'co-operative']) {
  const files = readdirSync(new URL(`${deployment}/`, examples)).filter((file) => file.startsWith('entry-'))

  test(`the example settings of ${deployment} are valid and match its deployment`, (t) => {
    t.is(files.length, 8)
    const described = parseDeployment(readExample(`${deployment}/deployment.ini`))
    if (described.isErr) return t.fail(formatFaults(described.error).join('\n'))
    const { vms, logService, vmList, weightStore } = described.value
    const addresses = new Set<string>()
    for (const file of files) {
      const settings = parseSettings(readExample(`${deployment}/${file}`))
      if (settings.isErr) return t.fail(formatFaults(settings.error).join('\n'))
      const { daemon, listen } = settings.value
      t.is(`${daemon.name}.ini`, file)
      t.like(vms.get(daemon.name), { role: 'entry', dataCentre: daemon.dataCentre, address: listen.callers, peerAddress: listen.peers })
      t.is(settings.value.logService.address, logService.address)
      t.is(settings.value.vmList.address, vmList.address)
      t.is(settings.value.weightStore.loadsPerSecond, weightStore.loadsPerSecond)
      for (const address of [listen.callers, listen.operators, listen.peers]) addresses.add(address)
    }
    for (const vm of vms.values()) addresses.add(vm.address)
    // Eight daemons with three addresses each and twelve targets.
    t.is(addresses.size, 8 * 3 + 12)
    t.true([...addresses].every((address) => address.startsWith('127.0.0.1:')))
  })
}

test('parsed settings contain the defaults of omitted keys', (t) => {
  const settings = parseSettings(exampleSettings)
  t.snapshot(settings.isOk && { ...settings.value, dataCentres: Object.fromEntries(settings.value.dataCentres) })
})

test('settings are read-only', (t) => {
  const settings = parseSettings(exampleSettings)
  t.throws(() => { (settings.unwrapOr(undefined as never) as { logging: { level: string } }).logging.level = 'debug' }, { instanceOf: TypeError })
})

test('every fault is listed with section, key, value given and value expected', (t) => {
  t.snapshot(faultsOf(`
stray = 1
[daemon]
name = entry 1
data-centre = nowhere
[listen]
callers = localhost:80
operators = 127.0.0.1
peers = 127.0.0.1:70000
[log-service]
address = http://127.0.0.1:7000
poll-milliseconds = 2s
retry-milliseconds = -1
[vm-list]
address = [::1]:7001
pol-milliseconds = 10
[peers]
key = short
[operators]
[data-centre.van-a]
region = bc-coast
latency-milliseconds =
[data-centre]
region = bc-coast
[weight-store]
loads-per-second = 0
concurrent-loads = 1.5
[configuration]
unverified = perhaps
[loging]
level = debug
[logging]
level = loud
`))
})

test('a key that occurs twice in a section is a fault, the same key in two sections is not', (t) => {
  t.deepEqual(faultsOf(exampleSettings.replace('[logging]', '[logging]\nlevel = debug')), ['[logging] level: given 2 values, expected the key once'])
  t.deepEqual(faultsOf(exampleSettings + '[daemon]\nname = other\n'), ['[daemon] name: given 2 values, expected the key once'])
})

test('values that violate a constraint between keys are faults', (t) => {
  const changed = exampleSettings
    .replace('data-centre = van-a', 'data-centre = elsewhere')
    .replace('127.0.0.1:7102', '127.0.0.1:7101')
    .replace('[vm-list]', 'lease-doubt-milliseconds = 9000\nlease-renew-milliseconds = 9000\n\n[vm-list]')
    .replace('[operators]', 'previous-key = example-peer-key-renewal-office\n\n[operators]')
  t.deepEqual(faultsOf(changed), [
    '[daemon] data-centre: given elsewhere, expected one of the sections data-centre.name: van-a, van-b, vic-a, kam-a',
    '[listen] operators: given 127.0.0.1:7101, expected an address other than that of callers',
    '[log-service] lease-doubt-milliseconds: given 9000, expected more than lease-renew-milliseconds, which is 9000',
    '[log-service] lease-lapse-milliseconds: given 9000, expected more than lease-doubt-milliseconds, which is 9000',
    '[peers] previous-key: given (not shown), expected a value other than the current one'
  ])
})

test('no fault contains the value of a key or token, even if it appears in the wrong place', (t) => {
  const secret = 's3cret-v4lue'
  const texts = [
    `[peers]\nkey = ${secret}`,
    `[peers]\nkey = ${secret}\nkey = ${secret}`,
    `[peers]\n${secret}`,
    `[peers]\nkey: ${secret}`,
    `[peers]\nkey ${secret}`,
    `[operators]\ntokens = ${secret}`,
    `[operators]\ntoken = ${secret}\nprevious-token = ${secret}`,
    `key = ${secret}`,
    `[operator]\ntoken = ${secret}`,
    `[operators.token]\nvalue = ${secret}`
  ]
  for (const text of texts) {
    const faults = faultsOf(text)
    t.true(faults.length > 0)
    t.false(faults.join('\n').includes(secret), text)
  }
})

test('quoted values keep semicolons, and a quoted JSON object is a fault instead of a section', (t) => {
  const withSemicolon = parseSettings(exampleSettings.replace('example-operator-token-renewal-office', '"example;operator#token"'))
  t.is(withSemicolon.isOk && withSemicolon.value.operators.token, 'example;operator#token')
  t.is(faultsOf(exampleSettings.replace('name = entry-1', 'name = \'{"a":1}\'')).length, 1)
})

test('an environment that enables io_uring is a fault', (t) => {
  const isFault = (value: string | undefined) => findEnvironmentFaults({ UV_USE_IO_URING: value }).length > 0
  t.deepEqual([undefined, '', '0', 'no', '1', '2', ' 1'].map(isFault), [false, false, false, false, true, true, true])
})

test('invalid values in a deployment description are faults', (t) => {
  const text = readExample('renewal-office/deployment.ini')
    .replace('role = drafter', 'role = drafters')
    .replace('memory-megabytes = 160000', 'memory-megabytes = 40000')
    .replace('127.0.0.1:7302', '127.0.0.1:7301')
    .replace(/peer-address = 127.0.0.1:7103\n/, '')
  const result = parseDeployment(text)
  t.snapshot(result.isErr && formatFaults(result.error))
})

test('the settings reference lists every key with its default', (t) => {
  t.snapshot(settingsReference())
})
