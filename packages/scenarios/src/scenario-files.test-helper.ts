import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { readScenario, runScenario } from './run-scenario.js'

const FOLDER = new URL('../../../scenarios/', import.meta.url)
const KNOWN_RED = new URL('../../../KNOWN-RED.txt', import.meta.url)

/** Declares one serial test for each scenario file whose name starts with the letter of the group. */
export function testScenarioFiles (group: string): void {
  const knownRed = new Set(existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8').split('\n') : [])
  for (const file of readdirSync(FOLDER).sort()) {
    if (!file.startsWith(group) || !file.endsWith('.yaml')) continue
    const run = () => readScenario(fileURLToPath(new URL(file, FOLDER))).then(runScenario)
    if (knownRed.has(`scenarios/${file}`)) {
      // AVA prints this test as an expected failure, and fails it once the scenario passes, so that the entry gets removed.
      test.serial.failing(`${file} (KNOWN-RED.txt)`, async (t) => {
        const { title, violations, unmetExpectations } = await run()
        t.deepEqual([...violations, ...unmetExpectations], [], title)
      })
      continue
    }
    test.serial(file, async (t) => {
      const { title, violations, unmetExpectations, timeline } = await run()
      t.deepEqual(violations, [], title)
      t.deepEqual(unmetExpectations, [], title)
      t.snapshot(timeline, title)
    })
  }
}
