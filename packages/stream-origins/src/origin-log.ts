import type { FuchsiastageError } from '@fuchsiastage/errors'
import { relateEra, type PlatformLog } from '@fuchsiastage/fleet'
import { err, ok, type Result } from 'true-myth/result'
import { z } from 'zod'

/** Which software version has begun the stream of a request. */
export interface RecordedOrigin {
  /** Identifier of the request that brought the first event. */
  readonly request: string
  readonly service: string
  readonly softwareVersion: string
  /** What identifies the caller; empty if requests state nothing. */
  readonly caller: string
}

export interface OriginLog {
  /** Adds an origin to the next batch. */
  readonly add: (origin: RecordedOrigin) => void
  /** Writes the origins that were added, and returns whether there were any. They stay in the next batch if that fails. */
  readonly flush: (signal?: AbortSignal) => Promise<boolean>
  /** Reads all origins that were written since the last read. */
  readonly read: (signal?: AbortSignal) => Promise<Result<readonly RecordedOrigin[], FuchsiastageError>>
}

export interface OriginLogOptions {
  readonly log: Pick<PlatformLog, 'append' | 'read'>
  readonly topic: string
}

/** Maximum number of origins in one record, about 100 KB; the log service limits the size of records. */
const MAXIMUM_BATCH = 1_000
/** Maximum number of origins that wait while the log service is not available; the oldest are dropped first. */
const MAXIMUM_WAITING = 10_000
/** A read returns a megabyte at most, so one that returns less has reached the end. */
const FULL_READ_BYTES = 500_000
/** Limits the reads of one call while others append. */
const MAXIMUM_READS = 64

const batchSchema = z.array(z.tuple([z.string(), z.string(), z.string(), z.string()]))

/**
 * Creates the reader and writer of the topic with the origins of streams. The records expire with the
 * history of the log service.
 *
 * @example
 * const origins = createOriginLog({ log, topic: 'stream-origins' })
 * origins.add({ request: '9c41d07be2a35f68', service: 'drafter', softwareVersion: 'v2', caller: '' })
 * await origins.flush()
 */
export function createOriginLog ({ log, topic }: OriginLogOptions): OriginLog {
  let waiting: readonly RecordedOrigin[] = []
  let offset = 0
  /** Era of `offset`. */
  let era: number | undefined

  const flush: OriginLog['flush'] = async (signal) => {
    if (waiting.length === 0) return false
    while (waiting.length > 0) {
      const batch = waiting.slice(0, MAXIMUM_BATCH)
      const encoded = batch.map(({ request, service, softwareVersion, caller }) => [request, service, softwareVersion, caller])
      const answer = await log.append(topic, Buffer.from(JSON.stringify(encoded)), undefined, signal)
      if (answer.isErr) break
      const written = new Set(batch)
      waiting = waiting.filter((origin) => !written.has(origin))
    }
    return true
  }

  const read: OriginLog['read'] = async (signal) => {
    const origins: RecordedOrigin[] = []
    for (let count = 0; count < MAXIMUM_READS; count++) {
      const answer = await log.read(topic, offset, 0, signal)
      if (answer.isErr) return err(answer.error)
      const outcome = answer.value
      const relation = relateEra(era, outcome.era)
      if (relation === 'earlier') continue
      era = outcome.era ?? era
      if (relation === 'later') {
        offset = 0
        continue
      }
      if (outcome.kind === 'expired') {
        if (outcome.firstOffset === offset) break
        offset = outcome.firstOffset
        continue
      }
      for (const record of outcome.entries) origins.push(...decodeBatch(record))
      offset = outcome.nextOffset
      if (outcome.entries.reduce((bytes, record) => bytes + record.length, 0) < FULL_READ_BYTES) break
    }
    return ok(origins)
  }

  return {
    add: (origin) => { waiting = [...waiting, origin].slice(-MAXIMUM_WAITING) },
    flush,
    read
  }
}

/** Decodes a batch; a record of another writer contains no origins. */
function decodeBatch (record: Buffer): readonly RecordedOrigin[] {
  try {
    const parsed = batchSchema.safeParse(JSON.parse(record.toString('utf8')))
    return parsed.success ? parsed.data.map(([request, service, softwareVersion, caller]) => ({ request, service, softwareVersion, caller })) : []
  } catch {
    return []
  }
}
