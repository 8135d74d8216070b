import type { Milliseconds } from '@fuchsiastage/types'

/** Work of one load client process. */
export type LoadPlan =
  | {
    /** A fixed number of plain completions, a few at a time. */
    readonly kind: 'requests'
    readonly addresses: readonly string[]
    readonly token: string
    readonly model: string
    readonly prompts: string
    readonly count: number
    readonly concurrency: number
  }
  | {
    /** Streams that run side by side. */
    readonly kind: 'streams'
    readonly addresses: readonly string[]
    readonly token: string
    readonly model: string
    readonly prompts: string
    readonly count: number
    readonly tokens: number
    /** Streams are opened this far apart. */
    readonly spreadMilliseconds: Milliseconds
  }
  | {
    /**
     * Few streams, timed token by token against one stream that goes straight to the same engine:
     * an engine emits the tokens of all its streams in one step.
     */
    readonly kind: 'timed'
    readonly addresses: readonly string[]
    readonly engineAddresses: readonly string[]
    readonly token: string
    readonly model: string
    readonly prompts: string
    readonly count: number
    readonly tokens: number
  }

/** What a load client writes when its work is done. */
export interface LoadResult {
  readonly failures: number
  readonly firstFailure: string | undefined
  readonly tokens: number
  readonly requests: number
  readonly wallMilliseconds: Milliseconds
  /** Tokens a second while all streams were open. */
  readonly tokensPerSecond: number
  readonly cpuMilliseconds: Milliseconds
  /** Time of a request, or time of a token after the reference token of the same step; in microseconds. */
  readonly histogram: string
  readonly firstTokenHistogram: string
}
