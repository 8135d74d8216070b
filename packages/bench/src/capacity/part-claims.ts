import { randomUUID } from 'node:crypto'
import { createManualClock } from '@fuchsiastage/clock'
import { claimStream, createClaimOwner, findClaim, foldClaims, requestFingerprint, type ClaimsState } from '@fuchsiastage/claims'
import type { EpochRecord } from '@fuchsiastage/leased-stream'
import { createMemoryLogService } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSeededRandom, type RandomSource } from '@fuchsiastage/membership'
import { err } from 'true-myth/result'
import { createError } from '@fuchsiastage/errors'
import { fitLine, heapBytes, jsonBytes, measureCost, medianMilliseconds, quantile, roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'

const HORIZON_MILLISECONDS = 3_600_000
const START_TIME = 1_767_225_600_000
/** Claims that share a batch at the rate of the design: 4.9 claims per second and partition in 3 appends. */
const CLAIMS_PER_BATCH = 2
/** Length of a stored response body. */
const ANSWER_BODY_BYTES = 300
const OWNER_MEASURED_SECONDS = 20
const PARTITION_CALLS_PER_SECOND = [0.5, 2, 4.9, 10]

function createUuidVersion7 (time: number, random: RandomSource): string {
  const digits = Math.floor(time).toString(16).padStart(12, '0')
  const hex = (length: number): string => Array.from({ length }, () => Math.floor(random() * 16).toString(16)).join('')
  return `${digits.slice(0, 8)}-${digits.slice(8)}-7${hex(3)}-8${hex(3)}-${hex(12)}`
}

const fingerprint = requestFingerprint('POST', '/rollovers', '{}')
const answer = { status: 200, headers: { 'content-type': 'application/json' }, body: 'x'.repeat(ANSWER_BODY_BYTES) }

async function measureFold (claims: number, options: CapacityOptions): Promise<readonly number[]> {
  const random = createSeededRandom(options.seed)
  const before = heapBytes()
  let state: ClaimsState = foldClaims.empty()
  let sequence = 0
  let entryBytes = 0
  let lastKey = ''
  const { cost } = await measureCost(() => {
    for (let index = 0; index < claims; index += CLAIMS_PER_BATCH) {
      const entries = Array.from({ length: CLAIMS_PER_BATCH }, (_, offset) => {
        const key = createUuidVersion7(START_TIME + (index + offset) / claims * 2 * HORIZON_MILLISECONDS, random)
        lastKey = key
        const claim = { kind: 'claim', caller: 'caller-17', key, claimId: `entry-0123/${randomUUID()}/${(index + offset).toString(36)}`, fingerprint }
        return [claim, { kind: 'settlement', caller: claim.caller, key, claimId: claim.claimId, outcome: 'done', answer }]
      }).flat()
      const record = { recordId: randomUUID(), kind: 'batch', formatVersion: 1, epoch: 1, author: 'entry-0123', sequence: ++sequence, retentionMilliseconds: 2 * HORIZON_MILLISECONDS, entries } as unknown as EpochRecord
      if (index === 0) entryBytes = jsonBytes(record) / CLAIMS_PER_BATCH
      state = foldClaims.apply(state, record, sequence, 'current')
    }
  })
  if (findClaim(state, 'caller-17', lastKey)?.status !== 'done') throw new Error('the last claim is missing from the folded state')
  const memory = heapBytes() - before
  const withoutAnswers = memory - state.answerBytes
  const encoded = foldClaims.encode(state)
  const compareMilliseconds = medianMilliseconds(3, () => JSON.stringify(encoded) === JSON.stringify(foldClaims.encode(state)))
  return [claims, cost.processorMilliseconds * 1_000 / claims, entryBytes, withoutAnswers / claims, state.answerBytes / 1e6, memory / 1e6, jsonBytes(encoded) / 1e6, compareMilliseconds]
}

/** Measures the appends of the owner of one partition and the delay of its grants, at a rate of non-idempotent calls. */
async function measureOwner (claimsPerSecond: number, options: CapacityOptions): Promise<readonly number[]> {
  const clock = createManualClock()
  const random = createSeededRandom(options.seed)
  const logService = createMemoryLogService(clock)
  const owner = createClaimOwner({
    partition: 0,
    daemon: 'entry-0123',
    logService,
    clock,
    logger: createMemoryLogger(clock).logger,
    timing: { renewMilliseconds: 3_000, lapseMilliseconds: 9_000, rankDelayMilliseconds: 1_500, doubtMilliseconds: 6_000, snapshotEveryRecords: 1_000, snapshotEveryMilliseconds: 21_600_000 },
    pollMilliseconds: 2_000,
    retryMilliseconds: 500,
    rank: () => 0,
    horizonMilliseconds: HORIZON_MILLISECONDS,
    lingerMilliseconds: 5,
    maximumAppendsPerSecond: 3,
    claimState: async () => err(createError({ code: 'unused', message: 'claim states are not queried in this measurement', step: 'claim-state' })),
    grantGraceMilliseconds: 2_000,
    claimStatePollMilliseconds: 250
  })
  owner.start()
  await clock.advance(2_000)
  if (!owner.isOwner()) throw new Error('the owner did not acquire the lease of the partition')
  const stream = claimStream(0)
  const appendsBefore = logService.appendCount()
  const recordsBefore = logService.contents(stream).length
  const delays: number[] = []
  const calls: Promise<void>[] = []
  const makeCall = async (): Promise<void> => {
    const key = createUuidVersion7(clock.wallNow(), random)
    const claimId = `entry-0123/${randomUUID()}/1`
    const startedAt = clock.now()
    const granted = await owner.claim({ caller: 'caller-17', key, fingerprint, claimId, waitMilliseconds: 5_000 })
    delays.push(clock.now() - startedAt)
    if (granted.kind !== 'granted') throw new Error(`claim not granted: ${granted.kind}`)
    await clock.sleep(100)
    await owner.settle({ caller: 'caller-17', key, claimId, outcome: 'done', answer })
  }
  const seconds = Math.max(5, Math.round(OWNER_MEASURED_SECONDS * options.scale))
  const { cost } = await measureCost(async () => {
    const end = clock.now() + seconds * 1_000
    for (;;) {
      // Arrivals are a Poisson process.
      const gap = -Math.log(1 - random()) / claimsPerSecond * 1_000
      if (clock.now() + gap >= end) break
      await clock.advance(gap)
      calls.push(makeCall())
    }
    await clock.advance(end - clock.now())
  })
  const appends = logService.appendCount() - appendsBefore
  const bytes = logService.contents(stream).slice(recordsBefore).reduce((sum, { value }) => sum + jsonBytes(value), 0)
  await clock.advance(3_000)
  await Promise.all(calls)
  const stopped = owner.stop()
  await clock.advance(3_000)
  await stopped
  return [claimsPerSecond, calls.length / seconds, appends / seconds, bytes / seconds, quantile(delays, 0.5), quantile(delays, 0.95), calls.length === 0 ? 0 : cost.processorMilliseconds / calls.length]
}

/** Fold of one claims partition, and the appends and grant delay of its owner. */
export const claimsPart: CapacityPart = {
  name: 'claims',
  description: 'claims fold and owner of one partition',
  run: async (options) => {
    const folds: (readonly number[])[] = []
    const owners: (readonly number[])[] = []
    await measureFold(2_000, options)
    for (const size of scaleSizes([10_000, 35_000, 100_000], options.scale)) folds.push(await measureFold(size, options))
    for (const rate of PARTITION_CALLS_PER_SECOND) owners.push(await measureOwner(rate, options))
    const memory = fitLine(folds.map((row) => [row[0] ?? 0, (row[0] ?? 0) * (row[3] ?? 0)]))
    const tables: CapacityTable[] = [
      {
        title: `claims: fold of one partition, two hours of claims with answers of ${ANSWER_BODY_BYTES} bytes, ${CLAIMS_PER_BATCH} claims in a batch`,
        columns: ['claims', 'µs/claim with settlement', 'log bytes/claim with settlement', 'bytes/claim without answer', 'stored answers MB', 'memory MB', 'snapshot MB', 'snapshot compare ms'],
        rows: folds.map((row) => row.map(roundSignificant))
      },
      { title: 'claims: memory', columns: ['figure', 'bytes'], rows: [['slope per claim', roundSignificant(memory.slope)], ['fixed', roundSignificant(memory.intercept)]] },
      {
        title: 'claims: owner of one partition (simulated time)',
        columns: ['calls/s offered', 'calls/s', 'appends/s', 'log bytes/s', 'delay of a grant ms p50', 'p95', 'processor ms/call'],
        rows: owners.map((row) => row.map(roundSignificant))
      }
    ]
    return tables
  }
}
