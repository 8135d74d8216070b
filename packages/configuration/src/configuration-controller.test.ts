import test from 'ava'
import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemoryLogService } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { ConfigurationPatch, JsonValue, PatchOutcome } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import {
  configurationFold,
  createConfigurationController,
  createConfigurationFold,
  DEFAULT_CONFIGURATION_TIMING,
  type ConfigurationController,
  type ConfigurationControllerOptions
} from './index.js'

const LATENCY_MILLISECONDS = 1

/** Numbers in [0, 1) from a fixed seed. */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

/** Daemons over one log service in memory, with cuts between any two of them. */
function createDeployment (clock: ManualClock, names: readonly string[], defaults: Partial<ConfigurationControllerOptions> = {}, seed = 1) {
  const service = createMemoryLogService(clock)
  const running = new Map<string, { controller: ConfigurationController, logService: ReturnType<typeof service.connect> }>()
  const cutPairs = new Set<string>()
  const members = [...names]
  let positionCalls = 0
  const pair = (left: string, right: string): string => [left, right].sort().join(' ')

  const call = async <Value> (from: string, to: string, signal: AbortSignal, answer: (controller: ConfigurationController) => Value): Promise<Result<Value, ReturnType<typeof createError>>> => {
    await clock.sleep(LATENCY_MILLISECONDS, signal)
    const target = running.get(to)
    if (target === undefined || cutPairs.has(pair(from, to))) {
      // A cut is silence: the call ends only when its bound aborts it.
      await new Promise<void>((resolve) => signal.aborted ? resolve() : signal.addEventListener('abort', () => resolve()))
      return err(createError({ code: 'peer-unreachable', message: 'no answer', step: 'peer', peer: to }))
    }
    const value = answer(target.controller)
    await clock.sleep(LATENCY_MILLISECONDS, signal)
    return signal.aborted ? err(createError({ code: 'peer-unreachable', message: 'no answer', step: 'peer', peer: to })) : ok(value)
  }

  const start = (name: string, options: Partial<ConfigurationControllerOptions> = {}, reachesLog = true): ConfigurationController => {
    const logService = service.connect()
    logService.setCut(!reachesLog)
    const controller = createConfigurationController({
      daemon: name,
      logService,
      clock,
      logger: createMemoryLogger(clock, name).logger,
      peers: {
        members: () => members,
        position: (member, signal) => {
          positionCalls++
          return call(name, member, signal, (target) => target.position())
        },
        copyFrom: (member, fromOffset, signal) => call(name, member, signal, (target) => target.copyFrom(fromOffset))
      },
      mode: 'serve-with-majority',
      memberListDifference: 0,
      snapshotRank: () => undefined,
      random: createRandom(seed + names.indexOf(name)),
      ...defaults,
      ...options
    })
    running.set(name, { controller, logService })
    controller.start()
    return controller
  }
  const stop = async (name: string): Promise<void> => {
    const entry = running.get(name)
    running.delete(name)
    await entry?.controller.stop()
  }
  for (const name of names) start(name)
  return {
    service,
    members,
    start,
    stop,
    isRunning: (name: string) => running.has(name),
    controller: (name: string): ConfigurationController => running.get(name)!.controller,
    cutFromLog: (name: string, cut: boolean) => running.get(name)?.logService.setCut(cut),
    cutPair: (left: string, right: string, cut: boolean) => { if (cut) cutPairs.add(pair(left, right)); else cutPairs.delete(pair(left, right)) },
    cutFromPeers: (name: string, cut: boolean) => {
      for (const other of names) {
        if (other === name) continue
        if (cut) cutPairs.add(pair(name, other))
        else cutPairs.delete(pair(name, other))
      }
    },
    positionCalls: () => positionCalls
  }
}

const format = (stream: string, formatVersion: number) => ({ key: `format/${stream}`, value: { formatVersion } })
const patch = (patchId: string, baseVersion: number, changes: ConfigurationPatch['changes'] = [format(patchId, 1)]): ConfigurationPatch =>
  ({ patchId, baseVersion, operator: 'operator-1', note: '', changes })

/** Runs until the promise settles or the time has passed. */
async function settled<Value> (clock: ManualClock, promise: Promise<Value>, limitMilliseconds = 60_000): Promise<Value | undefined> {
  let value: Value | undefined
  let isSettled = false
  void promise.then((result) => { value = result; isSettled = true })
  for (let waited = 0; waited < limitMilliseconds && !isSettled; waited += 50) await clock.advance(50)
  return value
}
const never = (): AbortSignal => new AbortController().signal
const abortAfter = (clock: ManualClock, milliseconds: number): AbortSignal => {
  const limit = new AbortController()
  clock.setTimer(milliseconds, () => limit.abort())
  return limit.signal
}
const describeFreshness = (controller: ConfigurationController): string => {
  const decision = controller.freshness()
  return decision.kind === 'serve' ? `serve: ${decision.basis}` : `refuse: ${decision.reason}`
}
const five = ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5']

