/** Connectivity between pairs of processes in the simulated network. */
export interface Links {
  readonly cut: (left: string, right: string) => void
  readonly heal: (left: string, right: string) => void
  readonly healAll: () => void
  readonly isCut: (left: string, right: string) => boolean
  /** Calls the listener once when the pair is cut, and returns a function that unsubscribes it. Connections that are open at a cut stay stalled, also after the pair is healed. */
  readonly onCut: (left: string, right: string, listener: () => void) => () => void
}

function pairOf (left: string, right: string): string {
  return left < right ? `${left} ${right}` : `${right} ${left}`
}

/**
 * Creates a network in which every pair is connected.
 *
 * @example
 * const links = createLinks()
 * links.cut('entry-1', 'log')
 */
export function createLinks (): Links {
  const cuts = new Set<string>()
  const listeners = new Map<string, Set<() => void>>()
  return {
    cut: (left, right) => {
      const pair = pairOf(left, right)
      cuts.add(pair)
      const notified = [...listeners.get(pair) ?? []]
      listeners.delete(pair)
      for (const listener of notified) listener()
    },
    heal: (left, right) => { cuts.delete(pairOf(left, right)) },
    healAll: () => cuts.clear(),
    isCut: (left, right) => left !== right && cuts.has(pairOf(left, right)),
    onCut: (left, right, listener) => {
      const pair = pairOf(left, right)
      const group = listeners.get(pair) ?? new Set()
      listeners.set(pair, group.add(listener))
      return () => { group.delete(listener) }
    }
  }
}
