import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds, VmListing } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import { createConnections } from './connections.js'
import { decodeAnswer } from './decode.js'
import { exchange } from './exchange.js'
import { vmListingSchema } from './schemas.js'

export interface VmListClientOptions {
  readonly clock: Clock
  /** Address of the VM list, for example `10.0.0.1:7100`. */
  readonly address: string
  readonly timeoutMilliseconds: Milliseconds
  readonly maximumAnswerBytes: number
}

export interface VmListClient {
  readonly read: (signal?: AbortSignal) => Promise<Result<VmListing, FuchsiastageError>>
  readonly close: () => Promise<void>
}

/**
 * Creates the client that reads the platform's list of VMs.
 *
 * @example
 * const vmList = createVmListClient({ clock, address: '10.0.0.3:7100', timeoutMilliseconds: 2000, maximumAnswerBytes: 4_194_304 })
 * const listing = await vmList.read()
 */
export function createVmListClient (options: VmListClientOptions): VmListClient {
  const { clock, address, timeoutMilliseconds, maximumAnswerBytes } = options
  const connections = createConnections(clock)

  const read = async (signal?: AbortSignal): Promise<Result<VmListing, FuchsiastageError>> => {
    const outcome = await exchange(connections, clock, { address, method: 'GET', path: '/vms', headers: {}, requiresNewConnection: false }, {
      connectMilliseconds: timeoutMilliseconds,
      firstByteMilliseconds: Infinity,
      totalMilliseconds: timeoutMilliseconds,
      maximumAnswerBytes
    }, signal)
    return decodeAnswer('read-vm-list', address, outcome, vmListingSchema)
  }

  return { read, close: connections.close }
}
