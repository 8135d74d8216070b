import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createAdmissionQueues } from './admit.js'
import type { Answer, RequestContext } from './context.js'

const done: Answer = { kind: 'plain', status: 200, headers: {}, body: Buffer.from('{}') }
const refusal = (code: string, outcome: 'not-run' | 'unknown', details?: Readonly<Record<string, unknown>>): Answer =>
  ({ kind: 'problem', error: createError({ code, message: code, step: 'dispatch', status: 503, outcome, details }) })

function setUp () {
  const clock = createManualClock()
  const queues = createAdmissionQueues({ clock, random: () => 0.5, router: { freePlaces: () => 1, targetsToAsk: () => [] }, readNews: async () => {}, adjustMilliseconds: 250 })
  const context = {
    id: 'request-1',
    deadline: 10_000,
    receivedAt: 0,
    logger: createMemoryLogger(clock).logger,
    caller: { name: 'office', priority: 'normal', weight: 1 },
    route: { kind: 'completion', model: 'letter', path: '/v1/completions', stream: false, body: Buffer.from(''), prefix: '' },
    signal: new AbortController().signal
  } as unknown as RequestContext
  const run = async (answers: readonly Answer[]): Promise<{ readonly answer: Answer, readonly sent: number }> => {
    let sent = 0
    const ended = queues.filter(context, async () => answers[sent++] ?? done)
    await clock.advance(5_000)
    queues.stop()
    return { answer: await ended, sent }
  }
  return { run }
}

test('a request that full targets refused is queued again instead of refused with time left', async (t) => {
  const { run } = setUp()
  const { answer, sent } = await run([refusal('target-busy', 'not-run'), refusal('no-target', 'not-run', { candidates: 2, excluded: 1, busy: 1 })])
  t.is(answer, done)
  t.is(sent, 3)
})

test('a request that may have run, or whose targets are leaving or silent, is not sent again by admission', async (t) => {
  for (const first of [refusal('target-busy', 'unknown'), refusal('no-target', 'not-run', { candidates: 2, leaving: 1, 'no-news': 1 }), refusal('target-leaving', 'not-run')]) {
    const { run } = setUp()
    const { answer, sent } = await run([first])
    t.is(answer, first)
    t.is(sent, 1)
  }
})
