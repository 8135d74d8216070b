import test from 'ava'
import fc from 'fast-check'
import type { EpochRecord, AuthorStatus } from '@fuchsiastage/leased-stream'
import type { JsonValue } from '@fuchsiastage/types'
import { countClaims, findClaim, foldClaims, isKeyExpired, type ClaimsState } from './index.js'
import { HORIZON_MILLISECONDS, makeKey } from './simulation.test-helper.js'

const start = 1_767_225_600_000
const retentionMilliseconds = HORIZON_MILLISECONDS * 2
const key = makeKey(start, 1)
const fingerprint = 'f'.repeat(16)

function claim (claimId: string, claimKey = key): JsonValue {
  return { kind: 'claim', caller: 'desk', key: claimKey, claimId, fingerprint }
}

function settlement (claimId: string, outcome: string, body?: string): JsonValue {
  return { kind: 'settlement', caller: 'desk', key, claimId, outcome, ...(body === undefined ? {} : { answer: { status: 200, headers: {}, body } }) }
}

function applyBatch (state: ClaimsState, sequence: number, entries: readonly JsonValue[], epoch = 1, authorStatus: AuthorStatus = 'current'): ClaimsState {
  const record: EpochRecord = { recordId: `${epoch}.${sequence}`, kind: 'batch', formatVersion: 1, epoch, author: 'entry-1', sequence, retentionMilliseconds, entries }
  return foldClaims.apply(state, record, sequence, authorStatus)
}

/** Applies each list of entries as one batch. */
function applyAll (...batches: ReadonlyArray<readonly JsonValue[]>): ClaimsState {
  return batches.reduce((state, entries, index) => applyBatch(state, index + 1, entries), foldClaims.empty())
}

function summary (state: ClaimsState): string {
  const held = findClaim(state, 'desk', key)
  return held === undefined ? 'free' : `${held.claimId} ${held.status}${held.answer === undefined ? '' : ` ${held.answer.body.length}`}`
}

test('the first claim on a key wins, within a batch and across batches', (t) => {
  t.is(summary(applyAll([claim('a'), claim('b')], [claim('c')])), 'a unsettled')
})

test('not-run frees the key for the next claim', (t) => {
  t.is(summary(applyAll([claim('a')], [settlement('a', 'not-run')])), 'free')
  t.is(summary(applyAll([claim('a')], [settlement('a', 'not-run'), claim('b')])), 'b unsettled')
})

test('a settlement of a claim that does not hold the key changes nothing', (t) => {
  t.is(summary(applyAll([claim('a'), claim('b')], [settlement('b', 'not-run')], [settlement('b', 'done')])), 'a unsettled')
})

test('done and unknown are final', (t) => {
  t.is(summary(applyAll([claim('a')], [settlement('a', 'done', 'x')], [settlement('a', 'not-run')], [claim('b')])), 'a done 1')
  t.is(summary(applyAll([claim('a')], [settlement('a', 'unknown')], [settlement('a', 'not-run')], [settlement('a', 'done')], [claim('b')])), 'a unknown')
})

test('responses larger than 8 KiB are not stored, and the call still counts as done', (t) => {
  t.is(summary(applyAll([claim('a')], [settlement('a', 'done', 'x'.repeat(8_192))])), 'a done 8192')
  t.is(summary(applyAll([claim('a')], [settlement('a', 'done', 'x'.repeat(8_193))])), 'a done')
})

test('a duplicate or delayed batch does not claim a key again that has been freed since', (t) => {
  const freed = applyAll([claim('a')], [settlement('a', 'not-run')])
  t.is(summary(applyBatch(freed, 1, [claim('a')])), 'free')
  t.is(summary(applyBatch(freed, 1, [claim('a')], 2)), 'a unsettled')
})

test('batches of a former epoch and malformed batches are ignored', (t) => {
  t.is(summary(applyBatch(foldClaims.empty(), 1, [claim('a')], 1, 'former')), 'free')
  t.is(summary(applyAll([claim('a'), { kind: 'claim', key }])), 'free')
})

