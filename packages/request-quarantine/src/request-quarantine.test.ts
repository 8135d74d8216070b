import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createRequestQuarantine, type QuarantineUpdate, type RequestQuarantine, type RequestTraits } from './index.js'

interface Fixture {
  readonly clock: ManualClock
  readonly quarantine: RequestQuarantine
  readonly lines: readonly string[]
  readonly known: Set<string>
  /** Lets an engine crash at a request with these parts. */
  readonly crash: (target: string, parts: readonly string[]) => Promise<void>
  /** Serves a request with these parts. */
  readonly serve: (parts: readonly string[]) => void
  /** Lets a target crash at a request with these traits. */
  readonly crashAt: (target: string, traits: RequestTraits) => Promise<void>
}

/** Traits of a request of its own with these prompt parts. */
function traitsWith (parts: readonly string[]): RequestTraits {
  return { parts, fingerprint: `request-${requestCount++}` }
}

let requestCount = 0

function createFixture ({ clock = createManualClock() } = {}): Fixture {
  const { logger, lines } = createMemoryLogger(clock)
  const known = new Set<string>()
  const quarantine = createRequestQuarantine({ clock, logger, isKnown: (target) => known.has(target), random: () => 0 })
  const crashAt: Fixture['crashAt'] = async (target, traits) => {
    known.add(target)
    const sentAt = clock.now()
    await clock.advance(100)
    quarantine.recordLoss({ target, service: SERVICE, traits, sentAt, hasBegun: true })
    quarantine.recordUnreachable(target)
    await clock.advance(10)
  }
  return {
    clock,
    quarantine,
    lines,
    known,
    crashAt,
    crash: async (target, parts) => await crashAt(target, traitsWith(parts)),
    serve: (parts) => quarantine.recordServed(SERVICE, traitsWith(parts))
  }
}

const SERVICE = 'drafter'
const DEADLY = ['system', 'deadly']
const SOUND = ['system', 'sound']

/** Lets three engines crash at the same part while other requests are served. */
async function crashThreeEngines ({ crash, serve }: Pick<Fixture, 'crash' | 'serve'>): Promise<void> {
  for (const target of ['e1', 'e2', 'e3']) {
    await crash(target, DEADLY)
    for (let served = 0; served < 3; served++) serve(SOUND)
  }
}

test('requests with a part that crashed three engines are rejected, and others are not', async (t) => {
  const fixture = createFixture()
  await fixture.crash('e1', DEADLY)
  await fixture.crash('e2', DEADLY)
  t.is(fixture.quarantine.check(traitsWith(DEADLY)).kind, 'allowed')
  await crashThreeEngines(fixture)
  t.snapshot(fixture.quarantine.check(traitsWith(DEADLY)))
  t.is(fixture.quarantine.check(traitsWith(SOUND)).kind, 'allowed')
  t.is(fixture.quarantine.check(traitsWith([])).kind, 'allowed')
  t.is(fixture.quarantine.count('prompt'), 1)
  t.snapshot(fixture.lines.filter((line) => line.includes('prompt-quarantined')).map((line) => ({ ...JSON.parse(line), time: 0 })))
})

test('a lost connection to an engine that is still running is no crash', async (t) => {
  const { clock, quarantine, known } = createFixture()
  for (const target of ['e1', 'e2', 'e3']) {
    known.add(target)
    quarantine.recordLoss({ target, service: SERVICE, traits: traitsWith(DEADLY), sentAt: clock.now(), hasBegun: true })
    await clock.advance(300)
    quarantine.recordAnswer(target, clock.now())
    quarantine.recordUnreachable(target)
  }
  t.is(quarantine.check(traitsWith(DEADLY)).kind, 'allowed')
})

