import type { CrashCause } from './crash-causes.js'
import type { CrashRecord, ServedAt } from './crash-record.js'
import { findPromptPatterns, type PromptPattern } from './prompt-patterns.js'
import { findRequestPatterns, type RequestPattern } from './request-patterns.js'

/** A cause that explains several crashes, with what shows it. */
export type CrashPattern = PromptPattern | RequestPattern

/** The cause alone. */
export function causeOf (pattern: CrashPattern): CrashCause {
  switch (pattern.kind) {
    case 'prompt':
      return { kind: 'prompt', parts: pattern.parts }
    case 'request':
      return { kind: 'request', fingerprint: pattern.fingerprint }
  }
}

/**
 * Finds the patterns that explain the crashes: requests that come again, and prompt parts. A request whose
 * crashes are explained by prompt parts that other requests have as well makes no pattern.
 *
 * @example
 * const patterns = findCrashPatterns(records, { part: () => -Infinity, request: () => -Infinity })
 */
export function findCrashPatterns (records: readonly CrashRecord[], servedAt: { readonly part: ServedAt, readonly request: ServedAt }): readonly CrashPattern[] {
  const sorted = [...records].sort((one, other) => one.at - other.at)
  const requestPatterns = findRequestPatterns(sorted, servedAt.request)
  const promptPatterns = findPromptPatterns(sorted, servedAt.part, requestPatterns)
  const explained = new Set(promptPatterns.filter(({ alternativeRequest }) => alternativeRequest === undefined).flatMap((pattern) => pattern.records))
  return [...requestPatterns.filter((pattern) => !pattern.records.every((record) => explained.has(record))), ...promptPatterns]
}
