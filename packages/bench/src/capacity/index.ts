/**
 * Measurements of the figures in `docs/CAPACITY.md`.
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createSystemClock } from '@fuchsiastage/clock'
import type { Command } from 'commander'
import { describeCommit, describeMachine, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'
import { claimsPart } from './part-claims.js'
import { configurationPart } from './part-configuration.js'
import { fleetCrashesPart } from './part-crashes.js'
import { leasesPart } from './part-leases.js'
import { majorityPart } from './part-majority.js'
import { membershipPart } from './part-membership.js'
import { daemonPart } from './part-daemon.js'
import { fleetExchangePart, fleetPlacementPart } from './part-fleet.js'
import { fleetHandoversPart } from './part-handovers.js'
import { fleetLimitsPart } from './part-limits.js'
import { holderPart, placementPart } from './part-placement.js'
import { readingPart } from './part-reading.js'
import { requestPart, streamsPart } from './part-request.js'
import { routingPart } from './part-routing.js'
import { listPart, observationPart, peerPart } from './part-peer.js'

export type { CapacityOptions, CapacityPart, CapacityTable } from './measure.js'

export const CAPACITY_PARTS: readonly CapacityPart[] = [
  configurationPart,
  readingPart,
  majorityPart,
  membershipPart,
  placementPart,
  holderPart,
  claimsPart,
  routingPart,
  leasesPart,
  peerPart,
  observationPart,
  listPart,
  daemonPart,
  requestPart,
  streamsPart,
  fleetExchangePart,
  fleetPlacementPart,
  fleetLimitsPart,
  fleetCrashesPart,
  fleetHandoversPart
]

export interface CapacityReport {
  readonly part: string
  readonly commit: string
  readonly seed: number
  readonly scale: number
  readonly machine: string
  readonly measuredAt: string
  readonly seconds: number
  readonly tables: readonly CapacityTable[]
}

const DEFAULT_SEED = 1

/**
 * Runs one part of the capacity measurements.
 *
 * @example
 * const report = await runCapacity('claims', { seed: 1 })
 */
export async function runCapacity (part: string, options: Partial<CapacityOptions> = {}): Promise<CapacityReport> {
  const capacityPart = CAPACITY_PARTS.find(({ name }) => name === part)
  if (capacityPart === undefined) throw new Error(`unknown part: ${part}; the parts are ${CAPACITY_PARTS.map(({ name }) => name).join(', ')}`)
  const { seed = DEFAULT_SEED, scale = 1 } = options
  const clock = createSystemClock()
  const startedAt = clock.now()
  const tables = await capacityPart.run({ seed, scale })
  return {
    part,
    commit: await describeCommit(),
    seed,
    scale,
    machine: describeMachine(),
    measuredAt: new Date(clock.wallNow()).toISOString(),
    seconds: Math.round((clock.now() - startedAt) / 100) / 10,
    tables
  }
}

/**
 * Formats a table as Markdown.
 *
 * @example
 * process.stdout.write(formatTable(report.tables[0]))
 */
export function formatTable ({ title, columns, rows }: CapacityTable): string {
  const line = (cells: readonly (string | number)[]): string => `| ${cells.join(' | ')} |`
  return [title, '', line(columns), line(columns.map(() => '---')), ...rows.map(line), ''].join('\n')
}

/**
 * Adds `capacity <part>`, which prints the tables and writes `capacity-<part>.json`.
 *
 * @example
 * addCapacityCommand(program)
 */
export function addCapacityCommand (program: Command): void {
  const names = CAPACITY_PARTS.map(({ name }) => name)
  program.command('capacity')
    .argument('<part>', `one of ${names.join(', ')}`)
    .description('Measure the figures of docs/CAPACITY.md on this machine and write them to a result file.')
    .option('--seed <number>', 'seed of the random numbers', Number, DEFAULT_SEED)
    .option('--scale <number>', 'fraction of the full sizes and amount of work', Number, 1)
    .option('--results <directory>', 'directory to write the result file to', 'bench/results')
    .addHelpText('after', '\nExample:\n  fuchsiastage bench capacity claims --seed 1')
    .action(async (part: string, options: { readonly seed: number, readonly scale: number, readonly results: string }) => {
      const report = await runCapacity(part, options)
      for (const table of report.tables) process.stdout.write(`${formatTable(table)}\n`)
      await mkdir(options.results, { recursive: true })
      const file = join(options.results, `capacity-${part}.json`)
      await writeFile(file, `${JSON.stringify(report, undefined, 2)}\n`)
      process.stdout.write(`${file}: commit ${report.commit}, seed ${report.seed}, ${report.seconds} s, ${report.machine}\n`)
    })
}
