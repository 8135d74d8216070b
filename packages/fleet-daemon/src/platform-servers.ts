import { jsonAnswer, startControlServer, type ControlPath } from './control-servers.js'
import type { FleetDaemonOptions } from './fleet-daemon.js'

/**
 * Time for which callers may cache a response of the directory. A leaving daemon continues to serve
 * for three times as long, because some callers cache responses that long.
 */
export const ENTRY_LIFETIME_SECONDS = 1

/**
 * Starts the servers for the platform's readiness checks, for callers that look up entry daemons,
 * and for metrics.
 *
 * @example
 * await startPlatformServers(options, () => true, () => ['10.1.0.38:8149'], () => undefined)
 */
export async function startPlatformServers (
  { settings, ports, metrics, metricsPort }: FleetDaemonOptions,
  isReady: () => boolean, entryAddresses: () => readonly string[], updateGauges: () => void
): Promise<void> {
  const { ip, readyAddress, directoryAddress, maximumEntryLifetimeSeconds } = settings()
  const lifetime = Math.min(ENTRY_LIFETIME_SECONDS, maximumEntryLifetimeSeconds)
  const pathsByAddress = new Map<string, ControlPath[]>()
  const add = (address: string, path: ControlPath): void => {
    pathsByAddress.set(address, [...pathsByAddress.get(address) ?? [], path])
  }
  add(readyAddress, { path: ports.paths.ready, answer: () => isReady() ? jsonAnswer(200, { ready: true }) : jsonAnswer(503, { ready: false }) })
  if (directoryAddress !== undefined) {
    add(directoryAddress, {
      path: ports.paths.entries,
      answer: () => {
        const addresses = entryAddresses()
        return addresses.length > 0 ? jsonAnswer(200, ports.encodeEntries(addresses, lifetime)) : jsonAnswer(503, { error: 'no-entry-known' })
      }
    })
  }
  add(`${ip}:${metricsPort}`, {
    path: '/metrics',
    answer: async () => {
      updateGauges()
      return { status: 200, contentType: metrics.registry.contentType, body: await metrics.registry.metrics() }
    }
  })
  for (const [address, paths] of pathsByAddress) {
    const [host, port] = splitAddress(address)
    await startControlServer(host, port, paths)
  }
}

/** Splits an address of the form IP:PORT. */
export function splitAddress (address: string): readonly [string, number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}
