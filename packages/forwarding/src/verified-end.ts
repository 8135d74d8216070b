import type { TargetAnswer } from './ports.js'

type ReceivedAnswer = Extract<TargetAnswer, { readonly kind: 'answer' }>

/**
 * Returns a response that ends with its connection, whose body fails if its target does not run any more: the
 * system closes the connections of a process that has crashed in the same way.
 *
 * @example
 * const verified = withVerifiedEnd(answer, async () => await probe(target.entry.address))
 */
export function withVerifiedEnd (answer: ReceivedAnswer, isRunning: () => Promise<boolean>): ReceivedAnswer {
  return { ...answer, body: verifyEnd(answer.body, isRunning) }
}

async function * verifyEnd (body: AsyncIterable<Buffer>, isRunning: () => Promise<boolean>): AsyncIterable<Buffer> {
  yield * body
  if (!await isRunning()) throw Object.assign(new Error('the target does not run any more'), { code: 'target-ended' })
}
