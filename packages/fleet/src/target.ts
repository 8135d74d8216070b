import type { Milliseconds } from '@fuchsiastage/types'

export interface LoadedModel {
  readonly name: string
  readonly adapters: readonly string[]
}

/** Models and adapters on a target, as of one of its order counts. */
export interface TargetPlacement {
  /** Number of load and unload orders that the target has accepted since its start. */
  readonly orderCount: number
  /** Models that are loaded into the target's accelerators. */
  readonly models: readonly LoadedModel[]
  /** Adapters that the target is loading, as `model/adapter`. */
  readonly pendingAdapters: readonly string[]
  /** Models whose weights are cached in the target's host memory. */
  readonly modelsInMemory: readonly string[]
  /** Models whose weights are cached on the target's disk. */
  readonly modelsOnDisk: readonly string[]
}

export interface TargetLoad {
  readonly running: number
  readonly waiting: number
  /** Used part of the key-value cache, in tokens. */
  readonly cacheTokensUsed: number
  readonly cacheTokens: number
}

/** One incarnation of a target, as the target registers itself in the platform's list of targets. */
export interface TargetEntry {
  readonly id: string
  /** Start of this incarnation in Unix milliseconds; 0 when the target does not state it. */
  readonly startedAt: number
  readonly service: string
  readonly address: string
  readonly dataCentre: string
  /** Version of the target's software, not of model weights; undefined when the target does not state it. Versions have no order. */
  readonly softwareVersion: string | undefined
  readonly slots: number
  readonly isDraining: boolean
  /** Time until the target is removed, if it has announced its removal. */
  readonly leavesInMilliseconds: Milliseconds | undefined
  readonly placement: TargetPlacement
}

/** Identifies one incarnation of a target. */
export type TargetKey = string

/**
 * Returns the key of one incarnation of a target. A target that restarts keeps its identifier but
 * loses its state, so each incarnation has its own key.
 *
 * @example
 * const key = targetKeyOf({ id: 'i-7f3a91c2', startedAt: 1767225600000 })
 */
export function targetKeyOf (target: { readonly id: string, readonly startedAt: number }): TargetKey {
  return `${target.id}@${target.startedAt}`
}

/** State that a model engine reports about itself; it is some hundred milliseconds old. */
export interface EngineReport {
  /** Start of the incarnation that sent the report in Unix milliseconds, if the engine states it. */
  readonly startedAt: number | undefined
  /** Whether the engine is executing an order for a model. */
  readonly isBusy: boolean
  /** Whether the engine states that it is going to be removed. */
  readonly isLeaving: boolean
  readonly placement: TargetPlacement
  readonly load: TargetLoad
}
