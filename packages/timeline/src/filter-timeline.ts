import type { TimelineEntry } from './timeline-entry.js'

/** Fields whose value names one order, claim or record. */
const IDENTIFIERS = ['orderId', 'claimId', 'recordId'] as const

interface References {
  readonly identifiers: ReadonlySet<string>
  readonly versions: ReadonlySet<unknown>
  /** Epochs by stream; the empty name holds epochs of lines that name no stream. */
  readonly epochs: ReadonlyMap<string, ReadonlySet<unknown>>
}

/**
 * Keeps the lines of one request and the lines of orders, claims, stream records, leases and
 * configuration versions that they refer to. Lines of other requests are left out.
 *
 * @example
 * formatTimeline(filterByRequest(entries, '0198c0de-…'))
 */
export function filterByRequest (entries: readonly TimelineEntry[], request: string): readonly TimelineEntry[] {
  const own = entries.filter(({ fields }) => fields.request === request)
  const shared = entries.filter(({ fields }) => fields.request === undefined)
  const kept = new Set(own)
  // The lines of an order or claim name the record, and the record's lines name stream and epoch.
  let references = collectReferences(own)
  for (let size = -1; size !== kept.size;) {
    size = kept.size
    for (const entry of shared) if (hasIdentifier(entry, references.identifiers)) kept.add(entry)
    references = collectReferences([...kept])
  }
  const ownVersions = collectReferences(own).versions
  for (const entry of shared) {
    if (isConfigurationLine(entry, ownVersions) || isLeaseLine(entry, references.epochs)) kept.add(entry)
  }
  return entries.filter((entry) => kept.has(entry))
}

function collectReferences (entries: readonly TimelineEntry[]): References {
  const identifiers = new Set<string>()
  const versions = new Set<unknown>()
  const epochs = new Map<string, Set<unknown>>()
  for (const { fields } of entries) {
    for (const name of IDENTIFIERS) {
      if (typeof fields[name] === 'string') identifiers.add(`${name} ${fields[name]}`)
    }
    if (fields.version !== undefined) versions.add(fields.version)
    if (fields.epoch === undefined) continue
    const stream = streamOf(fields)
    const known = epochs.get(stream)
    if (known === undefined) epochs.set(stream, new Set([fields.epoch]))
    else known.add(fields.epoch)
  }
  return { identifiers, versions, epochs }
}

function hasIdentifier ({ fields }: TimelineEntry, identifiers: ReadonlySet<string>): boolean {
  return IDENTIFIERS.some((name) => identifiers.has(`${name} ${String(fields[name])}`))
}

function isConfigurationLine ({ fields }: TimelineEntry, versions: ReadonlySet<unknown>): boolean {
  return versions.has(fields.version) && (fields.stream === 'configuration' || eventOf(fields).startsWith('configuration'))
}

function isLeaseLine ({ fields }: TimelineEntry, epochs: References['epochs']): boolean {
  if (fields.epoch === undefined || !eventOf(fields).startsWith('lease')) return false
  // Epochs count for each stream; only a line that names none may refer to any.
  return epochs.get(streamOf(fields))?.has(fields.epoch) === true || epochs.get('')?.has(fields.epoch) === true
}

function eventOf (fields: TimelineEntry['fields']): string {
  return typeof fields.event === 'string' ? fields.event : ''
}

function streamOf (fields: TimelineEntry['fields']): string {
  return typeof fields.stream === 'string' ? fields.stream : ''
}
