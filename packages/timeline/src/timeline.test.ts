import test from 'ava'
import fc from 'fast-check'
import { filterByRequest, formatIgnored, formatTimeline, mergeTimeline } from './index.js'

const START = 1_767_225_600_000
const line = (process: string, time: number, sequence: number, message: string, fields: Record<string, unknown> = {}): string =>
  JSON.stringify({ time: START + time, sequence, process, level: 'info', message, ...fields })
const file = (name: string, ...lines: readonly string[]) => ({ name: `${name}.log`, lines })
const messages = (...files: readonly { readonly name: string, readonly lines: readonly string[] }[]): readonly string[] =>
  mergeTimeline(files).entries.map(({ message }) => message)

test('lines are ordered by wall time, then by process and sequence number', (t) => {
  t.deepEqual(messages(
    file('a', line('a', 10, 0, 'a0'), line('a', 30, 2, 'a2'), line('a', 30, 1, 'a1')),
    file('b', line('b', 20, 0, 'b0'), line('b', 30, 1, 'b1'))
  ), ['a0', 'b0', 'a1', 'a2', 'b1'])
})

test('a wall clock that steps backwards does not reorder the lines of its process', (t) => {
  t.deepEqual(messages(
    file('a', line('a', 50, 0, 'a0'), line('a', 20, 1, 'a1'), line('a', 55, 2, 'a2')),
    file('b', line('b', 30, 0, 'b0'), line('b', 60, 1, 'b1'))
  ), ['b0', 'a0', 'a1', 'a2', 'b1'])
})

test('lines of a restarted process, whose sequence numbers repeat, keep the order of the file', (t) => {
  t.deepEqual(messages(file('a', line('a', 10, 0, 'first'), line('a', 11, 1, 'second'), line('a', 12, 0, 'restarted'))), ['first', 'second', 'restarted'])
})

test('a record is listed as applied after its append even if the clock of the reader is behind', (t) => {
  t.deepEqual(messages(
    file('reader', line('reader', 5, 0, 'applied', { recordId: 'r1', offset: 7 }), line('reader', 6, 1, 'after')),
    file('writer', line('writer', 100, 0, 'before'), line('writer', 110, 1, 'append', { recordId: 'r1' }), line('writer', 120, 2, 'applied by the writer', { recordId: 'r1', offset: 7 }))
  ), ['before', 'append', 'applied', 'after', 'applied by the writer'])
})

test('entries that block each other in a cycle are all kept', (t) => {
  t.deepEqual(messages(
    file('a', line('a', 1, 0, 'a applied', { recordId: 'r2', offset: 1 }), line('a', 2, 1, 'a append', { recordId: 'r1' })),
    file('b', line('b', 1, 0, 'b applied', { recordId: 'r1', offset: 0 }), line('b', 2, 1, 'b append', { recordId: 'r2' }))
  ).length, 4)
})

test('lines that are not log lines are reported and do not stop the merge', (t) => {
  const { entries, ignored } = mergeTimeline([
    file('a', 'panic: not JSON', line('a', 1, 0, 'kept'), '', '{"time":1}', 'null', '[1]', '{"time":'),
    file('b', 'x')
  ])
  t.deepEqual(entries.map(({ message }) => message), ['kept'])
  t.deepEqual(ignored.map(({ line: number, reason }) => `${number} ${reason}`), ['1 not-json', '4 not-a-log-line', '5 not-a-log-line', '6 not-a-log-line', '7 not-json', '1 not-json'])
  t.is(formatIgnored(ignored), 'a.log: 5 lines ignored, the first is line 1\nb.log: 1 line ignored, the first is line 1\n')
})

