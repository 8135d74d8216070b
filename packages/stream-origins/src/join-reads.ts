/**
 * Joins the callers that arrive during a read to one read that begins after it: the read in progress may
 * have begun before the change that they need to see.
 *
 * @example
 * const readOrigins = joinReads(async () => await originLog.read())
 */
export function joinReads<Value> (read: () => Promise<Value>): () => Promise<Value> {
  let next: Promise<Value> | undefined
  let last: Promise<unknown> = Promise.resolve()
  return async () => {
    if (next !== undefined) return await next
    const started = last.then(async () => {
      next = undefined
      return await read()
    })
    next = started
    // The callers of a failed read get its error; the read after it begins all the same.
    last = started.catch(() => undefined)
    return await started
  }
}
