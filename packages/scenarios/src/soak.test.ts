import test from 'ava'
import { runSoak } from './soak.js'

/** Few enough for CI; `fuchsiastage soak` runs more. */
const SEEDS = [11, 12, 13, 14, 15, 16, 17, 18, 19, 20]
const STEPS = 40

for (const seed of SEEDS) {
  test.serial(`the randomised mix of all faults with seed ${seed} breaks no guarantee`, async (t) => {
    const { failure } = await runSoak({ seed, steps: STEPS })
    t.is(failure, undefined)
  })
}
