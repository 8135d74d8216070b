import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { REPOSITORY_ROOT } from './example-deployment.js'

const ratio = z.number().positive()
const deploymentBounds = z.strictObject({
  comparedWith: z.literal('fixed-keep-alive'),
  maximumP99Ratio: ratio,
  maximumIdleRatio: ratio
})

const bounds = z.strictObject({
  coldStart: z.strictObject({
    seeds: z.array(z.number().int()).min(1),
    'co-operative': deploymentBounds,
    'renewal-office': deploymentBounds,
    worseThanNoBaselineOnBoth: z.literal(true)
  }),
  route: z.strictObject({
    seed: z.number().int(),
    /** Looked-up reports of a decision at the largest number of targets, as a ratio to the smallest. */
    maximumLookupGrowth: ratio,
    /** Time to first token at p95, as a ratio to the best of the baselines, by case. */
    maximumRatioToBestBaseline: z.record(z.string(), ratio),
    burst: z.strictObject({ urgentRefusedAtMostShareOf: z.literal('normal') })
  }),
  realTime: z.strictObject({
    /** Median time of a decision at the largest number of targets, as a ratio to the smallest. */
    maximumDecisionRatio: ratio
  })
})

export type Bounds = z.infer<typeof bounds>

/** One comparison of a figure with its bound. */
export interface Verdict {
  readonly name: string
  readonly value: number
  readonly bound: number
  readonly isMet: boolean
}

/**
 * Reads `bench/bounds.json`. The bounds come from the targets of the project, never from measured figures.
 *
 * @example
 * const { coldStart } = readBounds()
 */
export function readBounds (): Bounds {
  return bounds.parse(JSON.parse(readFileSync(new URL('bench/bounds.json', REPOSITORY_ROOT), 'utf8')))
}

export function atMost (name: string, value: number, bound: number): Verdict {
  return { name, value, bound, isMet: value <= bound }
}