test('a crash is confirmed when the entry of the engine is removed', async (t) => {
  const { clock, quarantine, known } = createFixture()
  for (const target of ['e1', 'e2', 'e3']) {
    known.add(target)
    quarantine.recordLoss({ target, service: SERVICE, traits: traitsWith(DEADLY), sentAt: clock.now(), hasBegun: true })
    await clock.advance(300)
  }
  t.is(quarantine.check(traitsWith(DEADLY)).kind, 'allowed')
  known.clear()
  await clock.advance(300)
  t.is(quarantine.check(traitsWith(DEADLY)).kind, 'quarantined')
})

test('one request is tried after a time that doubles with each crash', async (t) => {
  const { clock, quarantine, crash, serve } = createFixture()
  await crashThreeEngines({ crash, serve })
  t.false(quarantine.grantTrial(traitsWith(DEADLY)))
  await clock.advance(60_000)
  t.is(quarantine.check(traitsWith(DEADLY)).kind, 'trial')
  t.true(quarantine.grantTrial(traitsWith(DEADLY)))
  t.false(quarantine.grantTrial(traitsWith(DEADLY)))
  await crash('e4', DEADLY)
  t.is(Math.round((quarantine.check(traitsWith(DEADLY)) as { retryAfterMilliseconds: number }).retryAfterMilliseconds / 1_000), 120)
})

test('a daemon that asked another one for a trial tries no request until the outcome is known', async (t) => {
  const fixture = createFixture()
  await crashThreeEngines(fixture)
  await fixture.clock.advance(60_000)
  fixture.quarantine.awaitTrial(traitsWith(DEADLY))
  t.is(fixture.quarantine.check(traitsWith(DEADLY)).kind, 'quarantined')
  await fixture.clock.advance(10_000)
  t.is(fixture.quarantine.check(traitsWith(DEADLY)).kind, 'trial')
})

test('requests are sent again at all daemons after a trial was served', async (t) => {
  const fixture = createFixture()
  const other = createFixture({ clock: fixture.clock })
  await crashThreeEngines(fixture)
  other.quarantine.applyUpdates(fixture.quarantine.updates(undefined))
  t.is(other.quarantine.check(traitsWith(DEADLY)).kind, 'quarantined')
  await fixture.clock.advance(60_000)
  fixture.quarantine.grantTrial(traitsWith(DEADLY))
  fixture.serve(DEADLY)
  other.quarantine.applyUpdates(fixture.quarantine.updates(undefined))
  t.is(fixture.quarantine.check(traitsWith(DEADLY)).kind, 'allowed')
  t.is(other.quarantine.check(traitsWith(DEADLY)).kind, 'allowed')
})

test('a request without the other suspected parts is tried early, once', async (t) => {
  const { clock, quarantine, crash, serve } = createFixture()
  const [caller, deadly] = [['system', 'caller'], ['system', 'caller', 'deadly']]
  for (const [target, parts] of [['e1', caller], ['e2', deadly], ['e3', deadly]] as const) {
    await crash(target, parts)
    for (let served = 0; served < 3; served++) serve(SOUND)
  }
  await clock.advance(3_000)
  t.is(quarantine.check(traitsWith(deadly)).kind, 'quarantined')
  t.is(quarantine.check(traitsWith(caller)).kind, 'trial')
  await crash('e4', caller)
  await clock.advance(3_000)
  t.is(quarantine.check(traitsWith(caller)).kind, 'quarantined')
})

test('a trial comes within seconds while engines serve no other requests either', async (t) => {
  const { clock, quarantine, crash } = createFixture()
  for (const target of ['e1', 'e2', 'e3']) await crash(target, DEADLY)
  t.is(quarantine.check(traitsWith(DEADLY)).kind, 'quarantined')
  await clock.advance(3_000)
  t.is(quarantine.check(traitsWith(DEADLY)).kind, 'trial')
})