test('with arbitrary clocks every line appears once, each process keeps its order, and no offset precedes its append', (t) => {
  const lineArbitrary = fc.record({ process: fc.integer({ min: 0, max: 3 }), time: fc.integer({ min: 0, max: 20 }), record: fc.integer({ min: 0, max: 5 }), kind: fc.constantFrom('plain', 'append', 'applied') })
  fc.assert(fc.property(fc.array(lineArbitrary, { maxLength: 60 }), (drawnLines) => {
    // The order of generation is the causal order; an `applied` line gets an offset only if the append precedes it.
    const appended = new Set<number>()
    const nextSequenceByProcess = [0, 0, 0, 0]
    const lines = drawnLines.map(({ process, time, record, kind }, index) => {
      const isApplied = kind === 'applied' && appended.has(record)
      const fields = kind === 'append' && !appended.has(record) ? { recordId: `r${record}` } : isApplied ? { recordId: `r${record}`, offset: record } : {}
      if (kind === 'append') appended.add(record)
      return { process, text: line(`p${process}`, time, nextSequenceByProcess[process]!++, String(index), fields) }
    })
    const files = [0, 1, 2, 3].map((process) => file(`p${process}`, ...lines.filter((entry) => entry.process === process).map(({ text }) => text)))
    const { entries } = mergeTimeline(files)
    const recordsWithAppend = new Set<unknown>()
    const nextSequences = new Map<string, number>()
    for (const entry of entries) {
      if (entry.sequence !== (nextSequences.get(entry.process) ?? 0)) return false
      nextSequences.set(entry.process, entry.sequence + 1)
      if (entry.fields.offset !== undefined && !recordsWithAppend.has(entry.fields.recordId)) return false
      recordsWithAppend.add(entry.fields.recordId)
    }
    return entries.length === drawnLines.length
  }), { seed: 5, numRuns: 2_000 })
  t.pass()
})

test('the filter keeps what the request\'s lines refer to and nothing of other requests', (t) => {
  const { entries } = mergeTimeline([
    file('entry-1',
      line('entry-1', 1, 0, 'lease of an older epoch', { event: 'lease-acquired', stream: 'placement.bc-coast', epoch: 6 }),
      line('entry-1', 2, 1, 'lease', { event: 'lease-acquired', stream: 'placement.bc-coast', epoch: 7 }),
      line('entry-1', 3, 2, 'same epoch of another stream', { event: 'lease-acquired', stream: 'claims.3', epoch: 7 }),
      line('entry-1', 5, 3, 'intent', { event: 'record-append', recordId: 'r1', orderId: 'o1', stream: 'placement.bc-coast', epoch: 7 }),
      line('entry-1', 6, 4, 'intent applied', { event: 'record-applied', recordId: 'r1', offset: 4, stream: 'placement.bc-coast', epoch: 7 }),
      line('entry-1', 7, 5, 'other order', { orderId: 'o2', stream: 'placement.bc-coast', epoch: 7 })),
    file('entry-2',
      line('entry-2', 2, 0, 'configuration applied', { event: 'record-applied', stream: 'configuration', recordId: 'c1', offset: 8, version: 9 }),
      line('entry-2', 3, 1, 'another version', { event: 'record-applied', stream: 'configuration', recordId: 'c2', offset: 9, version: 10 }),
      line('entry-2', 4, 2, 'request received', { request: 'q1', version: 9 }),
      line('entry-2', 4, 3, 'other request', { request: 'q2', version: 9, orderId: 'o1' }),
      line('entry-2', 8, 4, 'request placed', { request: 'q1', orderId: 'o1' }),
      line('entry-2', 9, 5, 'request claimed', { request: 'q1', claimId: 'k1' })),
    file('entry-3', line('entry-3', 9, 0, 'claim granted', { claimId: 'k1' }), line('entry-3', 9, 1, 'other claim', { claimId: 'k2' }))
  ])
  t.snapshot(formatTimeline(filterByRequest(entries, 'q1')))
})

test('a field value with spaces or line breaks does not break the line of its entry', (t) => {
  const text = formatTimeline(mergeTimeline([file('a', line('a', 1, 0, 'failed', { reason: 'first\nsecond', peer: '127.0.0.1:7101', empty: '', list: [1, 2] }))]).entries)
  t.is(text, '2026-01-01T00:00:00.001Z a info  failed reason="first\\nsecond" peer=127.0.0.1:7101 empty="" list=[1,2]\n')
})
