import test from 'ava'
import { checkColdStartBounds, readBounds, runColdStart } from './index.js'
import { isKnownFailure } from './known-red.js'

// Each deployment has a separate test file, so that the simulations run in parallel.
const deployment = 'renewal-office'
const result = runColdStart({ deployment, seeds: readBounds().coldStart.seeds })

// Guards against a change of the policy or of placement that increases cold-start time or idle hours.
for (const bound of [
  'p99 cold-start time against fixed-keep-alive',
  'idle accelerator hours against fixed-keep-alive',
  'worse than fixed-keep-alive on both figures (1 is yes)',
  'worse than always-warm on both figures (1 is yes)',
  'worse than least-recently-used on both figures (1 is yes)'
]) {
  const title = `${deployment}: ${bound}`
  const declare = isKnownFailure(title) ? test.failing : test
  declare(title, async (t) => {
    const comparison = checkColdStartBounds(await result).find(({ name }) => name === title)
    t.true(comparison?.isMet, JSON.stringify(comparison))
  })
}
