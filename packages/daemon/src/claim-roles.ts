import { claimStream, type ClaimOwner } from '@fuchsiastage/claims'
import { withTimeout, type Clock } from '@fuchsiastage/clock'
import { rendezvousOrder, rendezvousRank } from '@fuchsiastage/leased-stream'
import type { Milliseconds } from '@fuchsiastage/types'

/** Number of daemons that follow a leased stream and may acquire its lease. */
export const WATCHER_COUNT = 3

export interface ClaimRolesOptions {
  readonly clock: Clock
  readonly daemon: string
  readonly partitions: number
  /** Returns the live daemons that may hold roles. The array must be the same one until they change. */
  readonly candidates: () => readonly string[]
  readonly createOwner: (partition: number, rank: () => number | undefined) => ClaimOwner
  readonly intervalMilliseconds: Milliseconds
  /** Time for which this daemon keeps following a partition after it is no longer one of its watchers. */
  readonly retentionMilliseconds: Milliseconds
}

export interface ClaimRoles {
  readonly start: () => void
  readonly stop: () => Promise<void>
  readonly owner: (partition: number) => ClaimOwner | undefined
  /** Daemons that may own a partition; the lease holder comes first if it is known. */
  readonly ownersOf: (partition: number) => readonly string[]
  readonly owners: () => readonly ClaimOwner[]
  readonly resignAll: (signal: AbortSignal) => Promise<void>
}

interface FollowedPartition {
  readonly owner: ClaimOwner
  lastWatchedAt: Milliseconds
}

/**
 * Follows the streams of the claim partitions that this daemon is a watcher of, and updates the set of
 * partitions when the membership changes.
 *
 * @example
 * const roles = createClaimRoles(options)
 * roles.start()
 */
export function createClaimRoles (options: ClaimRolesOptions): ClaimRoles {
  const { clock, daemon, partitions } = options
  const roles = new Map<number, FollowedPartition>()
  let timer = clock.setTimer(0, () => undefined)
  let isStopped = false

  let rankedCandidates: readonly string[] = []
  let ranks: readonly (number | undefined)[] = []

  /** Ranks are computed once per membership change, because hashing all pairs of partition and daemon is expensive. */
  const rankOf = (partition: number): number | undefined => {
    const candidates = options.candidates()
    if (candidates !== rankedCandidates) {
      rankedCandidates = candidates
      ranks = Array.from({ length: partitions }, (_, index) => rendezvousRank(claimStream(index), candidates, daemon, WATCHER_COUNT))
    }
    return ranks[partition]
  }

  const release = async (partition: number, { owner }: FollowedPartition): Promise<void> => {
    roles.delete(partition)
    await withTimeout(clock, options.retentionMilliseconds, [], (signal) => owner.resign(signal))
    await owner.stop()
  }

  const updateRoles = (): void => {
    if (isStopped) return
    const now = clock.now()
    for (let partition = 0; partition < partitions; partition++) {
      const role = roles.get(partition)
      if (rankOf(partition) === undefined) {
        if (role !== undefined && now - role.lastWatchedAt >= options.retentionMilliseconds) void release(partition, role)
      } else if (role === undefined) {
        const owner = options.createOwner(partition, () => rankOf(partition))
        roles.set(partition, { owner, lastWatchedAt: now })
        owner.start()
      } else {
        role.lastWatchedAt = now
      }
    }
    timer = clock.setTimer(options.intervalMilliseconds, updateRoles)
  }

  const owners = (): readonly ClaimOwner[] => [...roles.values()].map(({ owner }) => owner)

  return {
    start: updateRoles,
    stop: async () => {
      isStopped = true
      timer.cancel()
      await Promise.all(owners().map((owner) => owner.stop()))
    },
    owner: (partition) => roles.get(partition)?.owner,
    ownersOf: (partition) => {
      const holder = roles.get(partition)?.owner.holder()
      const watchers = rendezvousOrder(claimStream(partition), options.candidates()).slice(0, WATCHER_COUNT)
      return holder === undefined ? watchers : [holder, ...watchers.filter((name) => name !== holder)]
    },
    owners,
    resignAll: async (signal) => { await Promise.all(owners().map((owner) => owner.resign(signal))) }
  }
}
