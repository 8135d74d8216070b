import type { Milliseconds } from '@fuchsiastage/types'

export interface LoadedModel {
  readonly name: string
  readonly adapters: readonly string[]
}

/** Weights that a target holds, as of one of its order counts. */
export interface TargetPlacement {
  /** Number of orders that the target has accepted since its start. */
  readonly orderCount: number
  readonly models: readonly LoadedModel[]
  /** Adapters on their way to the target, as `model/adapter`. */
  readonly pendingAdapters: readonly string[]
  /** Models whose weights the target keeps outside its accelerators. */
  readonly modelsInMemory: readonly string[]
  readonly modelsOnDisk: readonly string[]
}

export interface TargetLoad {
  readonly running: number
  readonly waiting: number
  readonly cacheTokensUsed: number
  readonly cacheTokens: number
}

/** One life of a target, as the target describes it in the platform's list. */
export interface TargetEntry {
  readonly id: string
  /** Start of this life, in Unix milliseconds; 0 when it is not stated. */
  readonly startedAt: number
  readonly service: string
  readonly address: string
  readonly dataCentre: string
  readonly slots: number
  readonly isDraining: boolean
  /** Time until the target is taken away, where it was announced. */
  readonly leavesInMilliseconds: Milliseconds | undefined
  readonly placement: TargetPlacement
}

/** Names one life of a target. */
export type TargetKey = string

/**
 * Names one life of a target: a target that starts again under its identifier knows nothing of before.
 *
 * @example
 * const key = targetKeyOf({ id: 'i-7f3a91c2', startedAt: 1767225600000 })
 */
export function targetKeyOf (target: { readonly id: string, readonly startedAt: number }): TargetKey {
  return `${target.id}@${target.startedAt}`
}

/** State of a model engine as it reports it, some hundred milliseconds old. */
export interface EngineReport {
  /** Start of the life that reports, when it is stated. */
  readonly startedAt: number | undefined
  /** Whether an order for a model is in progress. */
  readonly isBusy: boolean
  readonly placement: TargetPlacement
  readonly load: TargetLoad
}
