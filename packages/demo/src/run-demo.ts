import { mkdtempSync, readdirSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createSystemClock } from '@fuchsiastage/clock'
import { startProcesses } from '@fuchsiastage/stand-ins'
import { filterByRequest, formatTimeline, mergeTimeline } from '@fuchsiastage/timeline'
import { readExample } from './example.js'
import { draftLetter, sendCallTwice, racePatches, showEntries, stopGracefully, submitInitialPatch, type DemoContext } from './steps.js'

export const CLI_PATH = fileURLToPath(new URL('../../cli/bin/fuchsiastage.js', import.meta.url))

/**
 * Runs the demo. Resolves with true if every step had the expected result.
 *
 * @example
 * process.exitCode = await runDemo('renewal-office') ? 0 : 1
 */
export async function runDemo (name: string): Promise<boolean> {
  const clock = createSystemClock()
  const example = readExample(name)
  const folder = mkdtempSync(join(tmpdir(), 'fuchsiastage-demo-'))
  const print = (text: string): void => { process.stdout.write(text + '\n') }
  let failedChecks = 0
  const check = (isMet: boolean, fact: string): void => {
    print(`  ${isMet ? 'ok    ' : 'FAILED'} ${fact}`)
    if (!isMet) failedChecks++
  }
  print(`Starting ${name}: ${example.description.vms.length} VMs and the platform as separate processes; logs in ${folder}`)
  const processes = await startProcesses(example.description, {
    clock,
    folder,
    daemon: (vm) => ({ command: process.execPath, arguments: [CLI_PATH, 'daemon', '--settings', example.settingsFile(vm.name)] })
  })
  const context: DemoContext = { clock, example, processes, print, check }
  try {
    print('Initial configuration')
    await submitInitialPatch(context)
    print('Entries')
    await showEntries(context)
    print('Streamed letter')
    const request = await draftLetter(context)
    print('Non-idempotent call')
    await sendCallTwice(context)
    print('Concurrent patches')
    await racePatches(context)
    print('Planned stop')
    await stopGracefully(context)
    print('Timeline of the first letter')
    const timeline = formatRequestTimeline(folder, request)
    print(timeline)
    check(timeline.includes('request-sent'), 'the timeline shows the target to which the request was sent')
  } finally {
    const exits = await processes.stopAll()
    const unclean = [...exits].filter(([, exit]) => exit.code !== 0)
    check(unclean.length === 0, `all processes exited with code 0${unclean.map(([process, exit]) => ` (${process}: ${exit.code ?? exit.signal})`).join('')}`)
  }
  print(failedChecks === 0 ? 'All steps succeeded.' : `${failedChecks} step(s) failed.`)
  return failedChecks === 0
}

/** Formats the timeline of one request from the log files in a folder. */
export function formatRequestTimeline (folder: string, request: string): string {
  const files = readdirSync(folder).filter((file) => file.endsWith('.jsonl')).map((file) => ({ name: file, lines: readFileSync(join(folder, file), 'utf8').split('\n') }))
  return formatTimeline(filterByRequest(mergeTimeline(files).entries, request))
}
