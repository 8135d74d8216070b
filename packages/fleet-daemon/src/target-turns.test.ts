import { createManualClock } from '@fuchsiastage/clock'

import { createMemberDirectory, type Member } from '@fuchsiastage/fleet'
import type { FleetPeerClient } from '@fuchsiastage/fleet-peer'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSeededRandom } from '@fuchsiastage/membership'
import { createPermitIssuer, createTargetLimits, createTargetPauses } from '@fuchsiastage/target-limits'
import { createTargetPaces } from '@fuchsiastage/target-pace'
import test from 'ava'
import { ok } from 'true-myth/result'
import { createTargetTurns, type TargetTurns, type TargetTurnsOptions } from './target-turns.js'

const TARGET = 't1@0'
const DAEMONS = 100

function memberAt (index: number): Member {
  return { name: `entry-${index}`, startedAt: 1, frontAddress: `front-${index}`, peerAddress: `peer-${index}`, dataCentre: 'a', state: 'serving' }
}

const notUsed = (): never => { throw new Error('not used') }
const NO_ROOMS: TargetTurnsOptions['rooms'] = { isBrittle: () => false, acquire: notUsed, cancel: notUsed, answer: notUsed }

test('daemons that were denied a permit at the same time do not ask again at the same time', async (t) => {
  const clock = createManualClock()
  const random = createSeededRandom(1)
  const { logger } = createMemoryLogger(clock)
  const issuer = createPermitIssuer(clock)
  const callsAt: number[] = []
  const peers: Pick<FleetPeerClient, 'permit'> = {
    permit: async (_address, message) => {
      callsAt.push(clock.now())
      return ok(issuer.issue(message))
    }
  }
  const daemons = Array.from({ length: DAEMONS }, (_, own): TargetTurns => {
    const members = createMemberDirectory({ clock, logger, self: () => memberAt(own), livenessTimeoutMilliseconds: 60_000 })
    for (let index = 0; index < DAEMONS; index++) if (index !== own) members.recordContact(memberAt(index))
    const limits = createTargetLimits({ clock, logger, isKnown: () => true })
    limits.recordAnswer(TARGET, 2, 0)
    return createTargetTurns({ clock, logger, members, reachedShare: () => 1, peers, self: () => memberAt(own), limits, pauses: createTargetPauses({ clock, logger, random }), paces: createTargetPaces({ clock, logger, appliesTo: () => true, daemonCount: () => DAEMONS, random }), rooms: NO_ROOMS, onDecision: () => undefined, random })
  })
  const { signal } = new AbortController()
  for (let step = 0; step < 200; step++) {
    await Promise.all(daemons.map(async ({ acquire }) => await acquire(TARGET, 0, signal)))
    await clock.advance(100)
  }
  const pauses = callsAt.slice(1).map((at, index) => at - (callsAt[index] ?? 0))
  t.true(Math.max(...pauses) <= 1_000, `no call for ${Math.max(...pauses)} ms`)
  const perSecond = callsAt.filter((at) => at >= 2_000).length / 18
  t.true(perSecond <= 20, `${perSecond} calls a second`)
})
