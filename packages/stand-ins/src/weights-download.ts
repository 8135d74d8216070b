import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import { Agent, request } from 'undici'

export interface WeightsDownloadOptions {
  readonly clock: Clock
  /** Address of the weight store. Without it, a download is simulated at the remote rate. */
  readonly weightStore: string | undefined
  readonly remoteMegabytesPerSecond: number
  readonly slowFactor: () => number
}

/** Downloads weights from the weight store for an engine. */
export interface WeightsDownload {
  /** Resolves to undefined when the weights are downloaded, otherwise to the reason of the failure. */
  readonly fetch: (model: string, weightsMegabytes: number, signal: AbortSignal) => Promise<string | undefined>
  readonly close: () => Promise<void>
}

/** Number of refusals after which a load fails. The store refuses downloads beyond its rate limit, so an engine retries. */
const MAXIMUM_REFUSALS = 30
const DEFAULT_RETRY_MILLISECONDS: Milliseconds = 1_000

/**
 * Creates an engine's client for the weight store.
 *
 * @example
 * const download = createWeightsDownload({ clock, weightStore: '127.0.0.1:7200', remoteMegabytesPerSecond: 1_000, slowFactor: () => 1 })
 */
export function createWeightsDownload (options: WeightsDownloadOptions): WeightsDownload {
  const { clock, weightStore } = options
  // The store responds only when a download is complete, so there is no timeout for headers and body.
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 })

  const requestDownload = async (address: string, model: string, weightsMegabytes: number, signal: AbortSignal): Promise<{ readonly status: number, readonly retryAfterMilliseconds: Milliseconds }> => {
    const response = await request(`http://${address}/downloads`, {
      dispatcher,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ model, weightsMegabytes }),
      signal
    })
    await response.body.dump()
    const retryAfterSeconds = Number(response.headers['retry-after'])
    return { status: response.statusCode, retryAfterMilliseconds: retryAfterSeconds > 0 ? retryAfterSeconds * 1_000 : DEFAULT_RETRY_MILLISECONDS }
  }

  const fetchWithRetries = async (address: string, model: string, weightsMegabytes: number, signal: AbortSignal): Promise<string | undefined> => {
    for (let refusals = 0; refusals < MAXIMUM_REFUSALS && !signal.aborted; refusals++) {
      const { status, retryAfterMilliseconds } = await requestDownload(address, model, weightsMegabytes, signal)
      if (status === 200) return undefined
      if (status !== 429) return `weight-store-answered-${status}`
      await clock.sleep(retryAfterMilliseconds, signal)
    }
    return 'weight-store-over-rate'
  }

  return {
    fetch: async (model, weightsMegabytes, signal) => {
      if (weightStore === undefined) {
        await clock.sleep(weightsMegabytes / options.remoteMegabytesPerSecond * 1_000 * options.slowFactor(), signal)
        return undefined
      }
      try {
        return await fetchWithRetries(weightStore, model, weightsMegabytes, signal)
      } catch {
        return 'weight-store-unreachable'
      }
    },
    close: () => dispatcher.destroy()
  }
}
