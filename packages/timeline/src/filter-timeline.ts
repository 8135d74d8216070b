import type { TimelineEntry } from './timeline-entry.js'

/** Fields whose value identifies one order, claim or record. */
const IDENTIFIER_FIELDS = ['orderId', 'claimId', 'recordId'] as const

/** Identifiers, configuration versions and epochs that a set of entries refers to. */
interface References {
  readonly identifiers: ReadonlySet<string>
  readonly versions: ReadonlySet<unknown>
  /** Epochs by stream; the key '' holds the epochs of entries without a `stream` field. */
  readonly epochs: ReadonlyMap<string, ReadonlySet<unknown>>
}

/**
 * Returns the entries of one request and the entries of the orders, claims, stream records, leases
 * and configuration versions that they refer to. Entries of other requests are left out.
 *
 * @example
 * formatTimeline(filterByRequest(entries, '0198c0de-…'))
 */
export function filterByRequest (entries: readonly TimelineEntry[], request: string): readonly TimelineEntry[] {
  const requestEntries = entries.filter(({ fields }) => fields.request === request)
  const entriesWithoutRequest = entries.filter(({ fields }) => fields.request === undefined)
  const included = new Set(requestEntries)
  // Repeats until nothing is added: the entries of an order or claim refer to a record, and the
  // entries of that record carry the stream and the epoch by which lease entries are found.
  let references = collectReferences(requestEntries)
  for (let size = -1; size !== included.size;) {
    size = included.size
    for (const entry of entriesWithoutRequest) if (hasIdentifier(entry, references.identifiers)) included.add(entry)
    references = collectReferences([...included])
  }
  const requestVersions = collectReferences(requestEntries).versions
  for (const entry of entriesWithoutRequest) {
    if (isConfigurationEntry(entry, requestVersions) || isLeaseEntry(entry, references.epochs)) included.add(entry)
  }
  return entries.filter((entry) => included.has(entry))
}

function collectReferences (entries: readonly TimelineEntry[]): References {
  const identifiers = new Set<string>()
  const versions = new Set<unknown>()
  const epochs = new Map<string, Set<unknown>>()
  for (const { fields } of entries) {
    for (const name of IDENTIFIER_FIELDS) {
      if (typeof fields[name] === 'string') identifiers.add(`${name} ${fields[name]}`)
    }
    if (fields.version !== undefined) versions.add(fields.version)
    if (fields.epoch === undefined) continue
    const stream = streamName(fields)
    const streamEpochs = epochs.get(stream)
    if (streamEpochs === undefined) epochs.set(stream, new Set([fields.epoch]))
    else streamEpochs.add(fields.epoch)
  }
  return { identifiers, versions, epochs }
}

function hasIdentifier ({ fields }: TimelineEntry, identifiers: ReadonlySet<string>): boolean {
  return IDENTIFIER_FIELDS.some((name) => identifiers.has(`${name} ${String(fields[name])}`))
}

function isConfigurationEntry ({ fields }: TimelineEntry, versions: ReadonlySet<unknown>): boolean {
  return versions.has(fields.version) && (fields.stream === 'configuration' || eventName(fields).startsWith('configuration'))
}

function isLeaseEntry ({ fields }: TimelineEntry, epochs: References['epochs']): boolean {
  if (fields.epoch === undefined || !eventName(fields).startsWith('lease')) return false
  // Each stream numbers its epochs separately; an epoch without a stream may belong to any stream.
  return epochs.get(streamName(fields))?.has(fields.epoch) === true || epochs.get('')?.has(fields.epoch) === true
}

function eventName (fields: TimelineEntry['fields']): string {
  return typeof fields.event === 'string' ? fields.event : ''
}

function streamName (fields: TimelineEntry['fields']): string {
  return typeof fields.stream === 'string' ? fields.stream : ''
}
