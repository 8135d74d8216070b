import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import { Client, Pool, type Dispatcher } from 'undici'

/** A connection, or a place in a pool, for one exchange. */
export interface ConnectionUse {
  readonly dispatcher: Dispatcher
  /**
   * Ends the use. `false` says that the exchange did not end with its whole answer, so neither
   * its connection nor the idle connections beside it may carry another request.
   */
  readonly release: (reusable: boolean) => void
}

export interface Connections {
  /** `fresh` demands a connection that carries this exchange only. */
  readonly acquire: (address: string, fresh: boolean) => ConnectionUse
  readonly close: () => Promise<void>
}

interface PoolEntry {
  readonly pool: Pool
  running: number
  retired: boolean
  usedAt: Milliseconds
}

/** A pool without a request for this time is closed, so that replaced targets leave nothing behind. */
const UNUSED_POOL_MILLISECONDS = 60_000

// The bounds on time are kept by the exchange with the injected clock, so undici's own are off.
// Without pipelining a silent connection delays no second request behind it.
const DISPATCHER_OPTIONS = { pipelining: 1, connect: { timeout: 0 }, headersTimeout: 0, bodyTimeout: 0 } as const

export function createConnections (clock: Clock): Connections {
  const entries = new Map<string, PoolEntry>()
  const clients = new Set<Client>()
  let sweptAt = clock.now()

  const retire = (address: string, entry: PoolEntry): void => {
    if (entries.get(address) === entry) entries.delete(address)
    entry.retired = true
    if (entry.running === 0) void entry.pool.destroy()
  }

  const sweep = (): void => {
    const now = clock.now()
    if (now - sweptAt < UNUSED_POOL_MILLISECONDS) return
    sweptAt = now
    for (const [address, entry] of entries) {
      if (entry.running === 0 && now - entry.usedAt >= UNUSED_POOL_MILLISECONDS) retire(address, entry)
    }
  }

  const acquireFresh = (address: string): ConnectionUse => {
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
      sweep()
      entry = { pool: new Pool(`http://${address}`, DISPATCHER_OPTIONS), running: 0, retired: false, usedAt: 0 }
      entries.set(address, entry)
    }
    const used = entry
    used.running++
    used.usedAt = clock.now()
    let released = false
    const release = (reusable: boolean): void => {
      if (released) return
      released = true
      used.running--
      // Idle connections to the same target are not trusted either: connections that were
      // opened at the same time tend to go silent together.
      if (!reusable || (used.retired && used.running === 0)) retire(address, used)
    }
    return { dispatcher: used.pool, release }
  }

  const close = async (): Promise<void> => {
    const pools = [...entries.values()].map(({ pool }) => pool)
    entries.clear()
    const open = [...clients]
    clients.clear()
    await Promise.all([...pools, ...open].map((dispatcher) => dispatcher.destroy()))
  }

  return { acquire: (address, fresh) => fresh ? acquireFresh(address) : acquirePooled(address), close }
}
