import type { LeaseRecord } from './lease-record.js'

/** More than the number of records of the lease topic within one era. */
const TERMS_PER_ERA = 2 ** 32

export interface TermBaseInput {
  /** Era of the log service; undefined if it states none. */
  readonly era: number | undefined
  /** The record before the claim; undefined if the topic has none, or if it is not known. */
  readonly preceding: LeaseRecord | undefined
  /** Whether this daemon has seen the log service return to an older copy. */
  readonly hasSeenRestore: boolean
  /** The highest base that this daemon has read. */
  readonly highestBase: number
}

/**
 * Returns what the term of a claim adds to the offset of the claim. Offsets rise within an era only, and
 * the records of the highest terms may be lost with an older copy, so each later era has a range of terms of
 * its own. Claims that follow a record of an earlier version of the daemon continue its terms, which are offsets.
 *
 * @example
 * const term = chooseTermBase({ era: 2, preceding: undefined, hasSeenRestore: false, highestBase: 0 }) + offset
 */
export function chooseTermBase ({ era, preceding, hasSeenRestore, highestBase }: TermBaseInput): number {
  const eraBase = (era ?? 0) * TERMS_PER_ERA
  const continuesTerms = preceding !== undefined && (preceding.era === era || (preceding.era === undefined && !hasSeenRestore))
  return Math.max(highestBase, continuesTerms ? preceding.termBase ?? 0 : eraBase)
}
