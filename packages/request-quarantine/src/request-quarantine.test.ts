import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createRequestQuarantine, type RequestQuarantine, type QuarantineUpdate } from './index.js'

interface Fixture {
  readonly clock: ManualClock
  readonly quarantine: RequestQuarantine
  readonly lines: readonly string[]
  readonly known: Set<string>
  /** Lets an engine crash at a request with these parts. */
  readonly crash: (target: string, parts: readonly string[]) => Promise<void>
  /** Serves a request with these parts. */
  readonly serve: (parts: readonly string[]) => void
}

function createFixture ({ clock = createManualClock() } = {}): Fixture {
  const { logger, lines } = createMemoryLogger(clock)
  const known = new Set<string>()
  const quarantine = createRequestQuarantine({ clock, logger, isKnown: (target) => known.has(target), random: () => 0 })
  return {
    clock,
    quarantine,
    lines,
    known,
    crash: async (target, parts) => {
      known.add(target)
      const sentAt = clock.now()
      await clock.advance(100)
      quarantine.recordLoss({ target, parts, sentAt, hasBegun: true })
      quarantine.recordUnreachable(target)
      await clock.advance(10)
    },
    serve: quarantine.recordServed
  }
}

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
  t.is(fixture.quarantine.check(DEADLY).kind, 'allowed')
  await crashThreeEngines(fixture)
  t.snapshot(fixture.quarantine.check(DEADLY))
  t.is(fixture.quarantine.check(SOUND).kind, 'allowed')
  t.is(fixture.quarantine.check([]).kind, 'allowed')
  t.is(fixture.quarantine.count(), 1)
  t.snapshot(fixture.lines.filter((line) => line.includes('prompt-quarantined')).map((line) => ({ ...JSON.parse(line), time: 0 })))
})

test('a lost connection to an engine that is still running is no crash', async (t) => {
  const { clock, quarantine, known } = createFixture()
  for (const target of ['e1', 'e2', 'e3']) {
    known.add(target)
    quarantine.recordLoss({ target, parts: DEADLY, sentAt: clock.now(), hasBegun: true })
    await clock.advance(300)
    quarantine.recordAnswer(target, clock.now())
    quarantine.recordUnreachable(target)
  }
  t.is(quarantine.check(DEADLY).kind, 'allowed')
})

test('a crash is confirmed when the entry of the engine is removed', async (t) => {
  const { clock, quarantine, known } = createFixture()
  for (const target of ['e1', 'e2', 'e3']) {
    known.add(target)
    quarantine.recordLoss({ target, parts: DEADLY, sentAt: clock.now(), hasBegun: true })
    await clock.advance(300)
  }
  t.is(quarantine.check(DEADLY).kind, 'allowed')
  known.clear()
  await clock.advance(300)
  t.is(quarantine.check(DEADLY).kind, 'quarantined')
})

test('one request is tried after a time that doubles with each crash', async (t) => {
  const { clock, quarantine, crash, serve } = createFixture()
  await crashThreeEngines({ crash, serve })
  t.false(quarantine.grantTrial(DEADLY))
  await clock.advance(60_000)
  t.is(quarantine.check(DEADLY).kind, 'trial')
  t.true(quarantine.grantTrial(DEADLY))
  t.false(quarantine.grantTrial(DEADLY))
  await crash('e4', DEADLY)
  t.is(Math.round((quarantine.check(DEADLY) as { retryAfterMilliseconds: number }).retryAfterMilliseconds / 1_000), 120)
})

test('a daemon that asked another one for a trial tries no request until the outcome is known', async (t) => {
  const fixture = createFixture()
  await crashThreeEngines(fixture)
  await fixture.clock.advance(60_000)
  fixture.quarantine.awaitTrial(DEADLY)
  t.is(fixture.quarantine.check(DEADLY).kind, 'quarantined')
  await fixture.clock.advance(10_000)
  t.is(fixture.quarantine.check(DEADLY).kind, 'trial')
})

