import type { ManualClock } from '@fuchsiastage/clock'
import type { MemoryPlatformLog, TargetEntry } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { ok } from 'true-myth/result'
import { createOriginLog, createServiceVersions, createStreamOrigins, type OriginAnswer, type StreamOrigins } from './index.js'

export const VERSIONS_TOPIC = 'software-versions'
export const ORIGINS_TOPIC = 'stream-origins'

/** A daemon's record of software versions, with targets that a test sets. */
export interface TestDaemon extends StreamOrigins {
  /** Targets that this daemon knows, by their versions. */
  knownVersions: ReadonlyArray<string | undefined>
  readonly lines: readonly string[]
  /** Finds the origin of the stream that a request has begun. */
  readonly takeUp: (begunBy: string | undefined, caller?: string) => Promise<OriginAnswer>
  readonly start: (request: string, softwareVersion: string | undefined, caller?: string) => void
  /** Ends the daemon without any warning. */
  readonly kill: () => void
}

export interface TestDaemonOptions {
  readonly clock: ManualClock
  readonly log: MemoryPlatformLog
  /** Versions of the targets in the list, which a daemon may know late. */
  readonly listed: () => ReadonlyArray<string | undefined>
  readonly isResponsible?: boolean
}

function entriesOf (versions: ReadonlyArray<string | undefined>): readonly TargetEntry[] {
  return versions.map((softwareVersion, index) => ({
    id: `t${index}`,
    startedAt: 0,
    service: 'drafter',
    address: `t${index}`,
    dataCentre: 'a',
    softwareVersion,
    slots: 8,
    isDraining: false,
    leavesInMilliseconds: undefined,
    placement: { orderCount: 0, models: [], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  }))
}

export function startTestDaemon ({ clock, log, listed, isResponsible = true }: TestDaemonOptions): TestDaemon {
  const { logger, lines } = createMemoryLogger(clock)
  const ended = new AbortController()
  const versions = createServiceVersions({
    clock,
    logger,
    log,
    topic: VERSIONS_TOPIC,
    readTargets: async () => (await log.readNewest('targets')).andThen(() => ok(entriesOf(listed()))),
    knownTargets: () => entriesOf(daemon.knownVersions),
    areTargetsKnown: () => true,
    isResponsible: () => isResponsible
  })
  const origins = createStreamOrigins({ clock, logger, versions, originLog: createOriginLog({ log, topic: ORIGINS_TOPIC }), daemonCount: () => 7 })
  const daemon: TestDaemon = {
    ...origins,
    knownVersions: listed(),
    lines,
    takeUp: async (begunBy, caller = '') => await origins.find({ request: 'r-next', begunBy, service: 'drafter', caller }, ended.signal),
    start: (request, softwareVersion, caller = '') => origins.begin({ request, service: 'drafter', softwareVersion, caller }),
    kill: () => ended.abort()
  }
  void origins.run(ended.signal)
  return daemon
}