test('daemons that observed one crash each find the pattern together, and a daemon that starts later learns it', async (t) => {
  const clock = createManualClock()
  const daemons = [1, 2, 3].map(() => createFixture({ clock }))
  for (const [index, { crash, serve }] of daemons.entries()) {
    await crash(`e${index}`, DEADLY)
    for (let served = 0; served < 3; served++) serve(SOUND)
  }
  for (const { quarantine } of daemons) for (const peer of daemons) quarantine.applyUpdates(peer.quarantine.updates(undefined))
  t.deepEqual(daemons.map(({ quarantine }) => quarantine.check(traitsWith(DEADLY)).kind), ['quarantined', 'quarantined', 'quarantined'])
  await clock.advance(30_000)
  const later = createFixture({ clock })
  later.quarantine.applyUpdates(daemons[0]?.quarantine.updates(undefined) ?? { crashes: [], served: [] })
  t.is(later.quarantine.check(traitsWith(DEADLY)).kind, 'quarantined')
})

test('a message that goes back and forth between two daemons changes nothing', async (t) => {
  const clock = createManualClock()
  const [one, other] = [createFixture({ clock }), createFixture({ clock })]
  await crashThreeEngines(one)
  const pass = async (from: RequestQuarantine, to: RequestQuarantine): Promise<void> => {
    const update = from.updates(undefined)
    await clock.advance(40)
    to.applyUpdates(update)
  }
  for (let round = 0; round < 100; round++) {
    await pass(one.quarantine, other.quarantine)
    await pass(other.quarantine, one.quarantine)
  }
  // After the time for which gossip repeats a change, only the evidence of the pattern is left.
  t.is(one.quarantine.updates(undefined).crashes.flatMap(({ prompts }) => prompts).length, 3)
})

test('the gossip is bounded, and of many suspected requests those to which the engine had begun to respond are kept', (t) => {
  const { clock, quarantine, known } = createFixture()
  for (let engine = 0; engine < 100; engine++) {
    known.add(`e${engine}`)
    for (let request = 0; request < 50; request++) quarantine.recordLoss({ target: `e${engine}`, service: SERVICE, traits: traitsWith([`p${request}`]), sentAt: clock.now(), hasBegun: request === 49 })
  }
  const { crashes }: QuarantineUpdate = quarantine.updates(undefined)
  t.is(crashes.length, 8)
  t.true(crashes.every(({ prompts }) => prompts.length === 8 && prompts[0]?.parts[0] === 'p49'))
})

const SAME: RequestTraits = { parts: [], fingerprint: 'same' }

test('a request without a model that crashed three targets is rejected when it comes again, and others are not', async (t) => {
  const { quarantine, crashAt, lines } = createFixture()
  for (const target of ['t1', 't2']) await crashAt(target, SAME)
  t.is(quarantine.check(SAME).kind, 'allowed')
  await crashAt('t3', SAME)
  t.snapshot(quarantine.check(SAME))
  t.is(quarantine.check(traitsWith([])).kind, 'allowed')
  t.is(quarantine.count('request'), 1)
  t.is(quarantine.count('prompt'), 0)
  t.snapshot(lines.filter((line) => line.includes('request-quarantined')).map((line) => ({ ...JSON.parse(line), time: 0 })))
})

test('a request that crashed targets is tried once after five minutes, and sent again if the trial is served', async (t) => {
  const { clock, quarantine, crashAt } = createFixture()
  for (const target of ['t1', 't2', 't3']) await crashAt(target, SAME)
  await clock.advance(299_000)
  t.is(quarantine.check(SAME).kind, 'quarantined')
  await clock.advance(1_000)
  t.is(quarantine.check(SAME).kind, 'trial')
  t.deepEqual([quarantine.grantTrial(SAME), quarantine.grantTrial(SAME)], [true, false])
  quarantine.recordServed(SERVICE, SAME)
  t.is(quarantine.check(SAME).kind, 'allowed')
})

