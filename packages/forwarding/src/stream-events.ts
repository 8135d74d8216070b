/** Splits the bytes of an event stream into complete events. */
export interface EventSplitter {
  /** Appends bytes and returns the events that they complete. */
  readonly push: (bytes: Buffer) => readonly StreamEvent[]
  /** Bytes of the last, incomplete event. */
  readonly remainder: () => Buffer
  /** Whether an event has begun and is not complete. */
  readonly isInsideEvent: () => boolean
}

export interface StreamEvent {
  readonly bytes: Buffer
  readonly id: string | undefined
}

const EMPTY = Buffer.alloc(0)
const EVENT_END = /\r?\n\r?\n/g
const ID_LINE = /^id: ?(.*?)\r?$/m

/**
 * Creates a splitter for `text/event-stream` bytes.
 *
 * @example
 * const splitter = createEventSplitter()
 * for (const { id, bytes } of splitter.push(chunk)) relay(id, bytes)
 */
export function createEventSplitter (): EventSplitter {
  let pending: Buffer = EMPTY

  const push = (bytes: Buffer): readonly StreamEvent[] => {
    pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes])
    // Latin 1 decodes each byte to one character, so positions in the text are positions in the bytes.
    const text = pending.toString('latin1')
    const events: StreamEvent[] = []
    let start = 0
    for (const match of text.matchAll(EVENT_END)) {
      const end = match.index + match[0].length
      events.push({ bytes: pending.subarray(start, end), id: ID_LINE.exec(text.slice(start, end))?.[1] })
      start = end
    }
    pending = pending.subarray(start)
    return events
  }

  return { push, remainder: () => pending, isInsideEvent: () => pending.toString('latin1').trim() !== '' }
}
