import { createHash } from 'node:crypto'
import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { PlatformLog, TargetEntry } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import { z } from 'zod'

/** The record that a software version of a service has targets, or had some until a time. */
export interface VersionRecord {
  readonly service: string
  readonly softwareVersion: string
  /** Wall-clock time at which the last target of the version had left; undefined while there are some. */
  readonly leftAt?: Milliseconds
}

export interface ServiceVersionsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly log: Pick<PlatformLog, 'readNewest' | 'appendKeyed'>
  /** Keyed topic of the records. */
  readonly topic: string
  /** Reads the entries of all targets from the log service. */
  readonly readTargets: (signal?: AbortSignal) => Promise<Result<readonly TargetEntry[], FuchsiastageError>>
  /** Entries of all targets that this daemon knows. */
  readonly knownTargets: () => readonly TargetEntry[]
  /** Whether the known targets are those that the log service lists. */
  readonly areTargetsKnown: () => boolean
  /** Whether this daemon is the one that records the versions of a service. */
  readonly isResponsible: (service: string) => boolean
}

/** Returns the recent software versions of a service; a version that is not stated or not recorded is `undefined`. */
export type RecentVersions = (service: string) => ReadonlySet<string | undefined>

export interface ServiceVersions {
  /** Whether targets of several software versions of a service, or of an unstated one, have been known to this daemon recently. */
  readonly isMixed: (service: string) => boolean
  /** Reads from the log service which software versions may have begun a stream that a client still holds. */
  readonly readRecent: (signal?: AbortSignal) => Promise<Result<RecentVersions, FuchsiastageError>>
  /** Makes the next update read the records again and write those that are missing, because the log service has lost some. */
  readonly recordLogRestored: () => void
  /** Updates the known versions from the targets, and records changes if this daemon is responsible for them. */
  readonly update: (signal?: AbortSignal) => Promise<void>
}

/**
 * Time for which a version that has left still counts: longer than a client can hold an unfinished stream.
 * A minute is the usual timeout of HTTP clients; the rest allows for clocks that differ by seconds.
 */
export const VERSION_MEMORY_MILLISECONDS = 90_000
/** A version without targets has left when none has appeared for this time; a target that restarts is away for seconds. */
const LEFT_AFTER_MILLISECONDS = 5_000
/** Records of versions that have left are deleted after this time, so that releases do not add keys for ever. */
const RECORD_LIFETIME_MILLISECONDS = 3_600_000
/** Length of a key in hexadecimal digits; keys in the log service have at most 255 bytes, names may be longer. */
const KEY_DIGITS = 32

const recordSchema = z.object({ service: z.string(), softwareVersion: z.string(), leftAt: z.number().optional() })

function decodeRecord (bytes: Buffer): VersionRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(bytes.toString('utf8')))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

function keyOf (service: string, softwareVersion: string): string {
  return createHash('sha256').update(JSON.stringify([service, softwareVersion])).digest('hex').slice(0, KEY_DIGITS)
}

/**
 * Creates the record of the software versions that serve each service. The daemons' memory is not enough:
 * when all of them restart just after the last targets of a version have left, only the log service knows
 * that streams of that version are still held by clients.
 *
 * @example
 * const versions = createServiceVersions(options)
 * if (versions.isMixed('drafter')) recordStream()
 */