test('an accepted patch is in force at a majority when it is answered', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  const outcome = await settled(clock, deployment.controller('entry-1').submit(patch('p1', 0), never()))
  t.deepEqual(outcome, { kind: 'accepted', version: 1, rebased: false })
  t.true(five.filter((name) => deployment.controller(name).version() === 1).length >= 3)
  await clock.advance(5_000)
  t.true(five.every((name) => deployment.controller(name).version() === 1))
})

test('a patch without a majority of confirmations is undecided, and its outcome can be asked later', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  deployment.cutFromPeers('entry-1', true)
  const submitted = await settled(clock, deployment.controller('entry-1').submit(patch('p1', 0), abortAfter(clock, 5_000)))
  t.is(submitted?.kind, 'undecided')
  const elsewhere = await settled(clock, deployment.controller('entry-2').outcome('p1', never()))
  t.deepEqual(elsewhere, { kind: 'accepted', version: 1, rebased: false })
  t.is((await settled(clock, deployment.controller('entry-2').outcome('absent', never())))?.kind, 'undecided')
})

test('a patch whose append reply was lost is applied once', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  deployment.service.loseReplies(2)
  deployment.service.loseRequests(1)
  const outcome = await settled(clock, deployment.controller('entry-1').submit(patch('p1', 0), never()))
  t.is(outcome?.kind, 'accepted')
  await clock.advance(5_000)
  t.true(deployment.service.contents('configuration').length >= 1)
  t.true(five.every((name) => deployment.controller(name).version() === 1))
})

test('the same patch submitted at two daemons has one outcome', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  const both = Promise.all(['entry-1', 'entry-2'].map((name) => deployment.controller(name).submit(patch('p1', 0), never())))
  const outcomes = await settled(clock, both)
  t.deepEqual(outcomes, [{ kind: 'accepted', version: 1, rebased: false }, { kind: 'accepted', version: 1, rebased: false }])
  t.is(deployment.controller('entry-3').version(), 1)
})

test('an invalid patch and an unknown data centre are rejected without a record', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five, { knownDataCentres: ['van-a'] })
  await clock.advance(3_000)
  const controller = deployment.controller('entry-1')
  const unknown = await settled(clock, controller.submit(patch('p1', 0, [{ key: 'rule/letter', value: { dataCentres: ['van-a', 'nowhere'], maximumReplicas: 1, minimumWarm: 0 } }]), never()))
  t.deepEqual(unknown, { kind: 'rejected', reason: 'invalid patch: rule/letter: data centre nowhere is not known', conflicts: [] })
  t.is((await settled(clock, controller.submit(patch('p2', 0, [format('a', 0)]), never())))?.kind, 'rejected')
  t.is(deployment.service.contents('configuration').length, 0)
})

test('thousands of racing patches give one sequence on which all readers agree', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  const random = createRandom(42)
  await clock.advance(3_000)
  const outcomes = new Map<string, PatchOutcome>()
  const submitted: string[] = []
  for (let burst = 0; burst < 100; burst++) {
    if (burst % 10 === 3) deployment.service.loseReplies(3)
    if (burst % 10 === 6) deployment.service.loseRequests(3)
    for (const name of five) {
      const controller = deployment.controller(name)
      for (let index = 0; index < 5; index++) {
        const patchId = `${name}/${burst}/${index}`
        const baseVersion = Math.max(0, controller.version() - Math.floor(random() * 3))
        const changes = [format(`stream-${Math.floor(random() * 12)}`, 1 + Math.floor(random() * 5))]
        submitted.push(patchId)
        void controller.submit(patch(patchId, baseVersion, changes), never()).then((outcome) => outcomes.set(patchId, outcome))
      }
    }
    await clock.advance(20)
  }
  await clock.advance(60_000)
  t.is(outcomes.size, 2_500)
  const first = deployment.controller('entry-1').follower.view().state
  for (const name of five) t.is(JSON.stringify(configurationFold.encode(deployment.controller(name).follower.view().state)), JSON.stringify(configurationFold.encode(first)))
  // Every accepted answer names its own version, and the versions are consecutive.
  const versions = [...outcomes.values()].flatMap((outcome) => outcome.kind === 'accepted' ? [outcome.version] : []).sort((left, right) => left - right)
  t.deepEqual(versions, Array.from({ length: first.version }, (_, index) => index + 1))
  const kinds = new Set([...outcomes.values()].map(({ kind }) => kind))
  t.deepEqual([...kinds].sort(), ['accepted', 'rejected'])
})

