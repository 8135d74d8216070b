import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import { z } from 'zod'
import { commonControlSchema, LOOPBACK, readJson, startStandInServer, type Call, type ListenOptions, type StandIn } from './http-server.js'
import { createRateWindow } from './rate-window.js'
import { createSharedDownloads } from './shared-downloads.js'
import { createSilentLogger } from './silent-logger.js'

/** How a download beyond a limit is treated: it takes longer, or it is refused with 429. */
export type OverLimit = 'slow' | 'refuse'

export interface WeightStoreStandInOptions {
  readonly clock: Clock
  readonly logger?: Logger
  readonly listen?: ListenOptions
  /** Downloads that may start per second. */
  readonly loadsPerSecond: number
  /** Downloads that run at full speed concurrently. */
  readonly concurrentLoads: number
  readonly megabytesPerSecond?: number
  /** Treatment of downloads beyond `loadsPerSecond`; default: `refuse`. */
  readonly overRate?: OverLimit
  /** Treatment of downloads beyond `concurrentLoads`; default: `slow`. */
  readonly overConcurrency?: OverLimit
}

export const weightStoreControlSchema = commonControlSchema.extend({
  /** Multiplies the speed of all downloads, including those in progress. */
  speedFactor: z.number().positive(),
  /** Stops the progress of all downloads until the field is set to false. */
  stalled: z.boolean()
}).partial()

export type WeightStoreControl = z.infer<typeof weightStoreControlSchema>

export interface WeightStoreCounts {
  readonly started: number
  readonly finished: number
  /** Downloads whose client disconnected before the end. */
  readonly abandoned: number
  readonly refused: number
  readonly active: number
  readonly peakActive: number
  readonly startedByModel: Readonly<Record<string, number>>
}

export type WeightStoreStandIn = StandIn<WeightStoreControl, WeightStoreCounts>

const DEFAULT_MEGABYTES_PER_SECOND = 1_000

const downloadRequestSchema = z.object({ model: z.string().min(1), weightsMegabytes: z.number().nonnegative() })

/**
 * Starts a stand-in for the weight store, with a limited download rate and concurrency.
 *
 * @example
 * const weightStore = await createWeightStoreStandIn({ clock, loadsPerSecond: 2, concurrentLoads: 4 })
 * weightStore.control({ stalled: true })
 */
export async function createWeightStoreStandIn (options: WeightStoreStandInOptions): Promise<WeightStoreStandIn> {
  const { clock, logger = createSilentLogger(clock), listen = LOOPBACK, overRate = 'refuse', overConcurrency = 'slow' } = options
  const rateWindow = createRateWindow(clock, options.loadsPerSecond)
  const downloads = createSharedDownloads({
    clock,
    megabytesPerSecond: options.megabytesPerSecond ?? DEFAULT_MEGABYTES_PER_SECOND,
    fullSpeedDownloads: options.concurrentLoads
  })
  const startedByModel = new Map<string, number>()
  const closeController = new AbortController()
  let speedFactor = 1
  let isStalled = false
  let started = 0
  let finished = 0
  let abandoned = 0
  let refused = 0
  let peakActive = 0

  const refuse = (call: Call, code: string): void => {
    refused++
    const seconds = Math.max(1, Math.ceil(rateWindow.waitMilliseconds() / 1_000))
    call.reply.sendJson(429, { code }, { 'retry-after': String(seconds) })
  }
  /** Waits until the rate limit permits a download. Returns false if the download is to be refused instead. */
  const acquireRateSlot = async (signal: AbortSignal): Promise<boolean> => {
    while (!signal.aborted && !rateWindow.tryAcquire()) {
      if (overRate === 'refuse') return false
      await clock.sleep(rateWindow.waitMilliseconds(), signal)
    }
    return true
  }

  const handleDownload = async (call: Call): Promise<void> => {
    const { model, weightsMegabytes } = await readJson(call, downloadRequestSchema)
    const disconnectController = new AbortController()
    const signal = AbortSignal.any([disconnectController.signal, closeController.signal])
    call.reply.onClientDisconnect(() => disconnectController.abort())
    if (overConcurrency === 'refuse' && downloads.active() >= options.concurrentLoads) return refuse(call, 'over-concurrency')
    if (!await acquireRateSlot(signal)) return refuse(call, 'over-rate')
    started++
    startedByModel.set(model, (startedByModel.get(model) ?? 0) + 1)
    const transfer = downloads.download(weightsMegabytes, signal)
    peakActive = Math.max(peakActive, downloads.active())
    logger.info('download started', { event: 'download-started', model, weightsMegabytes, active: downloads.active() })
    if (!await transfer) {
      abandoned++
      return
    }
    await server.waitWhileFrozen()
    finished++
    logger.info('download ended', { event: 'download-ended', model })
    call.reply.sendJson(200, { model, weightsMegabytes })
  }

  const applyControl = (change: WeightStoreControl): void => {
    speedFactor = change.speedFactor ?? speedFactor
    isStalled = change.stalled ?? isStalled
    downloads.setSpeed(isStalled ? 0 : speedFactor)
  }
  const counts = (): WeightStoreCounts => ({
    started,
    finished,
    abandoned,
    refused,
    active: downloads.active(),
    peakActive,
    startedByModel: Object.fromEntries(startedByModel)
  })

  const server = await startStandInServer<WeightStoreControl, WeightStoreCounts>({
    listen,
    clock,
    logger,
    controlSchema: weightStoreControlSchema,
    applyControl,
    counts,
    routes: [{ method: 'POST', path: '/downloads', handle: handleDownload }]
  })
  return {
    address: server.address,
    counts,
    control: server.control,
    close: async () => {
      closeController.abort()
      await server.close()
    }
  }
}
