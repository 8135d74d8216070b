import { setMaxListeners } from 'node:events'

export interface LinkedSignal {
  readonly signal: AbortSignal
  /** Removes the listeners from the source signals. */
  readonly release: () => void
}

/**
 * Creates a signal that aborts as soon as one of the given signals aborts. It replaces
 * `AbortSignal.any`, which in Node.js 20 leaks at least 56 bytes per call in each source until the
 * source itself is collected, and so must not be used with signals that live as long as the process.
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
  // Many concurrent operations may listen to one signal, and each removes its listener when it ends, so the listener limit of Node.js is lifted.
  setMaxListeners(0, ...sources)
  for (const source of sources) source.addEventListener('abort', abort)
  if (sources.some(({ aborted }) => aborted)) abort()
  return { signal: controller.signal, release }
}