test('claims expire by the timestamps in the keys, and an expired key cannot be claimed again', (t) => {
  const claimed = applyAll([claim('a')])
  const beforeExpiry = applyBatch(claimed, 2, [claim('later', makeKey(start + retentionMilliseconds, 2))])
  t.is(summary(beforeExpiry), 'a unsettled')
  const afterExpiry = applyBatch(claimed, 2, [claim('later', makeKey(start + retentionMilliseconds + 30_000, 2))])
  t.is(summary(afterExpiry), 'free')
  t.true(isKeyExpired(afterExpiry, key))
  t.is(countClaims(afterExpiry), 1)
  t.is(summary(applyBatch(afterExpiry, 3, [claim('b')])), 'free')
})

test('the stored responses of a partition are bounded: the oldest are deleted, and their claims stay done', (t) => {
  let state = foldClaims.empty()
  for (let index = 0; index < 600; index++) {
    const indexKey = makeKey(start + index, index)
    const answer = { status: 200, headers: {}, body: 'x'.repeat(8_000) }
    state = applyBatch(state, index + 1, [claim(`c${index}`, indexKey), { kind: 'settlement', caller: 'desk', key: indexKey, claimId: `c${index}`, outcome: 'done', answer }])
  }
  t.true(state.answerBytes <= 4 * 1024 * 1024)
  const oldest = findClaim(state, 'desk', makeKey(start, 0))
  t.deepEqual([oldest?.status, oldest?.answer], ['done', undefined])
  t.is(findClaim(state, 'desk', makeKey(start + 599, 599))?.answer?.body.length, 8_000)
})

test('a reader that starts from any snapshot reaches the same state as a reader of the whole stream', (t) => {
  const entry = fc.record({ time: fc.nat({ max: 4 }), suffix: fc.nat({ max: 2 }), claimId: fc.constantFrom('a', 'b', 'c'), action: fc.constantFrom('claim', 'done', 'not-run', 'unknown') })
  const toValue = ({ time, suffix, claimId, action }: { time: number, suffix: number, claimId: string, action: string }): JsonValue => {
    const entryKey = makeKey(start + time * HORIZON_MILLISECONDS * 0.7, suffix)
    return action === 'claim'
      ? claim(claimId, entryKey)
      : { kind: 'settlement', caller: 'desk', key: entryKey, claimId, outcome: action, answer: { status: 200, headers: { b: '1', a: '2' }, body: claimId } }
  }
  fc.assert(fc.property(fc.array(fc.array(entry, { maxLength: 4 }), { maxLength: 20 }), fc.nat({ max: 20 }), (batches, snapshotIndex) => {
    let full = foldClaims.empty()
    let fromSnapshot: ClaimsState | undefined
    batches.forEach((entries, index) => {
      const values = entries.map(toValue)
      full = applyBatch(full, index + 1, values)
      if (fromSnapshot !== undefined) fromSnapshot = applyBatch(fromSnapshot, index + 1, values)
      if (index === snapshotIndex) fromSnapshot = foldClaims.decode(JSON.parse(JSON.stringify(foldClaims.encode(full))) as JsonValue)
    })
    if (fromSnapshot === undefined) return
    t.is(JSON.stringify(foldClaims.encode(fromSnapshot)), JSON.stringify(foldClaims.encode(full)))
    t.is(fromSnapshot.answerBytes, full.answerBytes)
  }), { seed: 7, numRuns: 500 })
})

test('a claim without a stored response takes at most 120 bytes in a snapshot', (t) => {
  const claims = 40_000
  let state = foldClaims.empty()
  for (let index = 0; index < claims; index += 5) {
    const entries = [0, 1, 2, 3, 4].map((step) => claim(`entry-${(index + step) % 370}/k3j9x2ab/${(index + step).toString(36)}`, makeKey(start + (index + step) * 180, index + step)))
    state = applyBatch(state, index + 1, entries)
  }
  t.is(countClaims(state), claims)
  const bytes = JSON.stringify(foldClaims.encode(state)).length / claims
  t.log(`encoded bytes per claim: ${bytes.toFixed(1)}`)
  t.true(bytes <= 120)
})