export function createServiceVersions (options: ServiceVersionsOptions): ServiceVersions {
  const { clock, logger, log, topic } = options
  /** Monotonic times at which this daemon last knew a target of each version of each service. */
  const lastSeenAt = new Map<string, Map<string | undefined, Milliseconds>>()
  /** Records as last read or written by this daemon. */
  const records = new Map<string, VersionRecord>()
  /** Services whose records this daemon has read since it became responsible for them. */
  const ownedServices = new Set<string>()
  const startedAt = clock.now()
  let recordsReadAt: Milliseconds | undefined

  const observe = (): void => {
    const now = clock.now()
    for (const { service, softwareVersion } of options.knownTargets()) {
      const versions = lastSeenAt.get(service) ?? new Map<string | undefined, Milliseconds>()
      versions.set(softwareVersion, now)
      lastSeenAt.set(service, versions)
    }
    for (const [service, versions] of lastSeenAt) {
      for (const [version, at] of versions) if (now - at > VERSION_MEMORY_MILLISECONDS) versions.delete(version)
      if (versions.size === 0) lastSeenAt.delete(service)
    }
  }

  /** Whether a version may have begun a stream that a client still holds. */
  const isRecent = ({ leftAt }: VersionRecord): boolean => leftAt === undefined || clock.wallNow() - leftAt <= VERSION_MEMORY_MILLISECONDS

  const recordedVersions = (service: string): readonly string[] =>
    [...records.values()].filter((record) => record.service === service && isRecent(record)).map(({ softwareVersion }) => softwareVersion)

  const readRecords = async (signal?: AbortSignal): Promise<Result<undefined, FuchsiastageError>> => {
    const answer = await log.readNewest(topic, signal)
    if (answer.isErr) return err(answer.error)
    recordsReadAt = clock.now()
    records.clear()
    for (const { key, value } of answer.value.records) {
      const record = value === undefined ? undefined : decodeRecord(value)
      if (record !== undefined) records.set(key, record)
      else if (value !== undefined) logger.warn('ignored a record of a software version that is not valid', { event: 'version-record-unreadable', key })
    }
    return ok(undefined)
  }

  const write = async (record: VersionRecord, signal?: AbortSignal): Promise<void> => {
    const key = keyOf(record.service, record.softwareVersion)
    const answer = await log.appendKeyed(topic, key, Buffer.from(JSON.stringify(record)), signal)
    // The next update writes it again.
    if (answer.isErr) return
    records.set(key, record)
    logger.info('recorded a software version of a service', { event: 'software-version', service: record.service, softwareVersion: record.softwareVersion, leftAt: record.leftAt })
  }

  const writePresent = async (service: string, versions: Iterable<string | undefined>, signal?: AbortSignal): Promise<void> => {
    for (const softwareVersion of versions) {
      if (softwareVersion === undefined) continue
      const recorded = records.get(keyOf(service, softwareVersion))
      if (recorded === undefined || recorded.leftAt !== undefined) await write({ service, softwareVersion }, signal)
    }
  }

  const presentVersions = (service: string): ReadonlySet<string | undefined> =>
    new Set(options.knownTargets().filter((target) => target.service === service).map(({ softwareVersion }) => softwareVersion))

  /** Records the versions that this daemon has seen leave, and whose records the log service has lost. */
  const writeLeft = async (service: string, signal?: AbortSignal): Promise<void> => {
    for (const [softwareVersion, at] of lastSeenAt.get(service) ?? []) {
      if (softwareVersion === undefined || records.has(keyOf(service, softwareVersion))) continue
      await write({ service, softwareVersion, leftAt: clock.wallNow() - (clock.now() - at) }, signal)
    }
  }

  /** Records that versions have left, and deletes records of those that left long ago. */
  const retire = async (signal?: AbortSignal): Promise<void> => {
    for (const [key, record] of [...records]) {
      const { service, softwareVersion, leftAt } = record
      if (!ownedServices.has(service)) continue
      if (leftAt === undefined) {
        const seenAt = lastSeenAt.get(service)?.get(softwareVersion) ?? -Infinity
        if (clock.now() - Math.max(seenAt, startedAt) > LEFT_AFTER_MILLISECONDS) await write({ service, softwareVersion, leftAt: clock.wallNow() }, signal)
      } else if (clock.wallNow() - leftAt > RECORD_LIFETIME_MILLISECONDS) {
        const answer = await log.appendKeyed(topic, key, undefined, signal)
        if (answer.isOk) records.delete(key)
      }
    }
  }

  const update: ServiceVersions['update'] = async (signal) => {
    observe()
    if (!options.areTargetsKnown()) return
    const services = new Set([...lastSeenAt.keys(), ...[...records.values()].map(({ service }) => service)])
    const responsible = [...services].filter(options.isResponsible)
    for (const service of ownedServices) if (!responsible.includes(service)) ownedServices.delete(service)
    // A daemon that has just started learns which versions have left before.
    if (recordsReadAt === undefined || responsible.some((service) => !ownedServices.has(service))) {
      const answer = await readRecords(signal)
      if (answer.isErr) return
      for (const service of responsible) ownedServices.add(service)
    }
    for (const service of responsible) {
      await writePresent(service, presentVersions(service), signal)
      await writeLeft(service, signal)
    }
    await retire(signal)
  }

  const readRecent: ServiceVersions['readRecent'] = async (signal) => {
    const [read, targets] = await Promise.all([readRecords(signal), options.readTargets(signal)])
    if (read.isErr) return err(read.error)
    if (targets.isErr) return err(targets.error)
    observe()
    const listedVersions = new Map<string, Set<string | undefined>>()
    for (const { service, softwareVersion } of targets.value) listedVersions.set(service, (listedVersions.get(service) ?? new Set()).add(softwareVersion))
    const recentVersions = new Map([...listedVersions].map(([service, listed]) => {
      const recorded = recordedVersions(service)
      // Without a record of the service, a version that has left may not have been recorded either.
      return [service, new Set([...listed, ...recorded, ...lastSeenAt.get(service)?.keys() ?? [], ...(recorded.length > 0 ? [] : [undefined])])]
    }))
    for (const [service, listed] of listedVersions) await writePresent(service, listed, signal)
    return ok((service) => recentVersions.get(service) ?? new Set())
  }

  return {
    isMixed: (service) => {
      // Old records may lack that a version has left; by then this daemon has seen all recent ones itself.
      const areRecordsRecent = recordsReadAt !== undefined && clock.now() - recordsReadAt <= VERSION_MEMORY_MILLISECONDS
      const versions = new Set([...lastSeenAt.get(service)?.keys() ?? [], ...areRecordsRecent ? recordedVersions(service) : []])
      return versions.size > 1 || versions.has(undefined)
    },
    readRecent,
    recordLogRestored: () => ownedServices.clear(),
    update
  }
}
