import type { Milliseconds } from '@fuchsiastage/types'
import { keyOfCause, type PromptCause } from './crash-causes.js'
import type { CrashRecord, ServedAt } from './crash-record.js'
import type { RequestPattern } from './request-patterns.js'

/** Prompt parts that together occur in several crashes and in no request that was served in the meantime. */
export interface PromptPattern extends PromptCause {
  /** Number of consecutive crashes, each of a request that was sent after the crash before. */
  readonly crashes: number
  readonly lastCrashAt: Milliseconds
  /** All crashes at requests with these parts, also at the same time, since the parts were served. */
  readonly records: readonly CrashRecord[]
  /**
   * Other parts that may be the cause instead: they occur in most of the same requests, and in no request
   * that was served in the meantime. A request without them shows whether the pattern is the cause.
   */
  readonly alternatives: readonly string[]
  /** The request that may be the cause instead, because it was there at nearly all of the crashes. */
  readonly alternativeRequest: string | undefined
  /** Whether other requests were served in the meantime. While engines serve nothing, the prompts may not be the cause. */
  readonly isDistinct: boolean
}

/** Consecutive crashes that make a pattern. A sound request is hit by one crash, seldom by two, because the next request is sent to another engine. */
export const MINIMUM_PROMPT_CRASHES = 3
/** Crashes of a pattern in which a part must have occurred to be an alternative. */
const MINIMUM_ALTERNATIVE_CRASHES = MINIMUM_PROMPT_CRASHES - 1
/** Crashes of a pattern at which a request may have been missing to be the cause instead. One crash may have another reason. */
const MAXIMUM_CRASHES_WITHOUT_REQUEST = 1
/** Number of requests that must have been served since the first crash of a pattern to make it distinct. */
const MINIMUM_SERVED_REQUESTS = 3

interface Chain {
  crashes: number
  firstRecord: CrashRecord
  lastCrashAt: Milliseconds
}

/**
 * Finds the prompt parts that explain the crashes. A part is suspected if it occurs in several crashes one
 * after the other and in no request that was served in the meantime. The most specific pattern comes
 * first, so that requests that share only some of its parts are sent, and the crashes that it explains
 * no longer count against the parts that were in flight beside it. Patterns that one request explains as
 * well come last. The records are in the order of their times.
 *
 * @example
 * const patterns = findPromptPatterns(records, (part) => servedAt.get(part) ?? -Infinity, requestPatterns)
 */
export function findPromptPatterns (records: readonly CrashRecord[], servedAt: ServedAt, requestPatterns: readonly RequestPattern[]): readonly PromptPattern[] {
  const patterns: PromptPattern[] = []
  let unexplained = records
  for (;;) {
    const pattern = mostSpecificPattern(unexplained, servedAt, requestPatterns)
    if (pattern === undefined) return patterns
    patterns.push(pattern)
    unexplained = unexplained.filter(({ prompts }) => !prompts.some((prompt) => pattern.parts.every((part) => prompt.parts.includes(part))))
  }
}

function mostSpecificPattern (records: readonly CrashRecord[], servedAt: ServedAt, requestPatterns: readonly RequestPattern[]): PromptPattern | undefined {
  const patterns = [...chainsOf(records, servedAt)]
    .filter(([, { crashes }]) => crashes >= MINIMUM_PROMPT_CRASHES)
    .map(([part, { crashes, lastCrashAt, firstRecord }]): PromptPattern => {
      const common = commonParts(records, part, servedAt)
      return { ...common, crashes, lastCrashAt, alternativeRequest: requestAt(common.records, requestPatterns), isDistinct: firstRecord.servedSince >= MINIMUM_SERVED_REQUESTS }
    })
  return patterns.sort(bySpecificity)[0]
}

/** All daemons order patterns in the same way. */
function bySpecificity (one: PromptPattern, other: PromptPattern): number {
  const hasAlternative = ({ alternativeRequest }: PromptPattern): number => Number(alternativeRequest !== undefined)
  return hasAlternative(one) - hasAlternative(other) || other.parts.length - one.parts.length || other.crashes - one.crashes || (keyOfCause(one) < keyOfCause(other) ? -1 : 1)
}

/** The request that was there at nearly all of the crashes. */
function requestAt (records: readonly CrashRecord[], requestPatterns: readonly RequestPattern[]): string | undefined {
  return requestPatterns.find((request) => records.filter((record) => !request.records.includes(record)).length <= MAXIMUM_CRASHES_WITHOUT_REQUEST)?.fingerprint
}

/** Counts, for each part, the consecutive crashes of requests that were sent after the crash before. Crashes at the same time have a common cause more often than a common prompt. */
function chainsOf (records: readonly CrashRecord[], servedAt: ServedAt): ReadonlyMap<string, Chain> {
  const chains = new Map<string, Chain>()
  for (const record of records) {
    for (const [part, sentAt] of newestSends(record)) {
      if (record.at <= servedAt(part)) continue
      const chain = chains.get(part)
      if (chain === undefined) {
        chains.set(part, { crashes: 1, firstRecord: record, lastCrashAt: record.at })
      } else if (sentAt >= chain.lastCrashAt) {
        chain.crashes++
        chain.lastCrashAt = record.at
      }
    }
  }
  return chains
}

function newestSends ({ prompts }: CrashRecord): ReadonlyMap<string, Milliseconds> {
  const sends = new Map<string, Milliseconds>()
  for (const { parts, sentAt } of prompts) for (const part of parts) sends.set(part, Math.max(sentAt, sends.get(part) ?? -Infinity))
  return sends
}

/** The parts that all suspected prompts with the given part have in common, because the crashes cannot tell them apart, and those that most of them have. */
function commonParts (records: readonly CrashRecord[], part: string, servedAt: ServedAt): Pick<PromptPattern, 'kind' | 'parts' | 'alternatives' | 'records'> {
  const prompts = records.flatMap(({ at, prompts: all }) => all
    .filter(({ parts }) => at > servedAt(part) && parts.includes(part))
    .map(({ parts }) => ({ at, parts: parts.filter((other) => at > servedAt(other)) })))
  const crashesWith = (other: string): number => new Set(prompts.filter(({ parts }) => parts.includes(other)).map(({ at }) => at)).size
  const suspected = [...new Set(prompts.flatMap(({ parts }) => parts))].sort()
  const parts = suspected.filter((common) => prompts.every((prompt) => prompt.parts.includes(common)))
  return {
    kind: 'prompt',
    parts,
    records: records.filter((record) => record.at > servedAt(part) && record.prompts.some((prompt) => prompt.parts.includes(part))),
    alternatives: suspected.filter((other) => !parts.includes(other) && crashesWith(other) >= MINIMUM_ALTERNATIVE_CRASHES)
  }
}
