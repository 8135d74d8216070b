import { linkSignals, type Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { joinReads } from './join-reads.js'
import type { OriginLog, RecordedOrigin } from './origin-log.js'
import { VERSION_MEMORY_MILLISECONDS, type ServiceVersions } from './service-versions.js'

/** A stream whose first event is being relayed to its client. */
export interface BegunStream extends Omit<RecordedOrigin, 'softwareVersion'> {
  /** Undefined if the entry of the target does not state it. */
  readonly softwareVersion: string | undefined
}

/** A request that takes a stream up after its last event. */
export interface StreamResumption {
  /** The request that takes the stream up. */
  readonly request: string
  /** Identifier of the request that brought the first event, if the client names it. */
  readonly begunBy: string | undefined
  readonly service: string
  readonly caller: string
}

export type OriginAnswer =
  | { readonly kind: 'known', readonly softwareVersion: string }
  | { readonly kind: 'unknown', readonly reason: UnknownReason }

type UnknownReason =
  /** The request does not name the one that brought the first event, and several versions may have. */
  | 'request-not-named'
  /** Several versions may have begun the stream, and which one has was not recorded. */
  | 'not-recorded'
  | 'of-another-caller'
  /** The log service did not answer whether several versions may have begun the stream. */
  | 'log-unavailable'

export interface StreamOriginsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly versions: ServiceVersions
  readonly originLog: OriginLog
  /** Number of daemons that write to the log service. */
  readonly daemonCount: () => number
}

export interface StreamOrigins {
  /** Records that the first event of a resumable stream is relayed to its client. */
  readonly begin: (stream: BegunStream) => void
  /** Forgets a stream whose client has got all of it. */
  readonly complete: (request: string) => void
  /** Finds the software version that began a stream. */
  readonly find: (resumption: StreamResumption, signal: AbortSignal) => Promise<OriginAnswer>
  /** Writes what this daemon knows again, because the log service has returned to an older copy of its records. */
  readonly recordLogRestored: () => void
  /** Records versions and origins until the signal aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>
}

interface RememberedOrigin extends BegunStream {
  /** Monotonic time at which this daemon learned the origin. */
  readonly at: Milliseconds
  /** Whether the stream began at this daemon, which then records its origin. */
  readonly isOwn: boolean
  /** Whether the origin is in the log service, or waits to be written. */
  isLogged: boolean
}

/** Maximum number of remembered streams; the oldest are forgotten first. Each takes some 200 bytes. */
const MAXIMUM_REMEMBERED = 50_000
/** Period of the check for new versions. Streams of a new version may be recorded that much later. */
const UPDATE_MILLISECONDS = 250
/** Minimum time between two batches, by the number of daemons: together they write at most 160 batches a second. */
const BATCH_MILLISECONDS_PER_DAEMON = 6
/** A stream lasts about a second; a daemon that is killed loses the origins that wait for the next batch. */
const MAXIMUM_BATCH_MILLISECONDS = 1_000

/**
 * Creates the record of the software versions that began streams. What two versions write does not fit
 * together, so a stream whose origin is not known does not go on.
 *
 * @example
 * const origins = createStreamOrigins({ clock, logger, versions, originLog, daemonCount: () => 7 })
 * const origin = await origins.find({ request: 'r2', begunBy: 'r1', service: 'drafter', caller: '' }, signal)
 */
