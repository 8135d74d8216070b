import { writeFileSync } from 'node:fs'

/** Collects what was sent, answered and run, and writes it to `record.txt` at the end. */
export function createRecord (path) {
  const startedAt = performance.now()
  const lines = []
  return {
    at: () => Math.round(performance.now() - startedAt),
    add: (kind, details) => { lines.push(`${String(Math.round(performance.now() - startedAt)).padStart(7)} ${kind} ${typeof details === 'string' ? details : JSON.stringify(details)}`) },
    write: () => writeFileSync(path, `${lines.join('\n')}\n`)
  }
}

export const sleep = async (milliseconds) => await new Promise((resolve) => setTimeout(resolve, milliseconds))

/** Reads a request to its end. */
export const readAll = async (request) => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks)
}
