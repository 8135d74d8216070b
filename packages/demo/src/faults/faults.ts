import type { Milliseconds } from '@fuchsiastage/types'
import type { FaultContext } from './fault-context.js'
import type { RequestKind } from './records.js'

export interface Fault {
  readonly name: string
  /** Injects the fault and ends it. Resolves when all processes run again. */
  readonly run: (context: FaultContext) => Promise<void>
  /** Time after the end of the fault within which every daemon must serve all kinds of requests. */
  readonly servesWithinMilliseconds: Milliseconds
}

const PAUSE_MILLISECONDS = 15_000
const LOG_OUTAGE_MILLISECONDS = 30_000
const VM_LIST_OUTAGE_MILLISECONDS = 15_000
const SLOW_LOG_MILLISECONDS = 1_500
const LOST_REPLY_COUNT = 40
const ROUNDS = 4
/** Duration of calls while a fault needs calls in flight; the duration of the example is restored afterwards. */
const SLOW_CALL_MILLISECONDS = 2_000
/** Time for which a draining target may still receive new requests. */
const DRAINING_LIMIT_MILLISECONDS = 3_000
const WAIT_ATTEMPTS = 400
const WAIT_MILLISECONDS = 25

/** Bound for faults without a lease takeover, after which daemons serve immediately. */
const NO_TAKEOVER_MILLISECONDS = 5_000
/** A lease lapses after 9 s; the candidate of the third rank acquires it 3 s later and has to read the stream first. */
const LEASE_TAKEOVER_MILLISECONDS = 15_000
/** Bound for faults after which a model has to be loaded again; loads take 8 to 16 s in the examples. */
const RELOAD_MILLISECONDS = 30_000

/**
 * The faults in the order in which they run.
 *
 * @example
 * for (const fault of FAULTS) await fault.run(context)
 */
export const FAULTS: readonly Fault[] = [
  { name: 'kill-placement-holder', run: killPlacementHolder, servesWithinMilliseconds: LEASE_TAKEOVER_MILLISECONDS },
  { name: 'kill-daemon-with-claims', run: killDaemonWithClaims, servesWithinMilliseconds: LEASE_TAKEOVER_MILLISECONDS },
  { name: 'kill-engine', run: killEngineWithStreams, servesWithinMilliseconds: RELOAD_MILLISECONDS },
  { name: 'pause-placement-holder', run: pausePlacementHolder, servesWithinMilliseconds: LEASE_TAKEOVER_MILLISECONDS },
  { name: 'pause-daemon-with-calls', run: pauseDaemonWithCalls, servesWithinMilliseconds: LEASE_TAKEOVER_MILLISECONDS },
  { name: 'cut-engine-connections', run: (context) => interruptConnections(context, { cutConnections: true }), servesWithinMilliseconds: NO_TAKEOVER_MILLISECONDS },
  { name: 'silent-engine-connections', run: (context) => interruptConnections(context, { silenceConnections: true }), servesWithinMilliseconds: NO_TAKEOVER_MILLISECONDS },
  { name: 'log-down', run: takeLogDown, servesWithinMilliseconds: LEASE_TAKEOVER_MILLISECONDS },
  { name: 'log-slow', run: slowLog, servesWithinMilliseconds: LEASE_TAKEOVER_MILLISECONDS },
  { name: 'log-lost-replies', run: loseLogReplies, servesWithinMilliseconds: NO_TAKEOVER_MILLISECONDS },
  { name: 'vm-list-down', run: takeVmListDown, servesWithinMilliseconds: NO_TAKEOVER_MILLISECONDS },
  { name: 'engine-leaves', run: drainEngine, servesWithinMilliseconds: RELOAD_MILLISECONDS },
  { name: 'stop-two-daemons', run: stopTwoDaemons, servesWithinMilliseconds: NO_TAKEOVER_MILLISECONDS }
]

async function waitForInFlight (context: FaultContext, daemons: readonly string[], kind: RequestKind): Promise<string> {
  for (let attempt = 0; attempt < WAIT_ATTEMPTS; attempt++) {
    const found = daemons.find((daemon) => context.callers.inFlight(daemon, kind) > 0)
    if (found !== undefined) return found
    await context.sleep(WAIT_MILLISECONDS)
  }
  throw new Error(`no ${kind} was in flight at ${daemons.join(', ')}`)
}

async function withSlowCalls (context: FaultContext, action: () => Promise<void>): Promise<void> {
  const role = context.example.description.roles[context.example.serviceRole]
  await context.control(context.services, { callMilliseconds: SLOW_CALL_MILLISECONDS })
  try {
    await action()
  } finally {
    await context.control(context.services, { callMilliseconds: role?.kind === 'service' ? role.callMilliseconds ?? 0 : 0 })
  }
}

async function killPlacementHolder (context: FaultContext): Promise<void> {
  const holder = await context.placementHolder()
  context.print(`    killing ${holder}, which holds the placement lease`)
  await context.killDaemon(holder)
}

async function killDaemonWithClaims (context: FaultContext): Promise<void> {
  const holder = await context.placementHolder()
  await withSlowCalls(context, async () => {
    // After these waits the claim of the call is granted and the call is running at the service.
    await context.sleep(1_000)
    const daemon = await waitForInFlight(context, context.daemons.filter((name) => name !== holder), 'call')
    await context.sleep(300)
    const calls = context.callers.inFlight(daemon, 'call')
    context.print(`    killing ${daemon} with ${calls} call(s) in flight`)
    context.check(calls > 0, 'the killed daemon had calls in flight')
    await context.killDaemon(daemon)
  })
}

