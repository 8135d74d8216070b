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

/** Returns a generator of pseudo-random numbers in [0, 1) with a fixed seed. */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

/** Runs daemons with one in-memory log service. The links between daemons and those to the log service can be cut. */
function createDeployment (clock: ManualClock, names: readonly string[], defaults: Partial<ConfigurationControllerOptions> = {}, seed = 1) {
  const service = createMemoryLogService(clock)
  const running = new Map<string, { controller: ConfigurationController, logService: ReturnType<typeof service.connect> }>()
  const cutPairs = new Set<string>()
  const members = [...names]
  let positionCalls = 0
  const pairKey = (left: string, right: string): string => [left, right].sort().join(' ')

  const call = async <Value> (from: string, to: string, signal: AbortSignal, answer: (controller: ConfigurationController) => Value): Promise<Result<Value, ReturnType<typeof createError>>> => {
    await clock.sleep(LATENCY_MILLISECONDS, signal)
    const peer = running.get(to)
    if (peer === undefined || cutPairs.has(pairKey(from, to))) {
      // A call over a cut link gets no response and ends only when its timeout aborts it.
      await new Promise<void>((resolve) => signal.aborted ? resolve() : signal.addEventListener('abort', () => resolve()))
      return err(createError({ code: 'peer-unreachable', message: 'no response', step: 'peer', peer: to }))
    }
    const value = answer(peer.controller)
    await clock.sleep(LATENCY_MILLISECONDS, signal)
    return signal.aborted ? err(createError({ code: 'peer-unreachable', message: 'no response', step: 'peer', peer: to })) : ok(value)
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
          return call(name, member, signal, (peer) => peer.position())
        },
        copyFrom: (member, fromOffset, signal) => call(name, member, signal, (peer) => peer.copyFrom(fromOffset))
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
    cutPair: (left: string, right: string, cut: boolean) => { if (cut) cutPairs.add(pairKey(left, right)); else cutPairs.delete(pairKey(left, right)) },
    cutFromPeers: (name: string, cut: boolean) => {
      for (const other of names) {
        if (other === name) continue
        if (cut) cutPairs.add(pairKey(name, other))
        else cutPairs.delete(pairKey(name, other))
      }
    },
    positionCalls: () => positionCalls
  }
}

const formatChange = (stream: string, formatVersion: number) => ({ key: `format/${stream}`, value: { formatVersion } })
const patch = (patchId: string, baseVersion: number, changes: ConfigurationPatch['changes'] = [formatChange(patchId, 1)]): ConfigurationPatch =>
  ({ patchId, baseVersion, operator: 'operator-1', note: '', changes })

/** Advances the clock until the promise settles or the limit has passed. Returns the value, if any. */
async function runUntilSettled<Value> (clock: ManualClock, promise: Promise<Value>, limitMilliseconds = 60_000): Promise<Value | undefined> {
  let value: Value | undefined
  let isSettled = false
  void promise.then((result) => { value = result; isSettled = true })
  for (let waited = 0; waited < limitMilliseconds && !isSettled; waited += 50) await clock.advance(50)
  return value
}
const neverAborted = (): AbortSignal => new AbortController().signal
const abortAfter = (clock: ManualClock, milliseconds: number): AbortSignal => {
  const limit = new AbortController()
  clock.setTimer(milliseconds, () => limit.abort())
  return limit.signal
}
const describeFreshness = (controller: ConfigurationController): string => {
  const decision = controller.freshness()
  return decision.kind === 'serve' ? `serve: ${decision.basis}` : `refuse: ${decision.reason}`
}
const daemonNames = ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5']

test('a patch is reported as accepted only after a majority has it in force', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  await clock.advance(3_000)
  const outcome = await runUntilSettled(clock, deployment.controller('entry-1').submit(patch('p1', 0), neverAborted()))
  t.deepEqual(outcome, { kind: 'accepted', version: 1, rebased: false })
  t.true(daemonNames.filter((name) => deployment.controller(name).version() === 1).length >= 3)
  await clock.advance(5_000)
  t.true(daemonNames.every((name) => deployment.controller(name).version() === 1))
})

test('a patch without a majority of confirmations is undecided, and its outcome can be requested later', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  await clock.advance(3_000)
  deployment.cutFromPeers('entry-1', true)
  const submitted = await runUntilSettled(clock, deployment.controller('entry-1').submit(patch('p1', 0), abortAfter(clock, 5_000)))
  t.is(submitted?.kind, 'undecided')
  const elsewhere = await runUntilSettled(clock, deployment.controller('entry-2').outcome('p1', neverAborted()))
  t.deepEqual(elsewhere, { kind: 'accepted', version: 1, rebased: false })
  t.is((await runUntilSettled(clock, deployment.controller('entry-2').outcome('absent', neverAborted())))?.kind, 'undecided')
})