export function createStreamOrigins (options: StreamOriginsOptions): StreamOrigins {
  const { clock, logger, versions, originLog } = options
  const remembered = new Map<string, RememberedOrigin>()

  const remember = (stream: BegunStream, isOwn: boolean): void => {
    remembered.delete(stream.request)
    remembered.set(stream.request, { ...stream, at: clock.now(), isOwn, isLogged: !isOwn })
  }

  const forgetOld = (): void => {
    // Insertion order is the order of age.
    for (const [request, { at }] of remembered) {
      if (remembered.size <= MAXIMUM_REMEMBERED && clock.now() - at <= VERSION_MEMORY_MILLISECONDS) break
      remembered.delete(request)
    }
  }

  /** Adds the streams of services with several versions to the next batch, those from before the second version included. */
  const addUnlogged = (): void => {
    for (const stream of remembered.values()) {
      const { softwareVersion } = stream
      if (stream.isLogged || softwareVersion === undefined || !versions.isMixed(stream.service)) continue
      stream.isLogged = true
      originLog.add({ request: stream.request, service: stream.service, softwareVersion, caller: stream.caller })
    }
  }

  const findRemembered = ({ begunBy, service, caller }: StreamResumption): OriginAnswer | undefined => {
    const origin = begunBy === undefined ? undefined : remembered.get(begunBy)
    if (origin === undefined) return undefined
    if (origin.caller !== caller) return { kind: 'unknown', reason: 'of-another-caller' }
    return origin.service === service && origin.softwareVersion !== undefined ? { kind: 'known', softwareVersion: origin.softwareVersion } : { kind: 'unknown', reason: 'not-recorded' }
  }

  const readRecent = joinReads(async () => await versions.readRecent())

  /** Reads the origins that all daemons have written, and returns whether that succeeded. */
  const readOrigins = joinReads(async () => {
    const answer = await originLog.read()
    if (answer.isErr) return false
    for (const origin of answer.value) if (!remembered.has(origin.request)) remember(origin, false)
    return true
  })

  const findInLog = async (resumption: StreamResumption): Promise<{ readonly answer: OriginAnswer, readonly source: string }> => {
    const recent = await readRecent()
    if (recent.isErr) return { answer: { kind: 'unknown', reason: 'log-unavailable' }, source: 'versions' }
    const recentVersions = recent.value(resumption.service)
    const only = recentVersions.size === 1 ? [...recentVersions][0] : undefined
    const single = only === undefined ? undefined : { answer: { kind: 'known', softwareVersion: only }, source: 'single-version' } as const
    if (resumption.begunBy === undefined) return single ?? { answer: { kind: 'unknown', reason: 'request-not-named' }, source: 'versions' }
    // The daemon that records the versions may not have seen one that has left; the daemon that began the stream has.
    if (!await readOrigins()) return { answer: { kind: 'unknown', reason: 'log-unavailable' }, source: 'origins' }
    const recorded = findRemembered(resumption)
    if (recorded !== undefined) return { answer: recorded, source: 'origins' }
    return single ?? { answer: { kind: 'unknown', reason: 'not-recorded' }, source: 'origins' }
  }

  const find: StreamOrigins['find'] = async (resumption, signal) => {
    const startedAt = clock.now()
    const own = findRemembered(resumption)
    const aborted = new Promise<undefined>((resolve) => signal.addEventListener('abort', () => resolve(undefined), { once: true }))
    const found = own === undefined ? await Promise.race([findInLog(resumption), aborted]) : { answer: own, source: 'memory' }
    const { answer, source } = found ?? { answer: { kind: 'unknown', reason: 'log-unavailable' } as const, source: 'versions' }
    logger.info('looked up the software version that began a stream which a client takes up', {
      event: 'stream-origin',
      request: resumption.request,
      begunBy: resumption.begunBy,
      service: resumption.service,
      softwareVersion: answer.kind === 'known' ? answer.softwareVersion : undefined,
      reason: answer.kind === 'unknown' ? answer.reason : undefined,
      source,
      milliseconds: Math.round(clock.now() - startedAt)
    })
    return answer
  }

  let wakeUp = new AbortController()

  const begin: StreamOrigins['begin'] = (stream) => {
    remember(stream, true)
    if (versions.isMixed(stream.service)) wakeUp.abort()
  }

  const run: StreamOrigins['run'] = async (signal) => {
    let updateAt = clock.now()
    while (!signal.aborted) {
      if (clock.now() >= updateAt) {
        await versions.update(signal)
        forgetOld()
        updateAt = clock.now() + UPDATE_MILLISECONDS
      }
      addUnlogged()
      if (await originLog.flush(signal)) {
        await clock.sleep(Math.min(MAXIMUM_BATCH_MILLISECONDS, BATCH_MILLISECONDS_PER_DAEMON * options.daemonCount()), signal)
      } else {
        wakeUp = new AbortController()
        const waiting = linkSignals([signal, wakeUp.signal])
        await clock.sleep(updateAt - clock.now(), waiting.signal)
        waiting.release()
      }
    }
  }

  const recordLogRestored: StreamOrigins['recordLogRestored'] = () => {
    versions.recordLogRestored()
    for (const stream of remembered.values()) if (stream.isOwn) stream.isLogged = false
    wakeUp.abort()
  }

  return { begin, recordLogRestored, complete: (request) => { remembered.delete(request) }, find, run }
}
