/**
 * Whether a target executed a request. `done`: the target executed it and returned a result.
 * `not-run`: it was provably not executed, because it did not reach a target or the target refused it.
 * `unknown`: it may have been executed.
 */
export type RequestOutcome = 'done' | 'not-run' | 'unknown'