test('a patch is applied once if the response to its append is lost', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  await clock.advance(3_000)
  deployment.service.loseReplies(2)
  deployment.service.loseRequests(1)
  const outcome = await runUntilSettled(clock, deployment.controller('entry-1').submit(patch('p1', 0), neverAborted()))
  t.is(outcome?.kind, 'accepted')
  await clock.advance(5_000)
  t.true(deployment.service.contents('configuration').length >= 1)
  t.true(daemonNames.every((name) => deployment.controller(name).version() === 1))
})

test('the same patch submitted at two daemons has one outcome', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  await clock.advance(3_000)
  const both = Promise.all(['entry-1', 'entry-2'].map((name) => deployment.controller(name).submit(patch('p1', 0), neverAborted())))
  const outcomes = await runUntilSettled(clock, both)
  t.deepEqual(outcomes, [{ kind: 'accepted', version: 1, rebased: false }, { kind: 'accepted', version: 1, rebased: false }])
  t.is(deployment.controller('entry-3').version(), 1)
})

test('an invalid patch and a patch with an unknown data centre are rejected and not appended', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames, { knownDataCentres: ['van-a'] })
  await clock.advance(3_000)
  const controller = deployment.controller('entry-1')
  const unknown = await runUntilSettled(clock, controller.submit(patch('p1', 0, [{ key: 'rule/letter', value: { dataCentres: ['van-a', 'nowhere'], maximumReplicas: 1, minimumWarm: 0 } }]), neverAborted()))
  t.deepEqual(unknown, { kind: 'rejected', reason: 'invalid patch: rule/letter: data centre nowhere is not known', conflicts: [] })
  t.is((await runUntilSettled(clock, controller.submit(patch('p2', 0, [formatChange('a', 0)]), neverAborted())))?.kind, 'rejected')
  t.is(deployment.service.contents('configuration').length, 0)
})

test('all readers agree on one sequence of versions after 2,500 concurrent patches', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  const random = createRandom(42)
  await clock.advance(3_000)
  const outcomes = new Map<string, PatchOutcome>()
  const submitted: string[] = []
  for (let burst = 0; burst < 100; burst++) {
    if (burst % 10 === 3) deployment.service.loseReplies(3)
    if (burst % 10 === 6) deployment.service.loseRequests(3)
    for (const name of daemonNames) {
      const controller = deployment.controller(name)
      for (let index = 0; index < 5; index++) {
        const patchId = `${name}/${burst}/${index}`
        const baseVersion = Math.max(0, controller.version() - Math.floor(random() * 3))
        const changes = [formatChange(`stream-${Math.floor(random() * 12)}`, 1 + Math.floor(random() * 5))]
        submitted.push(patchId)
        void controller.submit(patch(patchId, baseVersion, changes), neverAborted()).then((outcome) => outcomes.set(patchId, outcome))
      }
    }
    await clock.advance(20)
  }
  await clock.advance(60_000)
  t.is(outcomes.size, 2_500)
  const first = deployment.controller('entry-1').follower.view().state
  for (const name of daemonNames) t.is(JSON.stringify(configurationFold.encode(deployment.controller(name).follower.view().state)), JSON.stringify(configurationFold.encode(first)))
  // Every accepted outcome has a version of its own, and the versions are consecutive.
  const versions = [...outcomes.values()].flatMap((outcome) => outcome.kind === 'accepted' ? [outcome.version] : []).sort((left, right) => left - right)
  t.deepEqual(versions, Array.from({ length: first.version }, (_, index) => index + 1))
  const kinds = new Set([...outcomes.values()].map(({ kind }) => kind))
  t.deepEqual([...kinds].sort(), ['accepted', 'rejected'])
})

test('during an outage of the log service, daemons refuse requests after 10 s or keep serving by majority, depending on the mode', async (t) => {
  const clock = createManualClock()
  const serving = createDeployment(clock, daemonNames)
  const refusing = createDeployment(clock, daemonNames, { mode: 'refuse' })
  await clock.advance(5_000)
  t.is(serving.positionCalls(), 0)
  serving.service.setDown(true)
  refusing.service.setDown(true)
  let refusals = 0
  for (let waited = 0; waited < 600_000; waited += 1_000) {
    await clock.advance(1_000)
    refusals += daemonNames.filter((name) => serving.controller(name).freshness().kind === 'refuse').length
  }
  t.is(refusals, 0)
  t.is(describeFreshness(serving.controller('entry-1')), 'serve: majority')
  t.is(describeFreshness(refusing.controller('entry-1')), 'refuse: unverified')
  t.is(refusing.positionCalls(), 0)
  const refusal = refusing.controller('entry-1').checkFreshness()
  t.like(refusal.isErr && refusal.error, { code: 'configuration-unverified', outcome: 'not-run', status: 503, retryAfterMilliseconds: 2_000 })
  const undecided = await runUntilSettled(clock, serving.controller('entry-1').submit(patch('p1', 0), abortAfter(clock, 5_000)))
  t.is(undecided?.kind, 'undecided')
  serving.service.setDown(false)
  await clock.advance(3_000)
  t.is(describeFreshness(serving.controller('entry-1')), 'serve: verified')
})

