import { Client, type Dispatcher } from 'undici'
import type { Milliseconds } from '@fuchsiastage/types'

export interface ExchangeConnectionsOptions {
  readonly connectMilliseconds: Milliseconds
  /** Time for which a new connection may wait for its first response. */
  readonly unansweredMilliseconds: Milliseconds
  readonly keepAliveMilliseconds: Milliseconds
}

export interface ExchangeConnections {
  /** The connection for the next message to a peer; undefined while the peer has not responded to the last one yet. */
  readonly take: (address: string) => ExchangeConnection | undefined
  readonly close: () => Promise<void>
}

export interface ExchangeConnection {
  readonly dispatcher: Dispatcher
  /** Records that the peer has responded, or that the connection has failed. */
  readonly settle: (hasResponded: boolean) => void
  /** Gives the response up. A connection on which the peer has responded before has fallen silent and is closed. */
  readonly giveUp: () => void
}

interface PeerConnection {
  readonly client: Client
  hasResponded: boolean
  /** Monotonic time of the message that waits for its response. */
  waitingSince: Milliseconds | undefined
}

/**
 * Creates the connections of the exchange, one for each peer. A busy peer accepts one connection in each
 * turn of its event loop. If each message that it answers late were sent over a new connection, the queue
 * of connections to accept would grow, and every other call would wait in it too.
 *
 * @example
 * const connection = connections.take('10.2.0.40:7380')
 */
export function createExchangeConnections (options: ExchangeConnectionsOptions): ExchangeConnections {
  const connections = new Map<string, PeerConnection>()

  const open = (address: string): PeerConnection => {
    const client = new Client(`http://${address}`, { keepAliveTimeout: options.keepAliveMilliseconds, connect: { timeout: options.connectMilliseconds } })
    const created: PeerConnection = { client, hasResponded: false, waitingSince: undefined }
    connections.set(address, created)
    return created
  }

  const discard = (address: string, connection: PeerConnection): void => {
    if (connections.get(address) === connection) connections.delete(address)
    // Its message is given up, whatever becomes of the connection.
    connection.client.destroy().catch(() => undefined)
  }

  const take: ExchangeConnections['take'] = (address) => {
    const now = performance.now()
    let connection = connections.get(address) ?? open(address)
    if (connection.waitingSince !== undefined) {
      if (now - connection.waitingSince < options.unansweredMilliseconds) return undefined
      discard(address, connection)
      connection = open(address)
    }
    const taken = connection
    taken.waitingSince = now
    return {
      dispatcher: taken.client,
      settle: (hasResponded) => {
        taken.waitingSince = undefined
        if (hasResponded) taken.hasResponded = true
        else discard(address, taken)
      },
      giveUp: () => { if (taken.hasResponded && taken.waitingSince !== undefined) discard(address, taken) }
    }
  }

  return {
    take,
    close: async () => { await Promise.all([...connections.values()].map(async ({ client }) => await client.destroy())) }
  }
}