async function busiestEngine (context: FaultContext): Promise<string> {
  for (let attempt = 0; attempt < WAIT_ATTEMPTS; attempt++) {
    const counts = await Promise.all(context.engines.map((engine) => context.engineCounts(engine)))
    const [busiest] = counts.toSorted((left, right) => right.running - left.running)
    if (busiest !== undefined && busiest.running > 0) return busiest.name
    await context.sleep(WAIT_MILLISECONDS)
  }
  throw new Error('no engine was running a request')
}

async function killEngineWithStreams (context: FaultContext): Promise<void> {
  const engine = await busiestEngine(context)
  const running = await context.killEngine(engine)
  context.print(`    killed ${engine} with ${running} request(s) running`)
  context.check(running > 0, 'the killed engine was running requests')
  await context.sleep(2_000)
  await context.processes.restart(engine)
}

async function pausePlacementHolder (context: FaultContext): Promise<void> {
  const holder = await context.placementHolder()
  context.print(`    pausing ${holder}, which holds the placement lease`)
  await context.pauseDaemon(holder, PAUSE_MILLISECONDS)
  const now = await context.placementHolder(holder)
  context.check(now !== holder, `another daemon took the placement lease over (${now})`)
}

async function pauseDaemonWithCalls (context: FaultContext): Promise<void> {
  const holder = await context.placementHolder()
  await withSlowCalls(context, async () => {
    await context.sleep(1_000)
    const daemon = await waitForInFlight(context, context.daemons.filter((name) => name !== holder), 'call')
    await context.sleep(300)
    const calls = context.callers.inFlight(daemon, 'call')
    context.print(`    pausing ${daemon} with ${calls} call(s) in flight`)
    context.check(calls > 0, 'the paused daemon had calls in flight')
    await context.pauseDaemon(daemon, PAUSE_MILLISECONDS)
  })
}

async function interruptConnections (context: FaultContext, change: { readonly cutConnections: true } | { readonly silenceConnections: true }): Promise<void> {
  for (let round = 0; round < ROUNDS; round++) {
    const engine = await busiestEngine(context)
    await context.control([...context.engines, ...context.services], change)
    context.print(`    round ${round + 1}: interrupted all connections of the targets while ${engine} was running requests`)
    await context.sleep(2_500)
  }
}

async function takeLogDown (context: FaultContext): Promise<void> {
  await context.control(['log-service'], { down: true })
  await context.sleep(LOG_OUTAGE_MILLISECONDS)
  await context.control(['log-service'], { down: false })
}

async function slowLog (context: FaultContext): Promise<void> {
  await context.control(['log-service'], { slowMilliseconds: SLOW_LOG_MILLISECONDS })
  await context.sleep(VM_LIST_OUTAGE_MILLISECONDS)
  await context.control(['log-service'], { slowMilliseconds: 0 })
}

async function loseLogReplies (context: FaultContext): Promise<void> {
  for (let round = 0; round < ROUNDS; round++) {
    await context.control(['log-service'], { loseReplies: LOST_REPLY_COUNT })
    await context.sleep(2_000)
  }
  await context.control(['log-service'], { loseReplies: 0 })
}

async function takeVmListDown (context: FaultContext): Promise<void> {
  await context.control(['vm-list'], { down: true })
  await context.sleep(VM_LIST_OUTAGE_MILLISECONDS)
  await context.control(['vm-list'], { down: false })
}

async function drainEngine (context: FaultContext): Promise<void> {
  const engine = await busiestEngine(context)
  const vm = (await context.processes.counts('vm-list') as unknown as { readonly vms: readonly { readonly name: string }[] }).vms.find(({ name }) => name === engine)
  context.print(`    draining ${engine}`)
  // The VM list shows the state first, as when a platform reclaims a VM, and the engine accepts requests
  // for another 500 ms. It counts every arriving request, including those after the draining limit.
  await context.control(['vm-list'], { markLeaving: [engine] })
  await context.sleep(500)
  await context.control([engine], { state: 'leaving' })
  await context.sleep(DRAINING_LIMIT_MILLISECONDS)
  const before = (await context.processes.counts(engine)).arrived as Readonly<Record<string, number>>
  await context.sleep(5_000)
  const after = (await context.processes.counts(engine)).arrived as Readonly<Record<string, number>>
  const late = Object.keys(after).filter((id) => before[id] === undefined)
  context.check(late.length === 0, `${engine} got ${late.length} new request(s) later than ${DRAINING_LIMIT_MILLISECONDS} ms after it started to drain${late.length > 0 ? ` (${late[0]})` : ''}`)
  await context.control([engine], { state: 'live' })
  await context.control(['vm-list'], { add: [{ ...vm, state: 'live' }] as never })
}

async function stopTwoDaemons (context: FaultContext): Promise<void> {
  const holder = await context.placementHolder()
  const other = context.daemons.find((name) => name !== holder) ?? ''
  const stopped = [holder, other]
  const from = context.clock.now()
  const exits = await Promise.all(stopped.map((daemon) => context.processes.stop(daemon)))
  context.print(`    stopped ${stopped.join(' and ')} after ${Math.round(context.clock.now() - from)} ms`)
  context.check(exits.every(({ code }) => code === 0), `both daemons exited with code 0 (${exits.map(({ code, signal }) => code ?? signal).join(', ')})`)
  const failed = context.callers.records.filter(({ daemon, endedAt, outcome }) => stopped.includes(daemon) && endedAt >= from && outcome !== 'done')
  context.check(failed.length === 0, `${failed.length} request(s) at the stopped daemons were cut off or refused${failed.slice(0, 3).map(({ code, requestId }) => ` (${code} ${requestId ?? ''})`).join('')}`)
  await Promise.all(stopped.map((daemon) => context.processes.restart(daemon)))
}
