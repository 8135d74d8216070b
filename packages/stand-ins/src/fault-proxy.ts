import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import type { Clock } from '@fuchsiastage/clock'
import { assertNever, type Milliseconds } from '@fuchsiastage/types'
import { LOOPBACK, type ListenOptions } from './http-server.js'

/** What the proxy does with connections, open and new, until the next mode. */
export type FaultProxyMode =
  | { readonly kind: 'pass' }
  /** Each direction is delayed; order is kept. */
  | { readonly kind: 'delay', readonly milliseconds: Milliseconds }
  /** Open connections are closed and new ones are closed at once. */
  | { readonly kind: 'cut' }
  /** Connections stay open and are accepted, but carry nothing; what they carried is lost. */
  | { readonly kind: 'blocked' }

export interface FaultProxyCounts {
  readonly accepted: number
  readonly open: number
  readonly silenced: number
  readonly forwardedBytes: number
}

/** A TCP proxy between a client and a server of the test bench. */
export interface FaultProxy {
  readonly address: string
  readonly setMode: (mode: FaultProxyMode) => void
  /** Connections that are open now stay silent for good, whatever the mode; new ones are not affected. */
  readonly silenceOpen: () => void
  /** Closes the connections that are open now; new ones are not affected. */
  readonly cutOpen: () => void
  readonly counts: () => FaultProxyCounts
  readonly close: () => Promise<void>
}

export interface FaultProxyOptions {
  readonly clock: Clock
  readonly listen?: ListenOptions
  /** Address of the server, as `127.0.0.1:7000`. */
  readonly target: string
}

interface Link {
  readonly client: Socket
  readonly server: Socket
  isSilent: boolean
}

interface DelayQueue {
  readonly add: (delayMilliseconds: Milliseconds, action: () => void) => void
}

/** Runs actions after their delay, in the order in which they were added, also when the delay shrinks. */
function createDelayQueue (clock: Clock): DelayQueue {
  const pending: { readonly dueAt: Milliseconds, readonly action: () => void }[] = []
  const drain = (): void => {
    for (let first = pending[0]; first !== undefined; first = pending[0]) {
      const wait = first.dueAt - clock.now()
      if (wait > 0) {
        clock.setTimer(wait, drain)
        return
      }
      pending.shift()
      first.action()
    }
  }
  return {
    add: (delayMilliseconds, action) => {
      const isIdle = pending.length === 0
      pending.push({ dueAt: clock.now() + delayMilliseconds, action })
      if (isIdle) drain()
    }
  }
}

/**
 * Starts a proxy that acts out faults of the network.
 *
 * @example
 * const proxy = await startFaultProxy({ clock, target: engine.address })
 * proxy.silenceOpen()
 */
export async function startFaultProxy ({ clock, target, listen = LOOPBACK }: FaultProxyOptions): Promise<FaultProxy> {
  const { host, port } = parseAddress(target)
  const links = new Set<Link>()
  let mode: FaultProxyMode = { kind: 'pass' }
  let accepted = 0
  let forwardedBytes = 0

  const closeLink = (link: Link): void => {
    links.delete(link)
    link.client.destroy()
    link.server.destroy()
  }
  /** Runs the action now or after the delay; a silent link runs nothing. */
  const deliver = (link: Link, queue: DelayQueue, action: () => void): void => {
    if (link.isSilent) return
    const unlessSilent = (): void => { if (!link.isSilent) action() }
    switch (mode.kind) {
      case 'pass':
        queue.add(0, unlessSilent)
        return
      case 'delay':
        queue.add(mode.milliseconds, unlessSilent)
        return
      case 'blocked':
        // Lost bytes cannot be made up for, so the connection never carries anything again.
        link.isSilent = true
        return
      case 'cut':
        closeLink(link)
        return
      default:
        assertNever(mode)
    }
  }
  const forward = (link: Link, from: Socket, to: Socket): void => {
    const queue = createDelayQueue(clock)
    from.on('data', (chunk: Buffer) => deliver(link, queue, () => {
      forwardedBytes += chunk.length
      to.write(chunk)
    }))
    from.on('end', () => deliver(link, queue, () => { to.end() }))
    from.on('error', () => deliver(link, queue, () => closeLink(link)))
    from.on('close', () => deliver(link, queue, () => {
      to.end()
      if (from.destroyed && to.destroyed) links.delete(link)
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
    const link: Link = { client, server, isSilent: mode.kind === 'blocked' }
    links.add(link)
    forward(link, client, server)
    forward(link, server, client)
  })
  proxy.listen(listen.port, listen.host)
  await once(proxy, 'listening')
  const bound = proxy.address() as AddressInfo

  const cutOpen = (): void => {
    for (const link of [...links]) closeLink(link)
  }
  return {
    address: `${bound.address}:${bound.port}`,
    setMode: (next) => {
      mode = next
      if (next.kind === 'cut') cutOpen()
      if (next.kind === 'blocked') for (const link of links) link.isSilent = true
    },
    silenceOpen: () => {
      for (const link of links) link.isSilent = true
    },
    cutOpen,
    counts: () => ({ accepted, open: links.size, silenced: [...links].filter(({ isSilent }) => isSilent).length, forwardedBytes }),
    close: async () => {
      const closed = once(proxy, 'close')
      proxy.close()
      cutOpen()
      await closed
    }
  }
}

/**
 * Splits an address into host and port.
 *
 * @example
 * parseAddress('127.0.0.1:7000')
 */
export function parseAddress (address: string): ListenOptions {
  const colon = address.lastIndexOf(':')
  const port = Number(address.slice(colon + 1))
  if (colon < 1 || !Number.isInteger(port) || port < 0 || port > 65_535) throw new Error(`not an address of the form IP:PORT: ${address}`)
  return { host: address.slice(0, colon), port }
}
