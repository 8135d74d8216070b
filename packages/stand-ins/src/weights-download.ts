import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import { Agent, request } from 'undici'

export interface WeightsDownloadOptions {
  readonly clock: Clock
  /** Address of the weight store, or undefined to take the time of the remote rate. */
  readonly weightStore: string | undefined
  readonly remoteMegabytesPerSecond: number
  readonly slowFactor: () => number
}

/** Fetches weights from the weight store on behalf of an engine. */
export interface WeightsDownload {
  /** Resolves undefined when the weights have arrived, else the reason of the failure. */
  readonly fetch: (model: string, weightsMegabytes: number, signal: AbortSignal) => Promise<string | undefined>
  readonly close: () => Promise<void>
}

/** The store refuses beyond its rate, so an engine asks again; after this many refusals the load fails. */
const MAXIMUM_REFUSALS = 30
const DEFAULT_RETRY_MILLISECONDS: Milliseconds = 1_000

/**
 * Creates the engine's client of the weight store.
 *
 * @example
 * const download = createWeightsDownload({ clock, weightStore: '127.0.0.1:7200', remoteMegabytesPerSecond: 1_000, slowFactor: () => 1 })
 */
export function createWeightsDownload (options: WeightsDownloadOptions): WeightsDownload {
  const { clock, weightStore } = options
  // A large download answers only at its end, so neither the headers nor the body have a time limit.
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 })

  const ask = async (address: string, model: string, weightsMegabytes: number, signal: AbortSignal): Promise<{ readonly status: number, readonly retry: Milliseconds }> => {
    const response = await request(`http://${address}/downloads`, {
      dispatcher,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ model, weightsMegabytes }),
      signal
    })
    await response.body.dump()
    const seconds = Number(response.headers['retry-after'])
    return { status: response.statusCode, retry: seconds > 0 ? seconds * 1_000 : DEFAULT_RETRY_MILLISECONDS }
  }

  const fetchFromStore = async (address: string, model: string, weightsMegabytes: number, signal: AbortSignal): Promise<string | undefined> => {
    for (let refusals = 0; refusals < MAXIMUM_REFUSALS && !signal.aborted; refusals++) {
      const { status, retry } = await ask(address, model, weightsMegabytes, signal)
      if (status === 200) return undefined
      if (status !== 429) return `weight-store-answered-${status}`
      await clock.sleep(retry, signal)
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
        return await fetchFromStore(weightStore, model, weightsMegabytes, signal)
      } catch {
        return 'weight-store-unreachable'
      }
    },
    close: () => dispatcher.destroy()
  }
}
