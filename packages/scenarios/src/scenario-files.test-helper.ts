import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { readScenario, runScenario } from './run-scenario.js'

const FOLDER = new URL('../../../scenarios/', import.meta.url)

/** Declares one test for each scenario file of a group; the files of one process run one after the other. */
export function testScenarioFiles (group: string): void {
  for (const file of readdirSync(FOLDER).sort()) {
    if (!file.startsWith(group) || !file.endsWith('.yaml')) continue
    test.serial(file, async (t) => {
      const result = await runScenario(await readScenario(fileURLToPath(new URL(file, FOLDER))))
      t.deepEqual(result.violations, [], result.title)
      t.deepEqual(result.unmet, [], result.title)
      t.snapshot(result.timeline, result.title)
    })
  }
}
