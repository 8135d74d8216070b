/** All requests whose prompts contain these parts. */
export interface PromptCause {
  readonly kind: 'prompt'
  readonly parts: readonly string[]
}

/** One request, which comes again. */
export interface RequestCause {
  readonly kind: 'request'
  readonly fingerprint: string
}

/** What the crashes of several targets have in common. */
export type CrashCause = PromptCause | RequestCause

/** What may tell that a request is the cause of a crash. */
export interface RequestTraits {
  /** Prompt parts that other requests may share. */
  readonly parts: readonly string[]
  /** Equal for requests that come again. */
  readonly fingerprint: string
}

/**
 * Whether a request with these traits is one of those that the cause names.
 *
 * @example
 * isCausedBy({ parts: ['system', 'x'], fingerprint: '9c41' }, { kind: 'prompt', parts: ['x'] }) // true
 */
export function isCausedBy ({ parts, fingerprint }: RequestTraits, cause: CrashCause): boolean {
  switch (cause.kind) {
    case 'prompt':
      return cause.parts.every((part) => parts.includes(part))
    case 'request':
      return cause.fingerprint === fingerprint
  }
}

/** Identifies a cause. Daemons that know the same crashes find the same one. */
export function keyOfCause (cause: CrashCause): string {
  switch (cause.kind) {
    case 'prompt':
      return cause.parts.join()
    case 'request':
      return `request ${cause.fingerprint}`
  }
}
