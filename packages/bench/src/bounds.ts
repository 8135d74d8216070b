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
    /** Report lookups of one routing decision: the number with the most targets divided by the number with the fewest. */
    maximumLookupGrowth: ratio,
    /** By routing case: p95 time to first token divided by that of the best baseline. */
    maximumRatioToBestBaseline: z.record(z.string(), ratio),
    burst: z.strictObject({ urgentRefusedAtMostShareOf: z.literal('normal') })
  }),
  realTime: z.strictObject({
    /** Median duration of one routing decision: the value with the most targets divided by the value with the fewest. */
    maximumDecisionRatio: ratio
  })
})

export type Bounds = z.infer<typeof bounds>

/** Result of comparing one measured figure with its bound. */
export interface BoundComparison {
  readonly name: string
  readonly value: number
  readonly bound: number
  readonly isMet: boolean
}

/**
 * Reads `bench/bounds.json`. The bounds follow from the performance goals of the project; they are
 * never derived from measured figures.
 *
 * @example
 * const { coldStart } = readBounds()
 */
export function readBounds (): Bounds {
  return bounds.parse(JSON.parse(readFileSync(new URL('bench/bounds.json', REPOSITORY_ROOT), 'utf8')))
}

export function compareWithMaximum (name: string, value: number, bound: number): BoundComparison {
  return { name, value, bound, isMet: value <= bound }
}
