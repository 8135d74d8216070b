import type { Milliseconds } from '@fuchsiastage/types'

/** Shared prompt parts of a request that an engine had not answered, or had just begun to answer, when it crashed. */
export interface SuspectedPrompt {
  readonly parts: readonly string[]
  /** Monotonic time of the newest of the requests with these parts. */
  readonly sentAt: Milliseconds
}

export interface CrashRecord {
  /** Monotonic time at which the crash was observed. */
  readonly at: Milliseconds
  readonly prompts: readonly SuspectedPrompt[]
  /** Number of requests that engines have served since then. */
  readonly servedSince: number
}

/** Prompt parts that together occur in several crashes and in no request that was served in the meantime. */
export interface CrashPattern {
  readonly parts: readonly string[]
  /** Number of consecutive crashes, each of a request that was sent after the crash before. */
  readonly crashes: number
  readonly lastCrashAt: Milliseconds
  /**
   * Other parts that may be the cause instead: they occur in most of the same requests, and in no request
   * that was served in the meantime. A request without them shows whether the pattern is the cause.
   */
  readonly alternatives: readonly string[]
  /** Whether other requests were served in the meantime. While engines serve nothing, the prompts may not be the cause. */
  readonly isDistinct: boolean
}

/** Consecutive crashes that make a pattern. A sound request is hit by one crash, seldom by two, because the next request is sent to another engine. */
export const MINIMUM_CRASHES = 3
/** Crashes of a pattern in which a part must have occurred to be an alternative. */
const MINIMUM_ALTERNATIVE_CRASHES = MINIMUM_CRASHES - 1
/** Number of requests that must have been served since the first crash of a pattern to make it distinct. */
const MINIMUM_SERVED_REQUESTS = 3

interface Chain {
  crashes: number
  firstRecord: CrashRecord
  lastCrashAt: Milliseconds
}

type ServedAt = (part: string) => Milliseconds

/**
 * Finds the patterns that explain the crashes. A part is suspected if it occurs in several crashes one
 * after the other and in no request that was served in the meantime. The most specific pattern comes
 * first, so that requests that share only some of its parts are sent, and the crashes that it explains
 * no longer count against the parts that were in flight beside it.
 *
 * @example
 * const patterns = findCrashPatterns(records, (part) => servedAt.get(part) ?? -Infinity)
 */
export function findCrashPatterns (records: readonly CrashRecord[], servedAt: ServedAt): readonly CrashPattern[] {
  const patterns: CrashPattern[] = []
  let unexplained = [...records].sort((one, other) => one.at - other.at)
  for (;;) {
    const pattern = mostSpecificPattern(unexplained, servedAt)
    if (pattern === undefined) return patterns
    patterns.push(pattern)
    unexplained = unexplained.filter(({ prompts }) => !prompts.some((prompt) => pattern.parts.every((part) => prompt.parts.includes(part))))
  }
}

function mostSpecificPattern (records: readonly CrashRecord[], servedAt: ServedAt): CrashPattern | undefined {
  const patterns = [...chainsOf(records, servedAt)]
    .filter(([, { crashes }]) => crashes >= MINIMUM_CRASHES)
    .map(([part, { crashes, lastCrashAt, firstRecord }]): CrashPattern => ({
      ...commonParts(records, part, servedAt), crashes, lastCrashAt, isDistinct: firstRecord.servedSince >= MINIMUM_SERVED_REQUESTS
    }))
  return patterns.sort(bySpecificity)[0]
}

/** All daemons order equally specific patterns in the same way. */
function bySpecificity (one: CrashPattern, other: CrashPattern): number {
  return other.parts.length - one.parts.length || other.crashes - one.crashes || (one.parts.join() < other.parts.join() ? -1 : 1)
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
function commonParts (records: readonly CrashRecord[], part: string, servedAt: ServedAt): Pick<CrashPattern, 'parts' | 'alternatives'> {
  const prompts = records.flatMap(({ at, prompts: all }) => all
    .filter(({ parts }) => at > servedAt(part) && parts.includes(part))
    .map(({ parts }) => ({ at, parts: parts.filter((other) => at > servedAt(other)) })))
  const crashesWith = (other: string): number => new Set(prompts.filter(({ parts }) => parts.includes(other)).map(({ at }) => at)).size
  const suspected = [...new Set(prompts.flatMap(({ parts }) => parts))].sort()
  const parts = suspected.filter((common) => prompts.every((prompt) => prompt.parts.includes(common)))
  return { parts, alternatives: suspected.filter((other) => !parts.includes(other) && crashesWith(other) >= MINIMUM_ALTERNATIVE_CRASHES) }
}
