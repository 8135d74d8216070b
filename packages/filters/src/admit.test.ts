import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createAdmissionQueues } from './admit.js'
import type { Answer, RequestContext } from './context.js'

const successAnswer: Answer = { kind: 'plain', status: 200, headers: {}, body: Buffer.from('{}') }
const problemAnswer = (code: string, outcome: 'not-run' | 'unknown', details?: Readonly<Record<string, unknown>>): Answer =>
  ({ kind: 'problem', error: createError({ code, message: code, step: 'dispatch', status: 503, outcome, details }) })

function createFixture () {
  const clock = createManualClock()
  const queues = createAdmissionQueues({ clock, random: () => 0.5, router: { freeSlots: () => 1, targetsToPoll: () => [] }, readTargetStates: async () => {}, capacityUpdateMilliseconds: 250 })
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
    const ended = queues.filter(context, async () => answers[sent++] ?? successAnswer)
    await clock.advance(5_000)
    queues.stop()
    return { answer: await ended, sent }
  }
  return { run }
}

test('a request that was refused only because its targets were full is queued again while its deadline allows it', async (t) => {
  const { run } = createFixture()
  const { answer, sent } = await run([problemAnswer('target-busy', 'not-run'), problemAnswer('no-target', 'not-run', { candidates: 2, excluded: 1, busy: 1 })])
  t.is(answer, successAnswer)
  t.is(sent, 3)
})

test('admission does not queue a request again that may have run, or whose targets are draining or unresponsive', async (t) => {
  for (const first of [problemAnswer('target-busy', 'unknown'), problemAnswer('no-target', 'not-run', { candidates: 2, leaving: 1, 'no-news': 1 }), problemAnswer('target-leaving', 'not-run')]) {
    const { run } = createFixture()
    const { answer, sent } = await run([first])
    t.is(answer, first)
    t.is(sent, 1)
  }
})