test('another request with the prompt parts of one that comes again is tried at once when daemons know what was served', async (t) => {
  const { clock, quarantine, crashAt } = createFixture()
  const same = { parts: ['system'], fingerprint: 'same' }
  for (const target of ['e1', 'e2', 'e3']) await crashAt(target, same)
  const other = traitsWith(['system'])
  t.is(quarantine.check(same).kind, 'quarantined')
  t.is(quarantine.check(other).kind, 'allowed')
  await clock.advance(1_500)
  t.is(quarantine.check(other).kind, 'trial')
  t.true(quarantine.grantTrial(other))
  t.is(quarantine.check(other).kind, 'quarantined')
  quarantine.recordServed(SERVICE, other)
  t.is(quarantine.check(other).kind, 'allowed')
  t.is(quarantine.check(same).kind, 'quarantined')
})

test('a daemon that starts after many crashes at the same time learns which request caused them', async (t) => {
  const { clock, quarantine, known } = createFixture()
  for (const burst of [1, 2]) {
    const sentAt = clock.now()
    await clock.advance(100)
    for (const target of [1, 2, 3, 4, 5, 6].map((number) => `t${burst}-${number}`)) {
      known.add(target)
      quarantine.recordLoss({ target, service: SERVICE, traits: SAME, sentAt, hasBegun: false })
      quarantine.recordUnreachable(target)
    }
  }
  await clock.advance(10_000)
  const later = createFixture({ clock })
  later.quarantine.applyUpdates(quarantine.updates(undefined))
  t.is(later.quarantine.check(SAME).kind, 'quarantined')
})

test('requests of another service do not show that targets serve again', async (t) => {
  const { clock, quarantine, crash } = createFixture()
  for (const target of ['e1', 'e2', 'e3']) {
    await crash(target, DEADLY)
    for (let served = 0; served < 3; served++) quarantine.recordServed('ledger', traitsWith([]))
  }
  await clock.advance(3_000)
  t.is(quarantine.check(traitsWith(DEADLY)).kind, 'trial')
})

test('gossip of an earlier version, which knows no requests, is applied', (t) => {
  const { quarantine } = createFixture()
  const crashes = [3_000, 2_000, 1_000].map((ageMilliseconds) => ({
    target: `e${ageMilliseconds}`, ageMilliseconds, isConfirmed: true, servedSince: 5, prompts: [{ parts: DEADLY, sentAgoMilliseconds: ageMilliseconds + 100, hasBegun: true }]
  }))
  quarantine.applyUpdates({ crashes, served: [] })
  t.is(quarantine.check(traitsWith(DEADLY)).kind, 'quarantined')
})

test('a daemon is told the evidence of the causes that it lacks, and only of those', async (t) => {
  const { clock, quarantine, crashAt, crash, serve } = createFixture()
  await crashThreeEngines({ crash, serve })
  for (const target of ['t1', 't2', 't3']) await crashAt(target, SAME)
  await clock.advance(10_000)
  const [deadlyCause, sameCause] = [...quarantine.updates([]).causes ?? []].reverse()
  t.is(quarantine.updates([]).crashes.length, 6)
  t.deepEqual(quarantine.updates([deadlyCause ?? '']).crashes.map(({ target }) => target).sort(), ['t1', 't2', 't3'])
  t.deepEqual(quarantine.updates([deadlyCause ?? '', sameCause ?? '']).crashes, [])
  const later = createFixture({ clock })
  later.quarantine.applyUpdates(quarantine.updates(later.quarantine.updates(undefined).causes))
  t.is(later.quarantine.check(SAME).kind, 'quarantined')
  t.is(later.quarantine.check(traitsWith(DEADLY)).kind, 'quarantined')
})

test('lost connections to many targets that go on running do not displace the crashes that show a cause', async (t) => {
  const { clock, quarantine, crashAt, known } = createFixture()
  for (const target of ['t1', 't2', 't3']) await crashAt(target, SAME)
  for (let index = 0; index < 200; index++) {
    known.add(`r${index}`)
    quarantine.recordLoss({ target: `r${index}`, service: SERVICE, traits: traitsWith([]), sentAt: clock.now(), hasBegun: false })
  }
  t.is(quarantine.check(SAME).kind, 'quarantined')
})
