// The record of a case, and its end.
import { writeFileSync } from 'node:fs'

/** Whether the case runs with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** Creates the record of a case, which is written to the given file. `end` writes it and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export function createRecord (fileUrl) {
  const lines = []
  const startedAt = Date.now()
  const note = (text) => { lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`) }
  return {
    note,
    end: (code, text) => {
      note(text)
      writeFileSync(fileUrl, lines.join('\n') + '\n')
      console.log(text)
      process.exit(code)
    }
  }
}

/** Runs a case: ends its deployment in any event. `run` returns the result as `[code, text]`. */
export async function runCase (record, start, run) {
  let deployment
  try {
    deployment = await start()
    const [code, text] = await run(deployment)
    await deployment.end()
    record.end(code, text)
  } catch (reason) {
    await deployment?.end()
    record.end(2, `the case could not run: ${reason?.stack ?? reason}`)
  }
}
