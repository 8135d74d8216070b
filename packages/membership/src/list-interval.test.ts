import { createManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { VmRecord } from '@fuchsiastage/types'
import test from 'ava'
import { err, ok } from 'true-myth/result'
import { createMembershipController, createSeededRandom } from './index.js'

const self: VmRecord = { name: 'entry-1', role: 'entry', region: 'bc-coast', dataCentre: 'van-a', address: '10.0.0.1:8080', peerAddress: '10.0.0.1:8082', state: 'live' }

async function countReads (vmCount: number, milliseconds: number): Promise<number> {
  const clock = createManualClock()
  const vms = [self, ...Array.from({ length: vmCount - 1 }, (_, index): VmRecord =>
    ({ name: `drafter-${index}`, role: 'drafter', region: 'bc-coast', dataCentre: 'van-a', address: '10.0.0.2:8000', state: 'live' }))]
  let reads = 0
  const unreachable = async () => err(createError({ code: 'unreachable', message: 'the peer is unreachable', step: 'probe' }))
  const membership = createMembershipController({
    self,
    clock,
    logger: createMemoryLogger(clock).logger,
    random: createSeededRandom(1),
    transport: { probe: unreachable, probeIndirect: unreachable },
    readListing: async () => {
      reads++
      return ok({ vms })
    }
  })
  membership.start()
  await clock.advance(milliseconds)
  const stopped = membership.stop()
  await clock.advance(10_000)
  await stopped
  return reads
}

test('a small VM list is read at the configured interval', async (t) => {
  const reads = await countReads(20, 20_000)
  t.true(reads >= 20 && reads <= 28, `${reads} reads`)
})

// Guards against reading a large VM list at the interval for small ones, which alone would exceed the
// control traffic budget of a daemon many times over.
test('a list of 6,270 VMs is read at a longer interval, so that its traffic stays bounded', async (t) => {
  const reads = await countReads(6_270, 300_000)
  t.true(reads >= 3 && reads <= 6, `${reads} reads`)
})