test('an outage for all refuses at once after 10 s, or serves on by majority', async (t) => {
  const clock = createManualClock()
  const serving = createDeployment(clock, five)
  const refusing = createDeployment(clock, five, { mode: 'refuse' })
  await clock.advance(5_000)
  t.is(serving.positionCalls(), 0)
  serving.service.setDown(true)
  refusing.service.setDown(true)
  let refusals = 0
  for (let waited = 0; waited < 600_000; waited += 1_000) {
    await clock.advance(1_000)
    refusals += five.filter((name) => serving.controller(name).freshness().kind === 'refuse').length
  }
  t.is(refusals, 0)
  t.is(describeFreshness(serving.controller('entry-1')), 'serve: majority')
  t.is(describeFreshness(refusing.controller('entry-1')), 'refuse: unverified')
  t.is(refusing.positionCalls(), 0)
  const refusal = refusing.controller('entry-1').checkFreshness()
  t.like(refusal.isErr && refusal.error, { code: 'configuration-unverified', outcome: 'not-run', status: 503, retryAfterMilliseconds: 2_000 })
  const undecided = await settled(clock, serving.controller('entry-1').submit(patch('p1', 0), abortAfter(clock, 5_000)))
  t.is(undecided?.kind, 'undecided')
  serving.service.setDown(false)
  await clock.advance(3_000)
  t.is(describeFreshness(serving.controller('entry-1')), 'serve: verified')
})

test('majority rounds end when a verified read is there again', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  deployment.service.setDown(true)
  await clock.advance(30_000)
  t.true(deployment.positionCalls() > 0)
  deployment.service.setDown(false)
  await clock.advance(5_000)
  const calls = deployment.positionCalls()
  await clock.advance(60_000)
  t.is(deployment.positionCalls(), calls)
})

test('a daemon cut off from the log alone takes records and verification from peers', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  deployment.cutFromLog('entry-5', true)
  await clock.advance(30_000)
  await settled(clock, deployment.controller('entry-1').submit(patch('p1', 0), never()))
  await clock.advance(12_000)
  t.is(deployment.controller('entry-5').version(), 1)
  t.is(describeFreshness(deployment.controller('entry-5')), 'serve: verified')
})

test('a daemon cut off from its peers alone goes on with the log', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  deployment.cutFromPeers('entry-5', true)
  await settled(clock, deployment.controller('entry-1').submit(patch('p1', 0), never()))
  await clock.advance(30_000)
  t.is(deployment.controller('entry-5').version(), 1)
  t.is(describeFreshness(deployment.controller('entry-5')), 'serve: verified')
})

test('a daemon cut off from the log and its peers refuses within 10 s of its last verified read', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  deployment.cutFromPeers('entry-5', true)
  deployment.cutFromLog('entry-5', true)
  await clock.advance(10_001)
  t.true(describeFreshness(deployment.controller('entry-5')).startsWith('refuse'))
  deployment.cutFromPeers('entry-5', false)
  await clock.advance(3_000)
  t.is(describeFreshness(deployment.controller('entry-5')), 'serve: verified')
})

test('a fresh daemon during an outage takes the state from a peer and serves only after a recent read of that peer', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  await settled(clock, deployment.controller('entry-1').submit(patch('p1', 0), never()))
  await deployment.stop('entry-4')
  await deployment.stop('entry-5')
  deployment.service.setDown(true)
  deployment.start('entry-5')
  t.is(describeFreshness(deployment.controller('entry-5')), 'refuse: incomplete')
  await clock.advance(3_000)
  t.is(deployment.controller('entry-5').version(), 1)
  t.is(describeFreshness(deployment.controller('entry-5')), 'serve: verified')
  await clock.advance(60_000)
  deployment.start('entry-4')
  await clock.advance(60_000)
  t.is(deployment.controller('entry-4').version(), 1)
  t.is(describeFreshness(deployment.controller('entry-4')), 'refuse: unverified')
  deployment.service.setDown(false)
  await clock.advance(3_000)
  t.is(describeFreshness(deployment.controller('entry-4')), 'serve: verified')
})

