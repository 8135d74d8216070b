import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import { Client, Pool, type Dispatcher } from 'undici'

/** The use of a new connection, or of a connection pool, by one exchange. */
export interface ConnectionUse {
  readonly dispatcher: Dispatcher
  /**
   * Ends the use. `false` means that the exchange did not end with a complete response, so neither
   * its connection nor the other connections of the pool may carry another request.
   */
  readonly release: (reusable: boolean) => void
}

export interface Connections {
  /** With `requiresNewConnection`, the exchange uses a new connection that carries no other exchange. */
  readonly acquire: (address: string, requiresNewConnection: boolean) => ConnectionUse
  readonly close: () => Promise<void>
}

interface PoolEntry {
  readonly pool: Pool
  running: number
  isRetired: boolean
  usedAt: Milliseconds
}

/** Time without use after which a pool is closed, so that the pools of replaced targets do not accumulate. */
const UNUSED_POOL_MILLISECONDS = 60_000

// The exchange enforces all timeouts with the injected clock, so undici's own timeouts are disabled.
// Without pipelining, a stalled connection delays only one request.
const DISPATCHER_OPTIONS = { pipelining: 1, connect: { timeout: 0 }, headersTimeout: 0, bodyTimeout: 0 } as const

/** Creates the connection pools of a client, one per address, and connections that serve a single exchange. */
export function createConnections (clock: Clock): Connections {
  const entries = new Map<string, PoolEntry>()
  const clients = new Set<Client>()
  let poolsCheckedAt = clock.now()

  const retire = (address: string, entry: PoolEntry): void => {
    if (entries.get(address) === entry) entries.delete(address)
    entry.isRetired = true
    if (entry.running === 0) void entry.pool.destroy()
  }

  const retireUnusedPools = (): void => {
    const now = clock.now()
    if (now - poolsCheckedAt < UNUSED_POOL_MILLISECONDS) return
    poolsCheckedAt = now
    for (const [address, entry] of entries) {
      if (entry.running === 0 && now - entry.usedAt >= UNUSED_POOL_MILLISECONDS) retire(address, entry)
    }
  }

  const acquireNewConnection = (address: string): ConnectionUse => {
    const client = new Client(`http://${address}`, DISPATCHER_OPTIONS)
    clients.add(client)
    const release = (reusable: boolean): void => {
      if (!clients.delete(client)) return
      void (reusable ? client.close() : client.destroy())
    }
    return { dispatcher: client, release }
  }

  const acquirePooled = (address: string): ConnectionUse => {
    let entry = entries.get(address)
    if (entry === undefined) {
      retireUnusedPools()
      entry = { pool: new Pool(`http://${address}`, DISPATCHER_OPTIONS), running: 0, isRetired: false, usedAt: 0 }
      entries.set(address, entry)
    }
    const acquiredEntry = entry
    acquiredEntry.running++
    acquiredEntry.usedAt = clock.now()
    let isReleased = false
    const release = (reusable: boolean): void => {
      if (isReleased) return
      isReleased = true
      acquiredEntry.running--
      // The whole pool is retired, idle connections included, because connections that were opened
      // at the same time tend to stall together.
      if (!reusable || (acquiredEntry.isRetired && acquiredEntry.running === 0)) retire(address, acquiredEntry)
    }
    return { dispatcher: acquiredEntry.pool, release }
  }

  const close = async (): Promise<void> => {
    const pools = [...entries.values()].map(({ pool }) => pool)
    entries.clear()
    const open = [...clients]
    clients.clear()
    await Promise.all([...pools, ...open].map((dispatcher) => dispatcher.destroy()))
  }

  return { acquire: (address, requiresNewConnection) => requiresNewConnection ? acquireNewConnection(address) : acquirePooled(address), close }
}
