import test from 'ava'
import { CAPACITY_PARTS, formatTable, runCapacity } from './index.js'
import { fitLine, quantile } from './measure.js'

const SCALE = 0.02
/** Parts that start processes and take many seconds at any scale. Only the command runs them. */
const PARTS_WITH_PROCESSES = ['reading', 'peer', 'observation', 'vm-list', 'daemon', 'request', 'streams']

test('fitLine returns slope and intercept, and quantile the median', (t) => {
  const { slope, intercept } = fitLine([[1, 5], [2, 7], [4, 11]])
  t.true(Math.abs(slope - 2) < 1e-9 && Math.abs(intercept - 3) < 1e-9)
  t.is(quantile([3, 1, 2], 0.5), 2)
})

test('an unknown part is rejected with an error that lists the known parts', async (t) => {
  await t.throwsAsync(runCapacity('unknown'), { message: /configuration, reading/ })
})

// Guards against a measurement that no longer runs after a change of the measured package.
for (const { name } of CAPACITY_PARTS.filter((part) => !PARTS_WITH_PROCESSES.includes(part.name))) {
  test.serial(`${name}: the measurement runs at a small scale`, async (t) => {
    const report = await runCapacity(name, { seed: 1, scale: SCALE })
    t.is(report.part, name)
    for (const table of report.tables) {
      t.true(table.rows.length > 0)
      for (const row of table.rows) t.is(row.length, table.columns.length)
      t.true(formatTable(table).includes(table.title))
    }
  })
}
