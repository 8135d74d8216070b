import { createManualClock } from '@fuchsiastage/clock'
import type { AllowanceClient, AllowanceDecision } from '@fuchsiastage/customer-allowances'
import type { CustomerAllowance, ServingRoute } from '@fuchsiastage/fleet'
import test from 'ava'
import { createAllowanceFilter } from './allowance-filter.js'
import type { ForwardContext, ForwardOutcome, InboundRequest, RequestTrace } from './request.js'

const ALLOWANCE: CustomerAllowance = { unit: 'tokens', perSecond: 313_479, burst: 313_479, plainTokens: 200 }
const DEMAND = { model: 'm1', adapter: undefined, promptTokens: 9_000, maximumOutputTokens: 200, promptParts: [] }
const DELIVERED: ForwardOutcome = { kind: 'delivered', status: 200 }

interface Case {
  readonly allowance?: CustomerAllowance | undefined
  readonly isAnonymous?: boolean
  readonly demand?: typeof DEMAND
  readonly tokens?: number
  readonly isHandedOver?: boolean
  readonly decision?: AllowanceDecision
  readonly outcome?: ForwardOutcome
  readonly sends?: RequestTrace['sends']
  readonly deadlineAt?: number
}

/** Passes a request through the filter; returns what the allowances were asked for and what was sent on when. */
async function pass ({ allowance = ALLOWANCE, isAnonymous = false, demand, tokens, isHandedOver = false, decision = { kind: 'granted', waitMilliseconds: 0 }, outcome = DELIVERED, sends = [], deadlineAt = 10_000 }: Case) {
  const clock = createManualClock()
  const acquired: Array<readonly [number, number]> = []
  const refunded: number[] = []
  const sentAt: number[] = []
  const allowances: Pick<AllowanceClient, 'acquire' | 'refund'> = {
    acquire: async (_customer, cost, maximumWaitMilliseconds) => {
      acquired.push([cost, maximumWaitMilliseconds])
      return decision
    },
    refund: (_customer, cost) => { refunded.push(cost) }
  }
  const context = {
    request: { description: { demand, tokens }, ...isHandedOver ? { handover: {} } : {} } as unknown as InboundRequest,
    trace: { sends, handovers: [] } as unknown as RequestTrace,
    route: { priority: 0, objectiveMilliseconds: 400 } as unknown as ServingRoute,
    deadlineAt,
    signal: new AbortController().signal,
    ...isAnonymous ? {} : { customer: { name: 'hule930', priority: 1, allowance } }
  } as unknown as ForwardContext
  const pending = createAllowanceFilter(clock, allowances)(context, async () => {
    sentAt.push(clock.now())
    return outcome
  })
  await clock.advance(1_000)
  return { result: await pending, acquired, refunded, sentAt }
}

test('a request costs its tokens, one without tokens the plain ones, and each request one in that unit', async (t) => {
  t.deepEqual((await pass({ demand: DEMAND, tokens: 9_200 })).acquired, [[9_200, 200]])
  t.deepEqual((await pass({ tokens: 300 })).acquired, [[300, 200]])
  t.deepEqual((await pass({})).acquired, [[200, 200]])
  // A model request without the header cost nothing, so no limit applied to it.
  t.deepEqual((await pass({ demand: { ...DEMAND, promptTokens: 0, maximumOutputTokens: 0 } })).acquired, [[200, 200]])
  t.deepEqual((await pass({ allowance: { ...ALLOWANCE, unit: 'requests' }, demand: DEMAND, tokens: 9_200 })).acquired, [[1, 200]])
})

test('a request does not wait for its allowance longer than half of the time left', async (t) => {
  t.deepEqual((await pass({ deadlineAt: 100 })).acquired, [[200, 50]])
})

test('anonymous requests and those that a peer has charged are not charged', async (t) => {
  for (const unaffected of [{ isAnonymous: true }, { isHandedOver: true }]) {
    const { result, acquired } = await pass(unaffected)
    t.deepEqual({ result, acquired }, { result: DELIVERED, acquired: [] })
  }
})

test('a request over the allowance is not sent and gets the time until there is room', async (t) => {
  const { result, sentAt } = await pass({ decision: { kind: 'denied', retryAfterMilliseconds: 250 } })
  t.deepEqual(result, { kind: 'limited', reason: 'allowance-exceeded', retryAfterMilliseconds: 250 })
  t.deepEqual(sentAt, [])
})

test('a request whose allowance is unknown is refused as such, not as over the allowance', async (t) => {
  t.deepEqual((await pass({ decision: { kind: 'unavailable', retryAfterMilliseconds: 500 } })).result, { kind: 'refused', reason: 'allowance-unavailable', retryAfterMilliseconds: 500 })
})

test('a request is not sent before its turn', async (t) => {
  t.deepEqual((await pass({ decision: { kind: 'granted', waitMilliseconds: 120 } })).sentAt, [120])
})

test('the cost is returned only if no target has got the request', async (t) => {
  const sends = [{ target: 't1', result: 'failed' as const, reason: 'reset', at: 3, loadAge: undefined }]
  t.deepEqual((await pass({ outcome: { kind: 'refused', reason: 'no-capacity', retryAfterMilliseconds: 100 } })).refunded, [200])
  t.deepEqual((await pass({ outcome: { kind: 'abandoned', reason: 'client' } })).refunded, [200])
  t.deepEqual((await pass({ outcome: { kind: 'abandoned', reason: 'client' }, sends })).refunded, [])
  t.deepEqual((await pass({ outcome: { kind: 'unknown', status: 502, reason: 'reset' }, sends })).refunded, [])
  t.deepEqual((await pass({})).refunded, [])
})