test('a fresh daemon starts from a snapshot after the first records expired', async (t) => {
  const clock = createManualClock()
  const timing = { ...DEFAULT_CONFIGURATION_TIMING, snapshotEveryRecords: 20 }
  const deployment = createDeployment(clock, five, { timing })
  await deployment.stop('entry-1')
  await deployment.stop('entry-2')
  deployment.start('entry-1', { snapshotRank: () => 0 })
  deployment.start('entry-2', { snapshotRank: () => 1 })
  await clock.advance(3_000)
  for (let index = 0; index < 30; index++) await settled(clock, deployment.controller('entry-3').submit(patch(`p${index}`, index), never()))
  await clock.advance(60_000)
  const snapshots = deployment.service.contents('configuration').filter(({ value }) => (value as { kind: string }).kind === 'snapshot')
  t.is(snapshots.length, 1)
  deployment.service.expire('configuration', Number((snapshots[0]?.value as { throughOffset: number }).throughOffset) + 1)
  await deployment.stop('entry-5')
  deployment.start('entry-5')
  await clock.advance(500)
  t.is(deployment.controller('entry-5').version(), 30)
  t.is(describeFreshness(deployment.controller('entry-5')), 'serve: verified')
  t.deepEqual(deployment.controller('entry-5').history(), deployment.controller('entry-1').history())
})

test('a quiet stream gets a new snapshot by wall time, written by the next rank when the first does not', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, ['entry-1', 'entry-2'], { snapshotRank: () => 1 })
  await clock.advance(3_000)
  await settled(clock, deployment.controller('entry-1').submit(patch('p1', 0), never()))
  const countSnapshots = () => deployment.service.contents('configuration').filter(({ value }) => (value as { kind: string }).kind === 'snapshot').length
  await clock.advance(DEFAULT_CONFIGURATION_TIMING.snapshotEveryMilliseconds / 2)
  // Restarts do not put the snapshot off: its time is in the records.
  for (const name of ['entry-1', 'entry-2']) {
    await deployment.stop(name)
    deployment.start(name)
  }
  t.is(countSnapshots(), 0)
  await clock.advance(DEFAULT_CONFIGURATION_TIMING.snapshotEveryMilliseconds / 2 + 60_000)
  t.true(countSnapshots() > 0)
})

test('a daemon with old code stops at a record of a newer format and refuses, one with new code goes on', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five, { fold: createConfigurationFold(2) })
  await deployment.stop('entry-5')
  deployment.start('entry-5', { fold: createConfigurationFold(1) })
  await clock.advance(3_000)
  const submit = (name: string, value: ConfigurationPatch) => settled(clock, deployment.controller(name).submit(value, never()))
  t.is((await submit('entry-1', patch('p1', 0)))?.kind, 'accepted')
  t.is((await submit('entry-5', patch('p2', 1)))?.kind, 'accepted')
  t.is(describeFreshness(deployment.controller('entry-5')), 'serve: verified')
  const formats = () => deployment.service.contents('configuration').map(({ value }) => (value as { formatVersion: number }).formatVersion)
  t.deepEqual(formats(), [1, 1])
  t.is((await submit('entry-1', patch('p3', 2, [format('configuration', 2)])))?.kind, 'accepted')
  t.is((await submit('entry-1', patch('p4', 3)))?.kind, 'accepted')
  await clock.advance(3_000)
  t.deepEqual(formats(), [1, 1, 1, 2])
  t.is(deployment.controller('entry-5').version(), 3)
  t.is(describeFreshness(deployment.controller('entry-5')), 'refuse: unsupported-format')
  t.is(deployment.controller('entry-4').version(), 4)
  // During an outage the daemon with old code does not serve by majority either.
  deployment.service.setDown(true)
  await clock.advance(30_000)
  t.is(describeFreshness(deployment.controller('entry-5')), 'refuse: unsupported-format')
  t.is(describeFreshness(deployment.controller('entry-4')), 'serve: majority')
})

test('an older version can be read, one that is not kept cannot', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  const controller = deployment.controller('entry-1')
  for (const [index, formatVersion] of [1, 2, 3].entries()) await settled(clock, controller.submit(patch(`p${index}`, index, [format('a', formatVersion)]), never()))
  const read = (version: number): JsonValue | undefined => {
    const document = controller.documentAt(version)
    return document.isOk ? document.value.get('format/a') : undefined
  }
  t.deepEqual([0, 1, 2, 3, 4].map(read), [undefined, { formatVersion: 1 }, { formatVersion: 2 }, { formatVersion: 3 }, undefined])
  t.true(controller.documentAt(4).isErr)
})

