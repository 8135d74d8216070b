import type { Milliseconds } from '@fuchsiastage/types'

/** Work that one load client process performs. */
export type LoadPlan =
  | {
    /** Sends a fixed number of completions without streaming, at a limited concurrency. */
    readonly kind: 'requests'
    readonly addresses: readonly string[]
    readonly token: string
    readonly model: string
    readonly prompts: string
    readonly count: number
    readonly concurrency: number
  }
  | {
    /** Reads streams concurrently. */
    readonly kind: 'streams'
    readonly addresses: readonly string[]
    readonly token: string
    readonly model: string
    readonly prompts: string
    readonly count: number
    readonly tokens: number
    /** Interval between the starts of consecutive streams. */
    readonly spreadMilliseconds: Milliseconds
  }
  | {
    /**
     * Times every token of a few streams against a reference stream read directly from the same engine.
     * An engine emits the tokens of all its streams in one step, so the difference is the added delay.
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

/** Result that a load client process writes to its standard output. */
export interface LoadResult {
  readonly failures: number
  readonly firstFailure: string | undefined
  readonly tokens: number
  readonly requests: number
  readonly wallMilliseconds: Milliseconds
  /** Tokens per second while all streams were open. */
  readonly tokensPerSecond: number
  readonly cpuMilliseconds: Milliseconds
  /** Encoded histogram in microseconds: the duration of each request, or the delay of each token after the reference token of the same step. */
  readonly histogram: string
  readonly firstTokenHistogram: string
}
