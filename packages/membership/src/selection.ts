import { rendezvousOrder } from '@fuchsiastage/leased-stream'
import type { VmRecord } from '@fuchsiastage/types'
import type { MemberStatus } from './member-records.js'

export interface Member {
  readonly vm: VmRecord
  readonly status: MemberStatus
  /** True also while a leaving member is suspect or failed, and when only the VM list shows it as leaving. */
  readonly isLeaving: boolean
  readonly incarnation: number
}

export interface EntryAddress {
  readonly address: string
  readonly dataCentre: string
}

export const MAXIMUM_ENTRIES_PER_CALLER = 4
const OBSERVER_COUNT = 2

function isLive (member: Member): boolean {
  return member.status !== 'failed' && !member.isLeaving
}

/**
 * Chooses the entry daemons to which a caller should connect. Daemons are ranked by a hash of the
 * caller's address, and one daemon of each data centre comes before a second one of any, so that the
 * failure of one data centre does not make all entry daemons of a caller unreachable.
 *
 * @example
 * const entries = chooseEntries(membership.members(), '10.9.0.7', 4)
 */
export function chooseEntries (members: readonly Member[], callerAddress: string, limit: number = MAXIMUM_ENTRIES_PER_CALLER): readonly EntryAddress[] {
  const candidates = new Map(members.filter(({ status, isLeaving }) => status === 'alive' && !isLeaving).map(({ vm }) => [vm.name, vm]))
  const counts = new Map<string, number>()
  const ranked = rendezvousOrder(callerAddress, [...candidates.keys()]).flatMap((name, rank) => {
    const vm = candidates.get(name)
    if (vm === undefined) return []
    const rankInDataCentre = counts.get(vm.dataCentre) ?? 0
    counts.set(vm.dataCentre, rankInDataCentre + 1)
    return [{ vm, rank, rankInDataCentre }]
  })
  return ranked
    .sort((left, right) => left.rankInDataCentre - right.rankInDataCentre || left.rank - right.rank)
    .slice(0, limit)
    .map(({ vm: { address, dataCentre } }) => ({ address, dataCentre }))
}

/**
 * Returns the names of the two daemons that read a target's state: live daemons of its data centre,
 * supplemented by daemons of its region when the data centre has fewer than two.
 *
 * @example
 * if (observersOf(target, membership.members()).includes(self)) observe(target)
 */
export function observersOf (target: Pick<VmRecord, 'name' | 'region' | 'dataCentre'>, members: readonly Member[]): readonly string[] {
  const liveVms = members.filter(isLive).map(({ vm }) => vm)
  const rankNames = (vms: readonly VmRecord[]): readonly string[] => rendezvousOrder(target.name, vms.map(({ name }) => name))
  const inDataCentre = rankNames(liveVms.filter(({ region, dataCentre }) => region === target.region && dataCentre === target.dataCentre))
  if (inDataCentre.length >= OBSERVER_COUNT) return inDataCentre.slice(0, OBSERVER_COUNT)
  const elsewhereInRegion = rankNames(liveVms.filter(({ region, dataCentre }) => region === target.region && dataCentre !== target.dataCentre))
  return [...inDataCentre, ...elsewhereInRegion].slice(0, OBSERVER_COUNT)
}

/** Returns the names of the members that are ranked for roles. Suspect members are included, because most suspicions are refuted. */
export function liveNames (members: readonly Member[]): readonly string[] {
  return members.filter(isLive).map(({ vm }) => vm.name)
}
