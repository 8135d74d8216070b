import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds, VmListing } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'

export interface VmListClientOptions {
  readonly clock: Clock
  /** Address of the VM list, as `10.0.0.1:7100`. */
  readonly address: string
  readonly timeoutMilliseconds: Milliseconds
  readonly maximumAnswerBytes: number
}

export interface VmListClient {
  readonly read: (signal?: AbortSignal) => Promise<Result<VmListing, FuchsiastageError>>
  readonly close: () => Promise<void>
}

export declare function createVmListClient (options: VmListClientOptions): VmListClient
