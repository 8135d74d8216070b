import type { TargetAnswer } from './ports.js'

/** Lower ones are those of interim responses, which have no body. */
const MINIMUM_FINAL_STATUS = 200
const MAXIMUM_STATUS = 599

/**
 * Returns the answer if its status is that of a final response. The protocol has no others, and a client may take
 * them for anything.
 *
 * @example
 * const checked = withFinalStatus(answer)
 */
export function withFinalStatus (answer: Extract<TargetAnswer, { readonly kind: 'answer' }>): TargetAnswer {
  const { status } = answer
  if (Number.isInteger(status) && status >= MINIMUM_FINAL_STATUS && status <= MAXIMUM_STATUS) return answer
  answer.close()
  return { kind: 'invalid', reason: `answer-with-status-${status}` }
}
