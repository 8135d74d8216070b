import type { StreamFold, StreamRecord } from '@fuchsiastage/log-client'
import type { ConfigurationConflict, ConfigurationDocument, ConfigurationPatch, JsonValue, PatchOutcome } from '@fuchsiastage/types'
import { z } from 'zod'
import { findBrokenInvariants } from './invariants.js'
import { mergePatch, type ValueLookup } from './merge-patch.js'
import { checkPatch, checkValue, patchSchema } from './schemas.js'

export const CONFIGURATION_STREAM = 'configuration'
export const PATCH_KIND = 'patch'

/** Newest record format that this release can read and, once the configuration permits it, writes. */
export const CONFIGURATION_FORMAT_VERSION = 1

/** Number of versions whose changes are kept, so that they can be the base of a three-way merge. */
export const KEPT_VERSIONS = 1_000

/**
 * Number of rejected patches whose outcome is kept. The outcome of an accepted patch is kept as long
 * as the changes of its version. After that, the base version of a repeated patch is too old, so the
 * patch is not applied twice.
 */
export const KEPT_REJECTIONS = 1_000

/**
 * Number of conflicts that are kept for one rejected patch, whose reason states the total number, and of
 * broken invariants that the reason of a rejection lists.
 */
export const KEPT_CONFLICTS = 50

export interface VersionChange {
  readonly key: string
  /** `null` if the key was absent. */
  readonly before: JsonValue
  readonly after: JsonValue
}

/** An accepted patch with the changes that were applied. */
export interface ConfigurationVersion {
  readonly version: number
  /** Offset of the patch record in the stream. */
  readonly offset: number
  readonly patchId: string
  readonly operator: string
  readonly note: string
  readonly baseVersion: number
  readonly changes: readonly VersionChange[]
}

export interface RejectedPatch {
  readonly patchId: string
  readonly reason: string
  readonly conflicts: readonly ConfigurationConflict[]
}

export interface ConfigurationState {
  readonly version: number
  readonly document: ConfigurationDocument
  /** The newest `KEPT_VERSIONS` versions, oldest first. */
  readonly history: readonly ConfigurationVersion[]
  /** The newest `KEPT_REJECTIONS` rejections, oldest first. */
  readonly rejected: readonly RejectedPatch[]
}

const EMPTY_STATE: ConfigurationState = { version: 0, document: new Map(), history: [], rejected: [] }

const encodedStateSchema = z.object({
  version: z.number().int().nonnegative(),
  document: z.array(z.tuple([z.string(), z.json()])),
  history: z.array(z.object({
    version: z.number().int(),
    offset: z.number().int(),
    patchId: z.string(),
    operator: z.string(),
    note: z.string(),
    baseVersion: z.number().int(),
    changes: z.array(z.object({ key: z.string(), before: z.json(), after: z.json() }))
  })),
  rejected: z.array(z.object({
    patchId: z.string(),
    reason: z.string(),
    conflicts: z.array(z.object({ key: z.string(), field: z.string(), base: z.json(), current: z.json(), proposed: z.json() }))
  }))
})

const patchRecordSchema = z.looseObject({ patch: z.looseObject({ patchId: patchSchema.shape.patchId }) })

/**
 * Creates the fold of the `configuration` stream. Every reader reaches the same outcome for a patch,
 * because the outcome depends only on the patch and the records before it.
 *
 * @example
 * const fold = createConfigurationFold(CONFIGURATION_FORMAT_VERSION)
 */
export function createConfigurationFold (formatVersion: number): StreamFold<ConfigurationState> {
  return {
    formatVersion,
    empty: () => EMPTY_STATE,
    apply: (state, record, offset) => {
      if (record.kind !== PATCH_KIND || !patchRecordSchema.safeParse(record).success) return state
      return applyPatch(state, record.patch as unknown as ConfigurationPatch, offset)
    },
    encode: encodeState,
    decode: decodeState
  }
}

export const configurationFold: StreamFold<ConfigurationState> = createConfigurationFold(CONFIGURATION_FORMAT_VERSION)

/**
 * Folds a list of records from the start of the stream.
 *
 * @example
 * const { version, document } = foldConfiguration(records)
 */
export function foldConfiguration (records: readonly StreamRecord[], fold: StreamFold<ConfigurationState> = configurationFold): ConfigurationState {
  return records.reduce((state, record, offset) => fold.apply(state, record, offset), fold.empty())
}

/** Outcome of a patch that the fold has accepted or rejected. */
export type FoldedOutcome = Exclude<PatchOutcome, { readonly kind: 'undecided' }>

/**
 * Returns the outcome of a patch, with the offset of its record if it was accepted. Undefined if the
 * fold has not processed the patch or no longer keeps its outcome.
 *
 * @example
 * findOutcome(state, 'patch-1')?.outcome.kind
 */
