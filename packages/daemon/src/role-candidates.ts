import { observersOf, type MembershipController } from '@fuchsiastage/membership'
import type { VmRecord } from '@fuchsiastage/types'

export interface RoleCandidates {
  /** Live daemons of a region that may hold its roles. The same array is returned until the live daemons change. */
  readonly ofRegion: (region: string) => readonly string[]
  /** Live daemons of all regions. */
  readonly all: () => readonly string[]
  /**
   * Creates a function that returns the observers of a target among the current members. It is used for
   * one pass over the targets, because comparing the members again for each target would take time
   * proportional to the number of daemons times the number of targets.
   */
  readonly observerLookup: () => (target: VmRecord) => readonly string[]
}

interface CachedCandidates {
  readonly key: string
  readonly byRegion: ReadonlyMap<string, readonly string[]>
  readonly all: readonly string[]
  readonly observers: Map<string, readonly string[]>
}

/**
 * Caches the role candidates and the observers of targets until the live daemons change, because they
 * are needed for each request and each target.
 *
 * @example
 * const candidates = createRoleCandidates(membership)
 */
export function createRoleCandidates (membership: Pick<MembershipController, 'members' | 'liveDaemons'>): RoleCandidates {
  let cached: CachedCandidates = { key: '', byRegion: new Map(), all: [], observers: new Map() }

  const current = (): CachedCandidates => {
    const live = membership.liveDaemons()
    const key = live.join(' ')
    if (key === cached.key) return cached
    const names = new Set(live)
    const byRegion = new Map<string, string[]>()
    for (const { vm } of membership.members()) {
      if (!names.has(vm.name)) continue
      byRegion.set(vm.region, [...byRegion.get(vm.region) ?? [], vm.name])
    }
    cached = { key, byRegion, all: live, observers: new Map() }
    return cached
  }

  return {
    ofRegion: (region) => current().byRegion.get(region) ?? NO_DAEMONS,
    all: () => current().all,
    observerLookup: () => {
      const { observers } = current()
      const members = membership.members()
      return (target) => {
        const cachedNames = observers.get(target.name)
        if (cachedNames !== undefined) return cachedNames
        const names = observersOf(target, members)
        observers.set(target.name, names)
        return names
      }
    }
  }
}

const NO_DAEMONS: readonly string[] = []
