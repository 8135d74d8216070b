import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createRoomIssuer, type RoomIssuer, type RoomStatement } from './index.js'

const TARGET = 'e1@0'

interface Scene {
  readonly clock: ManualClock
  readonly rooms: RoomIssuer
  readonly dead: Set<string>
  readonly statement: (daemon: string, held: number, changes?: Partial<RoomStatement>) => RoomStatement
}

function startScene (): Scene {
  const clock = createManualClock()
  const dead = new Set<string>()
  let sequence = 0
  return {
    clock,
    dead,
    rooms: createRoomIssuer({ clock, logger: createMemoryLogger(clock).logger, isAlive: (daemon) => !dead.has(daemon), share: () => 1 }),
    statement: (daemon, held, changes = {}) => ({ target: TARGET, daemon, daemonStartedAt: 1, sequence: ++sequence, held, rejections: 5, slots: 3, ...changes })
  }
}

test('all daemons together get the slots of a brittle target, and a request that ends makes room', (t) => {
  const { rooms, statement } = startScene()
  const kinds = [statement('a', 0), statement('b', 0), statement('a', 1), statement('b', 1)].map((asked) => rooms.issue(asked).kind)
  t.deepEqual(kinds, ['granted', 'granted', 'granted', 'denied'])
  rooms.report({ ...statement('a', 1), ended: { isTurnedAway: false, milliseconds: 50 } })
  t.is(rooms.issue(statement('b', 1)).kind, 'granted')
})

test('a rejection reduces the room to the requests that the target had accepted', (t) => {
  const { rooms, statement } = startScene()
  for (const asked of [statement('a', 0), statement('b', 0)]) rooms.issue(asked)
  rooms.report({ ...statement('b', 0), ended: { isTurnedAway: true, milliseconds: 4 } })
  t.is(rooms.issue(statement('b', 0)).kind, 'denied')
})

test('half of the allowed rejections in a second stop the requests until that second is over', async (t) => {
  const { clock, rooms, statement } = startScene()
  rooms.report({ ...statement('a', 0), ended: { isTurnedAway: true, milliseconds: 4 } })
  t.is(rooms.issue(statement('b', 0)).kind, 'granted')
  await clock.advance(300)
  rooms.report({ ...statement('b', 0), ended: { isTurnedAway: true, milliseconds: 4 } })
  // The retry time is that of the end of the second of the first of these two rejections.
  t.deepEqual(rooms.issue(statement('a', 0)), { kind: 'denied', retryAfterMilliseconds: 700 })
  await clock.advance(700)
  t.is(rooms.issue(statement('a', 0)).kind, 'granted')
})

test('a room that is used up grows by one in a second, and not where no rejection is allowed', async (t) => {
  const { clock, rooms, statement } = startScene()
  const sizeAfterRejection = async (rejections: number, target: string): Promise<number> => {
    rooms.report({ ...statement('a', 0, { target, rejections }), ended: { isTurnedAway: true, milliseconds: 4 } })
    await clock.advance(1_000)
    let held = 0
    for (let attempt = 0; attempt < 4; attempt++) {
      if (rooms.issue(statement('a', held, { target, rejections })).kind === 'granted') held++
      await clock.advance(1_000)
    }
    return held
  }
  t.is(await sizeAfterRejection(5, 'e2@0'), 4)
  t.is(await sizeAfterRejection(0, 'e3@0'), 1)
})

test('the requests of daemons that have failed or started anew do not take room, and an old message changes nothing', (t) => {
  const { rooms, statement, dead } = startScene()
  const old = statement('b', 0)
  rooms.issue(statement('a', 1))
  rooms.issue(statement('b', 0))
  rooms.report(old)
  t.is(rooms.issue(statement('c', 0)).kind, 'denied', 'the older message of b has returned its room')
  dead.add('a')
  t.is(rooms.issue(statement('c', 0)).kind, 'granted')
  rooms.report(statement('b', 0, { daemonStartedAt: 2, sequence: 0 }))
  t.is(rooms.issue(statement('c', 2)).kind, 'granted', 'the requests of the previous start of b take room')
})

test('a new issuer learns the requests of each daemon from its next message', (t) => {
  const { rooms, statement } = startScene()
  rooms.report(statement('a', 2))
  t.is(rooms.issue(statement('b', 0)).kind, 'granted')
  t.is(rooms.issue(statement('b', 1)).kind, 'denied')
})
