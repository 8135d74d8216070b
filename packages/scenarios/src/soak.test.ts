import test from 'ava'
import { runSoak } from './soak.js'

/** A small fixed set of seeds keeps the run short enough for CI; `fuchsiastage soak` runs more. */
const SEEDS = [11, 12, 13, 14, 15, 16, 17, 18, 19, 20]
const STEPS = 40

for (const seed of SEEDS) {
  test.serial(`random steps with all kinds of faults violate no guarantee, seed ${seed}`, async (t) => {
    const { failure } = await runSoak({ seed, steps: STEPS })
    t.is(failure, undefined)
  })
}