test('majority rounds stop after the next verified read', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
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

test('a daemon that reaches its peers but not the log obtains records and verification from the peers', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  await clock.advance(3_000)
  deployment.cutFromLog('entry-5', true)
  await clock.advance(30_000)
  await runUntilSettled(clock, deployment.controller('entry-1').submit(patch('p1', 0), neverAborted()))
  await clock.advance(12_000)
  t.is(deployment.controller('entry-5').version(), 1)
  t.is(describeFreshness(deployment.controller('entry-5')), 'serve: verified')
})

test('a daemon that reaches the log but not its peers keeps serving', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  await clock.advance(3_000)
  deployment.cutFromPeers('entry-5', true)
  await runUntilSettled(clock, deployment.controller('entry-1').submit(patch('p1', 0), neverAborted()))
  await clock.advance(30_000)
  t.is(deployment.controller('entry-5').version(), 1)
  t.is(describeFreshness(deployment.controller('entry-5')), 'serve: verified')
})

test('a daemon that reaches neither the log nor its peers refuses within 10 s of its last verified read', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  await clock.advance(3_000)
  deployment.cutFromPeers('entry-5', true)
  deployment.cutFromLog('entry-5', true)
  await clock.advance(10_001)
  t.true(describeFreshness(deployment.controller('entry-5')).startsWith('refuse'))
  deployment.cutFromPeers('entry-5', false)
  await clock.advance(3_000)
  t.is(describeFreshness(deployment.controller('entry-5')), 'serve: verified')
})

test('a daemon that starts during an outage obtains its state from a peer and serves only if the read of that peer is recent', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  await clock.advance(3_000)
  await runUntilSettled(clock, deployment.controller('entry-1').submit(patch('p1', 0), neverAborted()))
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

test('a new daemon starts from a snapshot after the first records have expired', async (t) => {
  const clock = createManualClock()
  const timing = { ...DEFAULT_CONFIGURATION_TIMING, snapshotEveryRecords: 20 }
  const deployment = createDeployment(clock, daemonNames, { timing })
  await deployment.stop('entry-1')
  await deployment.stop('entry-2')
  deployment.start('entry-1', { snapshotRank: () => 0 })
  deployment.start('entry-2', { snapshotRank: () => 1 })
  await clock.advance(3_000)
  for (let index = 0; index < 30; index++) await runUntilSettled(clock, deployment.controller('entry-3').submit(patch(`p${index}`, index), neverAborted()))
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

test('an idle stream gets a new snapshot after the configured wall-clock time, from the next rank if the first one writes none', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, ['entry-1', 'entry-2'], { snapshotRank: () => 1 })
  await clock.advance(3_000)
  await runUntilSettled(clock, deployment.controller('entry-1').submit(patch('p1', 0), neverAborted()))
  const countSnapshots = () => deployment.service.contents('configuration').filter(({ value }) => (value as { kind: string }).kind === 'snapshot').length
  await clock.advance(DEFAULT_CONFIGURATION_TIMING.snapshotEveryMilliseconds / 2)
  // Restarts do not delay the snapshot, because the time of the last one is stored in the records.
  for (const name of ['entry-1', 'entry-2']) {
    await deployment.stop(name)
    deployment.start(name)
  }
  t.is(countSnapshots(), 0)
  await clock.advance(DEFAULT_CONFIGURATION_TIMING.snapshotEveryMilliseconds / 2 + 60_000)
  t.true(countSnapshots() > 0)
})

test('a daemon of an older release stops at a record of a newer format and refuses requests, one of the newer release continues', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames, { fold: createConfigurationFold(2) })
  await deployment.stop('entry-5')
  deployment.start('entry-5', { fold: createConfigurationFold(1) })
  await clock.advance(3_000)
  const submit = (name: string, value: ConfigurationPatch) => runUntilSettled(clock, deployment.controller(name).submit(value, neverAborted()))
  t.is((await submit('entry-1', patch('p1', 0)))?.kind, 'accepted')
  t.is((await submit('entry-5', patch('p2', 1)))?.kind, 'accepted')
  t.is(describeFreshness(deployment.controller('entry-5')), 'serve: verified')
  const formats = () => deployment.service.contents('configuration').map(({ value }) => (value as { formatVersion: number }).formatVersion)
  t.deepEqual(formats(), [1, 1])
  t.is((await submit('entry-1', patch('p3', 2, [formatChange('configuration', 2)])))?.kind, 'accepted')
  t.is((await submit('entry-1', patch('p4', 3)))?.kind, 'accepted')
  await clock.advance(3_000)
  t.deepEqual(formats(), [1, 1, 1, 2])
  t.is(deployment.controller('entry-5').version(), 3)
  t.is(describeFreshness(deployment.controller('entry-5')), 'refuse: unsupported-format')
  t.is(deployment.controller('entry-4').version(), 4)
  // During an outage, the daemon of the older release does not serve by majority either.
  deployment.service.setDown(true)
  await clock.advance(30_000)
  t.is(describeFreshness(deployment.controller('entry-5')), 'refuse: unsupported-format')
  t.is(describeFreshness(deployment.controller('entry-4')), 'serve: majority')
})

