import { setMaxListeners } from 'node:events'

export interface LinkedSignal {
  readonly signal: AbortSignal
  /** Removes the listeners from the source signals. */
  readonly release: () => void
}

/**
 * Creates a signal that aborts together with the first of the given signals. `AbortSignal.any` of
 * Node.js 20 keeps an entry in each source for as long as the source lives (56 bytes or more for
 * each call), so it must not be used with signals that live as long as the process.
 *
 * @example
 * const linked = linkSignals([signal, stopping.signal])
 * await work(linked.signal).finally(linked.release)
 */
export function linkSignals (sources: readonly AbortSignal[]): LinkedSignal {
  const controller = new AbortController()
  const abort = (): void => {
    release()
    controller.abort()
  }
  const release = (): void => {
    for (const source of sources) source.removeEventListener('abort', abort)
  }
  // Many operations may run under one signal; each removes its listener when it ends.
  setMaxListeners(0, ...sources)
  for (const source of sources) source.addEventListener('abort', abort)
  if (sources.some(({ aborted }) => aborted)) abort()
  return { signal: controller.signal, release }
}
