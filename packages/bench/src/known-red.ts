import { readFileSync } from 'node:fs'
import { REPOSITORY_ROOT } from './example-deployment.js'

/**
 * Returns whether `KNOWN-RED.txt` lists the test as a known failure. Such a test still runs, as an
 * expected failure; when it passes, ava reports an error, so that its entry gets removed.
 *
 * @example
 * const declare = isKnownFailure(title) ? test.failing : test
 */
export function isKnownFailure (title: string): boolean {
  try {
    return readFileSync(new URL('KNOWN-RED.txt', REPOSITORY_ROOT), 'utf8').split('\n').includes(`test: ${title}`)
  } catch {
    return false
  }
}