test('requests are sent again at all daemons after a trial was served', async (t) => {
  const fixture = createFixture()
  const other = createFixture({ clock: fixture.clock })
  await crashThreeEngines(fixture)
  other.quarantine.applyUpdates(fixture.quarantine.updates())
  t.is(other.quarantine.check(DEADLY).kind, 'quarantined')
  await fixture.clock.advance(60_000)
  fixture.quarantine.grantTrial(DEADLY)
  fixture.serve(DEADLY)
  other.quarantine.applyUpdates(fixture.quarantine.updates())
  t.is(fixture.quarantine.check(DEADLY).kind, 'allowed')
  t.is(other.quarantine.check(DEADLY).kind, 'allowed')
})

test('a request without the other suspected parts is tried early, once', async (t) => {
  const { clock, quarantine, crash, serve } = createFixture()
  const [caller, deadly] = [['system', 'caller'], ['system', 'caller', 'deadly']]
  for (const [target, parts] of [['e1', caller], ['e2', deadly], ['e3', deadly]] as const) {
    await crash(target, parts)
    for (let served = 0; served < 3; served++) serve(SOUND)
  }
  await clock.advance(3_000)
  t.is(quarantine.check(deadly).kind, 'quarantined')
  t.is(quarantine.check(caller).kind, 'trial')
  await crash('e4', caller)
  await clock.advance(3_000)
  t.is(quarantine.check(caller).kind, 'quarantined')
})

test('a trial comes within seconds while engines serve no other requests either', async (t) => {
  const { clock, quarantine, crash } = createFixture()
  for (const target of ['e1', 'e2', 'e3']) await crash(target, DEADLY)
  t.is(quarantine.check(DEADLY).kind, 'quarantined')
  await clock.advance(3_000)
  t.is(quarantine.check(DEADLY).kind, 'trial')
})

test('daemons that observed one crash each find the pattern together, and a daemon that starts later learns it', async (t) => {
  const clock = createManualClock()
  const daemons = [1, 2, 3].map(() => createFixture({ clock }))
  for (const [index, { crash, serve }] of daemons.entries()) {
    await crash(`e${index}`, DEADLY)
    for (let served = 0; served < 3; served++) serve(SOUND)
  }
  for (const { quarantine } of daemons) for (const peer of daemons) quarantine.applyUpdates(peer.quarantine.updates())
  t.deepEqual(daemons.map(({ quarantine }) => quarantine.check(DEADLY).kind), ['quarantined', 'quarantined', 'quarantined'])
  await clock.advance(30_000)
  const later = createFixture({ clock })
  later.quarantine.applyUpdates(daemons[0]?.quarantine.updates() ?? { crashes: [], served: [] })
  t.is(later.quarantine.check(DEADLY).kind, 'quarantined')
})

test('a message that goes back and forth between two daemons changes nothing', async (t) => {
  const clock = createManualClock()
  const [one, other] = [createFixture({ clock }), createFixture({ clock })]
  await crashThreeEngines(one)
  const pass = async (from: RequestQuarantine, to: RequestQuarantine): Promise<void> => {
    const update = from.updates()
    await clock.advance(40)
    to.applyUpdates(update)
  }
  for (let round = 0; round < 100; round++) {
    await pass(one.quarantine, other.quarantine)
    await pass(other.quarantine, one.quarantine)
  }
  // After the time for which gossip repeats a change, only the evidence of the pattern is left.
  t.is(one.quarantine.updates().crashes.flatMap(({ prompts }) => prompts).length, 3)
})

test('the gossip is bounded, and of many suspected requests those to which the engine had begun to respond are kept', (t) => {
  const { clock, quarantine, known } = createFixture()
  for (let engine = 0; engine < 100; engine++) {
    known.add(`e${engine}`)
    for (let request = 0; request < 50; request++) quarantine.recordLoss({ target: `e${engine}`, parts: [`p${request}`], sentAt: clock.now(), hasBegun: request === 49 })
  }
  const { crashes }: QuarantineUpdate = quarantine.updates()
  t.is(crashes.length, 8)
  t.true(crashes.every(({ prompts }) => prompts.length === 8 && prompts[0]?.parts[0] === 'p49'))
})
