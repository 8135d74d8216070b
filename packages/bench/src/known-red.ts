import { readFileSync } from 'node:fs'
import { REPOSITORY_ROOT } from './example-deployment.js'

/**
 * Whether `KNOWN-RED.txt` lists the test: it is then expected to fail, is still run and printed, and
 * a pass makes it fail so that the entry gets removed.
 *
 * @example
 * const declare = isKnownRed(title) ? test.failing : test
 */
export function isKnownRed (title: string): boolean {
  try {
    return readFileSync(new URL('KNOWN-RED.txt', REPOSITORY_ROOT), 'utf8').split('\n').includes(`test: ${title}`)
  } catch {
    return false
  }
}
