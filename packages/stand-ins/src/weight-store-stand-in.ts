import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import { z } from 'zod'
import { commonControlSchema, LOOPBACK, readJson, startStandInServer, type Call, type ListenOptions, type StandIn } from './http-server.js'
import { createRateWindow } from './rate-window.js'
import { createSharedDownloads } from './shared-downloads.js'
import { createSilentLogger } from './silent-logger.js'

/** What happens beyond a limit: the download is slower, or it is refused with 429. */
export type OverLimit = 'slow' | 'refuse'

export interface WeightStoreStandInOptions {
  readonly clock: Clock
  readonly logger?: Logger
  readonly listen?: ListenOptions
  readonly loadsPerSecond: number
  readonly concurrentLoads: number
  readonly megabytesPerSecond?: number
  /** Default: `refuse`. */
  readonly overRate?: OverLimit
  /** Default: `slow`. */
  readonly overConcurrency?: OverLimit
}

export const weightStoreControlSchema = commonControlSchema.extend({
  /** Multiplies the speed of all downloads, also of those under way. */
  speedFactor: z.number().positive(),
  /** Downloads make no progress until it is set to false. */
  stalled: z.boolean()
}).partial()

export type WeightStoreControl = z.infer<typeof weightStoreControlSchema>

export interface WeightStoreCounts {
  readonly started: number
  readonly finished: number
  /** Downloads whose client left before the end. */
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
 * Starts a weight store with a limited rate.
 *
 * @example
 * const weightStore = await createWeightStoreStandIn({ clock, loadsPerSecond: 2, concurrentLoads: 4 })
 * weightStore.control({ stalled: true })
 */
export async function createWeightStoreStandIn (options: WeightStoreStandInOptions): Promise<WeightStoreStandIn> {
  const { clock, logger = createSilentLogger(clock), listen = LOOPBACK, overRate = 'refuse', overConcurrency = 'slow' } = options
  const rate = createRateWindow(clock, options.loadsPerSecond)
  const downloads = createSharedDownloads({
    clock,
    megabytesPerSecond: options.megabytesPerSecond ?? DEFAULT_MEGABYTES_PER_SECOND,
    fullSpeedDownloads: options.concurrentLoads
  })
  const startedByModel = new Map<string, number>()
  const closing = new AbortController()
  let speedFactor = 1
  let isStalled = false
  let started = 0
  let finished = 0
  let abandoned = 0
  let refused = 0
  let peakActive = 0

  const refuse = (call: Call, code: string): void => {
    refused++
    const seconds = Math.max(1, Math.ceil(rate.waitMilliseconds() / 1_000))
    call.reply.sendJson(429, { code }, { 'retry-after': String(seconds) })
  }
  /** Takes a place in the rate; false when the answer is a refusal. */
  const enter = async (signal: AbortSignal): Promise<boolean> => {
    while (!signal.aborted && !rate.tryAcquire()) {
      if (overRate === 'refuse') return false
      await clock.sleep(rate.waitMilliseconds(), signal)
    }
    return true
  }

  const download = async (call: Call): Promise<void> => {
    const { model, weightsMegabytes } = await readJson(call, downloadRequestSchema)
    const leaving = new AbortController()
    const signal = AbortSignal.any([leaving.signal, closing.signal])
    call.reply.onClientDisconnect(() => leaving.abort())
    if (overConcurrency === 'refuse' && downloads.active() >= options.concurrentLoads) return refuse(call, 'over-concurrency')
    if (!await enter(signal)) return refuse(call, 'over-rate')
    started++
    startedByModel.set(model, (startedByModel.get(model) ?? 0) + 1)
    const arriving = downloads.download(weightsMegabytes, signal)
    peakActive = Math.max(peakActive, downloads.active())
    logger.info('download started', { event: 'download-started', model, weightsMegabytes, active: downloads.active() })
    if (!await arriving) {
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
    routes: [{ method: 'POST', path: '/downloads', handle: download }]
  })
  return {
    address: server.address,
    counts,
    control: server.control,
    close: async () => {
      closing.abort()
      await server.close()
    }
  }
}
