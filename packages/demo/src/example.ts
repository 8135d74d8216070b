import { mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { parseDeployment, parseSettings, type Settings } from '@fuchsiastage/settings'
import { describeDeployment, type DeploymentDescription } from '@fuchsiastage/stand-ins'

const EXAMPLES_FOLDER = fileURLToPath(new URL('../../../examples/', import.meta.url))

/** Requests that the demo sends to an example deployment. */
interface ExampleRequests {
  readonly model: string
  readonly modelToken: string
  /** Bearer token of a caller that may use every model. */
  readonly everyModelToken: string
  readonly prompt: string
  readonly servicePath: string
  readonly serviceToken: string
  readonly serviceRole: string
  readonly serviceBody: unknown
}

export interface Example extends ExampleRequests {
  readonly description: DeploymentDescription
  readonly settings: ReadonlyMap<string, Settings>
  readonly settingsFile: (daemon: string) => string
  readonly initialPatch: { readonly changes: readonly { readonly key: string, readonly value: unknown }[] }
}

const REQUESTS: Readonly<Record<string, ExampleRequests>> = {
  'renewal-office': {
    model: 'renewal-letter-plain',
    modelToken: 'example-token-letter-run',
    everyModelToken: 'example-token-branch-assistants',
    prompt: 'Draft the renewal letter for a twelve-month term deposit that matures on Friday.',
    servicePath: '/services/ledger/rollovers',
    serviceToken: 'example-token-rollover-desk',
    serviceRole: 'ledger',
    serviceBody: { deposit: 'D-1041', term: 12 }
  },
  'co-operative': {
    model: 'design-brief-animal',
    modelToken: 'example-token-makers',
    everyModelToken: 'example-token-makers',
    prompt: 'Draft a design brief for a small back piece and check its placement against the skin notes.',
    servicePath: '/services/desk-app/deposit-confirmations',
    serviceToken: 'example-token-deposit-desk',
    serviceRole: 'desk-app',
    serviceBody: { booking: 'B-88', deposit: 500 }
  }
}

export const EXAMPLE_NAMES: readonly string[] = Object.keys(REQUESTS)

/**
 * Copies the files of an example with all ports shifted, so that it can run beside another deployment.
 *
 * @example
 * const example = readExample('renewal-office', copyExample('renewal-office', folder, 10_000))
 */
export function copyExample (name: string, folder: string, portShift: number): string {
  mkdirSync(folder, { recursive: true })
  const source = join(EXAMPLES_FOLDER, name)
  for (const file of readdirSync(source).filter((entry) => entry.endsWith('.ini') || entry.endsWith('.json'))) {
    const text = readFileSync(join(source, file), 'utf8')
    writeFileSync(join(folder, file), text.replaceAll(/127\.0\.0\.1:(\d+)/g, (_address, port: string) => `127.0.0.1:${Number(port) + portShift}`))
  }
  return folder
}

/** Reads an example deployment with the settings of its daemons. */
export function readExample (name: string, folder: string = join(EXAMPLES_FOLDER, name)): Example {
  const requests = REQUESTS[name]
  if (requests === undefined) throw new Error(`unknown example: ${name}; the examples are ${EXAMPLE_NAMES.join(' and ')}`)
  const read = (file: string): string => readFileSync(join(folder, file), 'utf8')
  const deployment = parseDeployment(read('deployment.ini')).unwrapOrElse((faults) => { throw new Error(JSON.stringify(faults)) })
  const description = describeDeployment(deployment)
  const daemons = description.vms.filter(({ role }) => role === 'entry').map((vm) => vm.name)
  const settings = new Map(daemons.map((daemon) => [
    daemon,
    parseSettings(read(`${daemon}.ini`)).unwrapOrElse((faults) => { throw new Error(JSON.stringify(faults)) })
  ]))
  return {
    ...requests,
    description,
    settings,
    settingsFile: (daemon) => join(folder, `${daemon}.ini`),
    initialPatch: JSON.parse(read('configuration.json')) as Example['initialPatch']
  }
}