test('a member that forgot its confirmation in a restart does not complete a majority of daemons without the version', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, five)
  await clock.advance(3_000)
  const separate = (left: readonly string[], right: readonly string[], cut: boolean): void => {
    for (const one of left) for (const other of right) deployment.cutPair(one, other, cut)
  }
  separate(['entry-1', 'entry-2', 'entry-3'], ['entry-4', 'entry-5'], true)
  for (const name of ['entry-4', 'entry-5']) deployment.cutFromLog(name, true)
  t.is((await settled(clock, deployment.controller('entry-1').submit(patch('p1', 0, [format('a', 1)]), never())))?.kind, 'accepted')
  await deployment.stop('entry-3')
  separate(['entry-3'], ['entry-4', 'entry-5'], false)
  separate(['entry-1', 'entry-2'], ['entry-3'], true)
  deployment.start('entry-3', {}, false)
  for (let waited = 0; waited < 60_000; waited += 500) {
    await clock.advance(500)
    if (waited < 12_000) continue
    for (const name of ['entry-3', 'entry-4', 'entry-5']) {
      t.is(deployment.controller(name).version(), 0)
      t.is(deployment.controller(name).freshness().kind, 'refuse')
    }
  }
})

// The guarantee: no daemon acts on a version older than one that was answered `accepted` 12 s before.
// Each phase splits the daemons into two groups and lets one group, or nobody, reach the log.
for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`no daemon serves an older version 12 s after an accepted answer, random cuts and restarts, seed ${seed}`, async (t) => {
    const clock = createManualClock()
    const deployment = createDeployment(clock, five, {}, seed * 100)
    const random = createRandom(seed * 7_919)
    const pick = <Value> (values: readonly Value[]): Value => values[Math.floor(random() * values.length)]!
    const accepted: { readonly version: number, readonly at: number }[] = []
    const lastVersion = new Map<string, number>()
    const logAccess = new Map<string, boolean>()
    let served = 0
    let servedByMajority = 0
    let violations = 0
    let patchCount = 0

    const startPhase = async (): Promise<void> => {
      const inFirstGroup = new Map(five.map((name) => [name, random() < 0.5]))
      const isSplit = random() < 0.8
      const logGroup = pick(['first', 'first', 'second', 'nobody', 'all'])
      if (random() < 0.4) {
        const name = pick(five)
        if (deployment.isRunning(name)) await deployment.stop(name)
        lastVersion.delete(name)
      }
      for (const name of five) {
        const group = inFirstGroup.get(name) === true ? 'first' : 'second'
        logAccess.set(name, logGroup === 'all' || logGroup === group)
        if (!deployment.isRunning(name) && random() < 0.8) deployment.start(name, {}, logAccess.get(name))
        deployment.cutFromLog(name, logAccess.get(name) !== true)
        for (const other of five) {
          if (other !== name) deployment.cutPair(name, other, isSplit && inFirstGroup.get(name) !== inFirstGroup.get(other))
        }
      }
    }
    const submitPatch = (name: string): void => {
      const controller = deployment.controller(name)
      void controller.submit(patch(`p${patchCount++}`, controller.version()), abortAfter(clock, 20_000)).then((outcome) => {
        if (outcome.kind === 'accepted') accepted.push({ version: outcome.version, at: clock.now() })
      })
    }
    const check = (): void => {
      const required = Math.max(0, ...accepted.filter(({ at }) => clock.now() - at > 12_000).map(({ version }) => version))
      for (const member of five.filter(deployment.isRunning)) {
        const controller = deployment.controller(member)
        if (controller.version() < (lastVersion.get(member) ?? 0)) violations++
        lastVersion.set(member, controller.version())
        const decision = controller.freshness()
        if (decision.kind === 'refuse') continue
        served++
        if (decision.basis === 'majority') servedByMajority++
        if (controller.version() < required) violations++
      }
    }

    await clock.advance(3_000)
    for (let phase = 0; phase < 30; phase++) {
      await startPhase()
      const steps = 4 + Math.floor(random() * 50)
      for (let step = 0; step < steps; step++) {
        const name = pick(five)
        if (random() < 0.05) deployment.service.loseReplies(1)
        if (random() < 0.15 && deployment.isRunning(name)) submitPatch(name)
        await clock.advance(500)
        check()
      }
    }
    t.is(violations, 0)
    // The run must have exercised what it checks.
    t.true(accepted.length > 10 && served > 500 && servedByMajority > 50, `accepted ${accepted.length}, served ${served}, by majority ${servedByMajority}`)
  })
}
