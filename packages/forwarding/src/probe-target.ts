import { connect } from 'node:net'
import { readPendingEvents } from '@fuchsiastage/clock'
import { isSocketAddress } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

/** Whether a target accepts connections. */
export type ProbeTarget = (address: string) => Promise<boolean>

/**
 * Creates the function that opens a connection to a target and closes it immediately.
 *
 * @example
 * const probe = createTargetProbe({ connectMilliseconds: 400 })
 * const isAccepting = await probe('10.128.0.9:8080')
 */
export function createTargetProbe ({ connectMilliseconds }: { readonly connectMilliseconds: Milliseconds }): ProbeTarget {
  return async (address) => {
    // Node throws an error for a port that does not exist.
    if (!isSocketAddress(address)) return false
    const separator = address.lastIndexOf(':')
    const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)), timeout: connectMilliseconds })
    try {
      return await new Promise<boolean>((resolve) => {
        socket.once('connect', () => resolve(true))
        socket.once('error', () => resolve(false))
        // A connection that was established while this process was busy is reported after the timeout.
        socket.once('timeout', () => { void readPendingEvents().then(() => resolve(false)) })
      })
    } finally {
      socket.destroy()
    }
  }
}