export function findOutcome (state: ConfigurationState, patchId: string): { readonly outcome: FoldedOutcome; readonly offset?: number } | undefined {
  const accepted = state.history.find((entry) => entry.patchId === patchId)
  if (accepted !== undefined) {
    const rebased = accepted.baseVersion !== accepted.version - 1
    return { outcome: { kind: 'accepted', version: accepted.version, rebased }, offset: accepted.offset }
  }
  const rejection = state.rejected.find((entry) => entry.patchId === patchId)
  if (rejection === undefined) return undefined
  return { outcome: { kind: 'rejected', reason: rejection.reason, conflicts: rejection.conflicts } }
}

/**
 * Returns the document of a version; undefined if the changes of later versions are no longer kept,
 * or if the version does not exist yet.
 *
 * @example
 * documentAt(state, state.version - 1)
 */
export function documentAt (state: ConfigurationState, version: number): ConfigurationDocument | undefined {
  if (version === state.version) return state.document
  if (version > state.version || version < oldestBaseVersion(state)) return undefined
  const document = new Map(state.document)
  for (const entry of state.history.filter((candidate) => candidate.version > version).reverse()) {
    for (const { key, before } of entry.changes) setValue(document, key, before)
  }
  return document
}

function applyPatch (state: ConfigurationState, patch: ConfigurationPatch, offset: number): ConfigurationState {
  if (findOutcome(state, patch.patchId) !== undefined) return state
  const fault = checkPatch(patch)
  if (fault !== undefined) return reject(state, patch.patchId, `invalid patch: ${fault}`)
  if (patch.baseVersion > state.version) return reject(state, patch.patchId, `base version ${patch.baseVersion} is newer than the current version ${state.version}`)
  if (patch.baseVersion < oldestBaseVersion(state)) return reject(state, patch.patchId, `base version ${patch.baseVersion} is older than the kept version ${oldestBaseVersion(state)}`)

  const merge = mergePatch(valuesAt(state, patch.baseVersion), state.document, patch.changes)
  if (merge.kind === 'conflict') {
    const total = merge.conflicts.length
    return reject(state, patch.patchId, `${total} ${total === 1 ? 'conflict' : 'conflicts'} with later versions`, merge.conflicts.slice(0, KEPT_CONFLICTS))
  }
  const document = new Map(state.document)
  const changes: VersionChange[] = []
  for (const { key, value } of merge.changes) {
    // Merging two valid values field by field may result in an invalid value.
    const valueFault = value === null ? undefined : checkValue(key, value)
    if (valueFault !== undefined) return reject(state, patch.patchId, `invalid after the merge: ${valueFault}`)
    changes.push({ key, before: document.get(key) ?? null, after: value })
    setValue(document, key, value)
  }
  const broken = findBrokenInvariants(document, changes.map(({ key }) => key))
  if (broken.length > 0) return reject(state, patch.patchId, `broken invariants: ${broken.slice(0, KEPT_CONFLICTS).join('; ')}`)

  const version = state.version + 1
  const { patchId, operator, note, baseVersion } = patch
  const entry: ConfigurationVersion = { version, offset, patchId, operator, note, baseVersion, changes }
  return { ...state, version, document, history: [...state.history, entry].slice(-KEPT_VERSIONS) }
}

/** Adds a rejection. The reason is part of the state that daemons compare, so its text is part of the record format. */
function reject (state: ConfigurationState, patchId: string, reason: string, conflicts: readonly ConfigurationConflict[] = []): ConfigurationState {
  return { ...state, rejected: [...state.rejected, { patchId, reason, conflicts }].slice(-KEPT_REJECTIONS) }
}

function oldestBaseVersion (state: ConfigurationState): number {
  return state.version - state.history.length
}

/** Looks up values as of an older version: the first later change of a key contains the value at that version. */
function valuesAt (state: ConfigurationState, version: number): ValueLookup {
  const olderValues = new Map<string, JsonValue>()
  for (const entry of state.history) {
    if (entry.version <= version) continue
    for (const { key, before } of entry.changes) {
      if (!olderValues.has(key)) olderValues.set(key, before)
    }
  }
  return { get: (key) => olderValues.has(key) ? olderValues.get(key) : state.document.get(key) }
}

function setValue (document: Map<string, JsonValue>, key: string, value: JsonValue): void {
  if (value === null) document.delete(key)
  else document.set(key, value)
}

function encodeState (state: ConfigurationState): JsonValue {
  // Sorted by key, so that readers encode equal documents identically regardless of the order of the changes.
  const document = [...state.document].sort(([left], [right]) => left < right ? -1 : 1)
  return { version: state.version, document, history: state.history, rejected: state.rejected } as unknown as JsonValue
}

function decodeState (encoded: JsonValue): ConfigurationState {
  const { version, document, history, rejected } = encodedStateSchema.parse(encoded)
  return { version, document: new Map(document), history, rejected } as ConfigurationState
}
