import type { ManualClock } from '@fuchsiastage/clock'
import type { ConfigurationDocument, JsonValue, LoadOrder } from '@fuchsiastage/types'
import type { FakeTarget } from './fake-target.js'
import type { SendRecord } from './target-port.js'
import type { DaemonProcess, PatchRecord } from './world.js'

export interface InvariantOptions {
  readonly clock: ManualClock
  readonly daemons: ReadonlyMap<string, DaemonProcess>
  readonly targets: ReadonlyMap<string, FakeTarget>
  readonly patches: ReadonlyMap<string, PatchRecord>
  readonly recordViolation: (text: string) => void
  /** Time at which the VM list or the target itself first reported the state `leaving`. */
  readonly leavingSince: (target: string) => number | undefined
  readonly canReachLog: (daemon: string) => boolean
  /** Records of the placement stream that have not expired, in order. */
  readonly placementRecords: () => readonly JsonValue[]
}

/** Checks of the guarantees that must hold in every scenario. */
export interface Invariants {
  readonly recordSend: (record: SendRecord) => void
  readonly recordIntent: (orderId: string, replicaLimit: number) => void
  readonly checkReplicaLoad: (order: LoadOrder) => void
  /** Runs the checks that are not tied to an event. Called after every step and after every 500 ms of simulated time. */
  readonly check: () => void
  readonly sendCount: () => number
}

/** Time after which a daemon must no longer send requests under a version that a newer accepted version has replaced. */
const STALE_VERSION_LIMIT_MILLISECONDS = 12_000
/** Time after which a draining target must not receive new requests or loads. */
const DRAINING_LIMIT_MILLISECONDS = 3_000

/**
 * Creates the checks of the guarantees.
 *
 * @example
 * const invariants = createInvariants({ clock, daemons, targets, patches, recordViolation, leavingSince, canReachLog, placementRecords })
 */
export function createInvariants (options: InvariantOptions): Invariants {
  const { clock, daemons, targets, patches, recordViolation } = options
  const replicaLimits = new Map<string, number>()
  const highestSentVersions = new Map<string, number>()
  const highestVersions = new Map<DaemonProcess, number>()
  /** Start of the period in which a daemon has been able to reach the log service without interruption. */
  const reachableSince = new Map<DaemonProcess, number>()
  const reportedKeys = new Set<string>()
  let sendCount = 0

  const checkSendVersion = (process: DaemonProcess, id: string): void => {
    const version = process.core.configuration.version()
    const before = highestSentVersions.get(process.name) ?? 0
    if (version < before) recordViolation(`${process.name} sent ${id} under version ${version}, but had already sent under version ${before}`)
    highestSentVersions.set(process.name, Math.max(before, version))
    const since = reachableSince.get(process)
    for (const { name, outcome, appendedAt, acknowledgedAt } of patches.values()) {
      if (outcome?.kind !== 'accepted' || outcome.version <= version) continue
      if (acknowledgedAt !== undefined && clock.now() - acknowledgedAt > STALE_VERSION_LIMIT_MILLISECONDS) {
        recordViolation(`${process.name} sent ${id} under version ${version}, ${clock.now() - acknowledgedAt} ms after ${name} was acknowledged as version ${outcome.version}`)
      }
      if (since !== undefined && appendedAt !== undefined && clock.now() - Math.max(appendedAt, since) > STALE_VERSION_LIMIT_MILLISECONDS) {
        recordViolation(`${process.name} sent ${id} under version ${version}, although it could reach the log with version ${outcome.version} for more than 12 s`)
      }
    }
  }

  const isPermitted = (document: ConfigurationDocument, record: SendRecord, role: string): boolean => {
    const allows = (key: string): boolean => listOf(document.get(key), 'dataCentres').includes(record.dataCentre)
    if (record.kind === 'call') {
      return [...document].some(([key, value]) => key.startsWith('service/') && fieldOf(value, 'role') === role && allows(key))
    }
    const model = fieldOf(document.get(`adapter/${record.model ?? ''}`), 'model')
    return allows(`rule/${record.model ?? ''}`) && (typeof model !== 'string' || allows(`rule/${model}`))
  }

  const recordSend = (record: SendRecord): void => {
    if (record.kind === 'unload') return
    sendCount++
    const process = daemons.get(record.daemon)
    if (process === undefined) return
    checkSendVersion(process, record.id)
    const role = targets.get(record.target)?.role ?? ''
    if (!isPermitted(process.core.configuration.document(), record, role)) {
      recordViolation(`${record.daemon} sent the ${record.kind} ${record.id} to ${record.target} in ${record.dataCentre}, which its configuration does not permit`)
    }
    const since = options.leavingSince(record.target)
    if (since !== undefined && clock.now() - since > DRAINING_LIMIT_MILLISECONDS) {
      recordViolation(`${record.daemon} sent the ${record.kind} ${record.id} to ${record.target}, which has been draining for ${clock.now() - since} ms`)
    }
  }

  /** Whether the intent is void: it was appended after a later epoch had begun in the stream. */
  const isVoidIntent = (orderId: string): boolean => {
    let epoch = 0
    for (const record of options.placementRecords()) {
      const recordEpoch = Number(fieldOf(record, 'epoch') ?? 0)
      const kind = fieldOf(record, 'kind')
      if (kind === 'acquire' && (epoch === 0 || recordEpoch === epoch + 1)) epoch = recordEpoch
      if (kind === 'intent' && fieldOf(record, 'orderId') === orderId) return recordEpoch < epoch
    }
    return false
  }

  const checkReplicaLoad = (order: LoadOrder): void => {
    if (isVoidIntent(order.orderId)) recordViolation(`${order.model} is loaded under a void intent of an earlier epoch`)
    const limit = replicaLimits.get(order.orderId)
    const replicas = [...targets.values()].filter((target) => target.isUp() && target.models().some(({ model }) => model === order.model)).length
    if (limit === undefined) recordViolation(`${order.model} is loaded without an intent`)
    else if (replicas > limit) recordViolation(`${replicas} replicas of ${order.model} are loaded, but the limit in the intent is ${limit}`)
  }

  const check = (): void => {
    for (const process of daemons.values()) {
      if (process.phase === 'killed') continue
      const version = process.core.configuration.version()
      const seen = highestVersions.get(process) ?? 0
      if (version < seen) recordViolation(`${process.name} reverted from version ${seen} to ${version}`)
      highestVersions.set(process, version)
      const isReachable = process.gate.state() === 'running' && options.canReachLog(process.name)
      if (!isReachable) reachableSince.delete(process)
      else if (!reachableSince.has(process)) reachableSince.set(process, clock.now())
    }
    const runsByKey = new Map<string, number>()
    for (const { counts } of targets.values()) for (const [key, runs] of counts.runsByKey) runsByKey.set(key, (runsByKey.get(key) ?? 0) + runs)
    for (const [key, runs] of runsByKey) {
      if (runs < 2 || reportedKeys.has(key)) continue
      reportedKeys.add(key)
      recordViolation(`the calls with the idempotency key ${key} ran ${runs} times`)
    }
  }

  return {
    recordSend,
    recordIntent: (orderId, replicaLimit) => { replicaLimits.set(orderId, replicaLimit) },
    checkReplicaLoad,
    check,
    sendCount: () => sendCount
  }
}

function fieldOf (value: JsonValue | undefined, field: string): JsonValue | undefined {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? (value as { readonly [key: string]: JsonValue })[field] : undefined
}

function listOf (value: JsonValue | undefined, field: string): readonly JsonValue[] {
  const list = fieldOf(value, field)
  return Array.isArray(list) ? list : []
}
