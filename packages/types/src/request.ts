/**
 * What is known about a request that did not end with its ordinary answer.
 * `not-run`: provably no byte reached a target. `unknown`: it may have run.
 */
export type RequestOutcome = 'done' | 'not-run' | 'unknown'