test('the document of an older version can be read, that of an unknown version cannot', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  await clock.advance(3_000)
  const controller = deployment.controller('entry-1')
  for (const [index, formatVersion] of [1, 2, 3].entries()) await runUntilSettled(clock, controller.submit(patch(`p${index}`, index, [formatChange('a', formatVersion)]), neverAborted()))
  const read = (version: number): JsonValue | undefined => {
    const document = controller.documentAt(version)
    return document.isOk ? document.value.get('format/a') : undefined
  }
  t.deepEqual([0, 1, 2, 3, 4].map(read), [undefined, { formatVersion: 1 }, { formatVersion: 2 }, { formatVersion: 3 }, undefined])
  t.true(controller.documentAt(4).isErr)
})

// Guards against serving an old version by majority: entry-3 confirms the new version, loses it in a
// restart, and is then connected only to daemons that lack that version.
test('a member that lost its confirmation in a restart does not count towards a majority of daemons without the version', async (t) => {
  const clock = createManualClock()
  const deployment = createDeployment(clock, daemonNames)
  await clock.advance(3_000)
  const separate = (left: readonly string[], right: readonly string[], cut: boolean): void => {
    for (const one of left) for (const other of right) deployment.cutPair(one, other, cut)
  }
  separate(['entry-1', 'entry-2', 'entry-3'], ['entry-4', 'entry-5'], true)
  for (const name of ['entry-4', 'entry-5']) deployment.cutFromLog(name, true)
  t.is((await runUntilSettled(clock, deployment.controller('entry-1').submit(patch('p1', 0, [formatChange('a', 1)]), neverAborted())))?.kind, 'accepted')
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

// Guards against a daemon that acts on a version older than one that was reported as accepted 12 s earlier.
// Most phases split the daemons into two groups, of which one, both or neither can reach the log service.
for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`no daemon serves an older version 12 s after a newer one was accepted, with random partitions and restarts, seed ${seed}`, async (t) => {
    const clock = createManualClock()
    const deployment = createDeployment(clock, daemonNames, {}, seed * 100)
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
      const inFirstGroup = new Map(daemonNames.map((name) => [name, random() < 0.5]))
      const isSplit = random() < 0.8
      const logGroup = pick(['first', 'first', 'second', 'none', 'all'])
      if (random() < 0.4) {
        const name = pick(daemonNames)
        if (deployment.isRunning(name)) await deployment.stop(name)
        lastVersion.delete(name)
      }
      for (const name of daemonNames) {
        const group = inFirstGroup.get(name) === true ? 'first' : 'second'
        logAccess.set(name, logGroup === 'all' || logGroup === group)
        if (!deployment.isRunning(name) && random() < 0.8) deployment.start(name, {}, logAccess.get(name))
        deployment.cutFromLog(name, logAccess.get(name) !== true)
        for (const other of daemonNames) {
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
      for (const member of daemonNames.filter(deployment.isRunning)) {
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
        const name = pick(daemonNames)
        if (random() < 0.05) deployment.service.loseReplies(1)
        if (random() < 0.15 && deployment.isRunning(name)) submitPatch(name)
        await clock.advance(500)
        check()
      }
    }
    t.is(violations, 0)
    // Fails if the run has not covered the cases that it is meant to check.
    t.true(accepted.length > 10 && served > 500 && servedByMajority > 50, `accepted ${accepted.length}, served ${served}, by majority ${servedByMajority}`)
  })
}
