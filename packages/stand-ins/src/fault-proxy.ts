import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import type { Clock } from '@fuchsiastage/clock'
import { assertNever, type Milliseconds } from '@fuchsiastage/types'
import { LOOPBACK, type ListenOptions } from './http-server.js'

/** How the proxy treats all connections, both open and new, until the mode changes. */
export type FaultProxyMode =
  | { readonly kind: 'pass' }
  /** Delays each direction and keeps the order of the bytes. */
  | { readonly kind: 'delay', readonly milliseconds: Milliseconds }
  /** Closes the open connections, and new ones immediately after they are accepted. */
  | { readonly kind: 'cut' }
  /** Stalls the open connections; new ones are accepted and stalled too. Bytes sent in this mode are lost. */
  | { readonly kind: 'blocked' }

export interface FaultProxyCounts {
  readonly accepted: number
  readonly open: number
  readonly stalled: number
  readonly forwardedBytes: number
}

/** A TCP proxy between a client and a server that injects network faults in tests. */
export interface FaultProxy {
  readonly address: string
  readonly setMode: (mode: FaultProxyMode) => void
  /** Stalls the connections that are open now until they are closed, regardless of the mode. New connections are not affected. */
  readonly stallOpen: () => void
  /** Closes the connections that are open now. New connections are not affected. */
  readonly cutOpen: () => void
  readonly counts: () => FaultProxyCounts
  readonly close: () => Promise<void>
}

export interface FaultProxyOptions {
  readonly clock: Clock
  readonly listen?: ListenOptions
  /** Address of the server, for example `127.0.0.1:7000`. */
  readonly target: string
}

interface ProxiedConnection {
  readonly client: Socket
  readonly server: Socket
  isStalled: boolean
}

interface DelayQueue {
  readonly add: (delayMilliseconds: Milliseconds, action: () => void) => void
}

/** Runs actions after their delay and in the order in which they were added, even if later ones have shorter delays. */
function createDelayQueue (clock: Clock): DelayQueue {
  const pending: { readonly dueAt: Milliseconds, readonly action: () => void }[] = []
  const runDueActions = (): void => {
    for (let nextAction = pending[0]; nextAction !== undefined; nextAction = pending[0]) {
      const wait = nextAction.dueAt - clock.now()
      if (wait > 0) {
        clock.setTimer(wait, runDueActions)
        return
      }
      pending.shift()
      nextAction.action()
    }
  }
  return {
    add: (delayMilliseconds, action) => {
      const wasEmpty = pending.length === 0
      pending.push({ dueAt: clock.now() + delayMilliseconds, action })
      if (wasEmpty) runDueActions()
    }
  }
}

/**
 * Starts a proxy that injects network faults.
 *
 * @example
 * const proxy = await startFaultProxy({ clock, target: engine.address })
 * proxy.stallOpen()
 */
export async function startFaultProxy ({ clock, target, listen = LOOPBACK }: FaultProxyOptions): Promise<FaultProxy> {
  const { host, port } = parseAddress(target)
  const connections = new Set<ProxiedConnection>()
  let mode: FaultProxyMode = { kind: 'pass' }
  let accepted = 0
  let forwardedBytes = 0

  const closeConnection = (connection: ProxiedConnection): void => {
    connections.delete(connection)
    connection.client.destroy()
    connection.server.destroy()
  }
  /** Applies the mode: runs the action now or after the delay, or stalls or closes the connection instead. The action is dropped if the connection is stalled. */
  const deliver = (connection: ProxiedConnection, queue: DelayQueue, action: () => void): void => {
    if (connection.isStalled) return
    const runUnlessStalled = (): void => { if (!connection.isStalled) action() }
    switch (mode.kind) {
      case 'pass':
        queue.add(0, runUnlessStalled)
        return
      case 'delay':
        queue.add(mode.milliseconds, runUnlessStalled)
        return
      case 'blocked':
        // The lost bytes leave a gap in the stream, so the connection must not carry anything afterwards.
        connection.isStalled = true
        return
      case 'cut':
        closeConnection(connection)
        return
      default:
        assertNever(mode)
    }
  }
  const forward = (connection: ProxiedConnection, from: Socket, to: Socket): void => {
    const queue = createDelayQueue(clock)
    from.on('data', (chunk: Buffer) => deliver(connection, queue, () => {
      forwardedBytes += chunk.length
      to.write(chunk)
    }))
    from.on('end', () => deliver(connection, queue, () => { to.end() }))
    from.on('error', () => deliver(connection, queue, () => closeConnection(connection)))
    from.on('close', () => deliver(connection, queue, () => {
      to.end()
      if (from.destroyed && to.destroyed) connections.delete(connection)
    }))
  }

  const proxy = createServer({ allowHalfOpen: true }, (client) => {
    accepted++
    if (mode.kind === 'cut') {
      client.destroy()
      return
    }
    const server = connect({ host, port, allowHalfOpen: true })
    client.setNoDelay(true)
    server.setNoDelay(true)
    const connection: ProxiedConnection = { client, server, isStalled: mode.kind === 'blocked' }
    connections.add(connection)
    forward(connection, client, server)
    forward(connection, server, client)
  })
  proxy.listen(listen.port, listen.host)
  await once(proxy, 'listening')
  const listenAddress = proxy.address() as AddressInfo

  const cutOpen = (): void => {
    for (const connection of [...connections]) closeConnection(connection)
  }
  return {
    address: `${listenAddress.address}:${listenAddress.port}`,
    setMode: (newMode) => {
      mode = newMode
      if (newMode.kind === 'cut') cutOpen()
      if (newMode.kind === 'blocked') for (const connection of connections) connection.isStalled = true
    },
    stallOpen: () => {
      for (const connection of connections) connection.isStalled = true
    },
    cutOpen,
    counts: () => ({ accepted, open: connections.size, stalled: [...connections].filter(({ isStalled }) => isStalled).length, forwardedBytes }),
    close: async () => {
      const closed = once(proxy, 'close')
      proxy.close()
      cutOpen()
      await closed
    }
  }
}

/**
 * Splits an address of the form `IP:PORT` into host and port. Throws when it has another form.
 *
 * @example
 * parseAddress('127.0.0.1:7000')
 */
export function parseAddress (address: string): ListenOptions {
  const colon = address.lastIndexOf(':')
  const port = Number(address.slice(colon + 1))
  if (colon < 1 || !Number.isInteger(port) || port < 0 || port > 65_535) throw new Error(`invalid address, expected IP:PORT: ${address}`)
  return { host: address.slice(0, colon), port }
}
