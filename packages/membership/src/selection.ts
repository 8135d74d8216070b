import { rendezvousOrder } from '@fuchsiastage/leased-stream'
import type { VmRecord } from '@fuchsiastage/types'
import type { MemberStatus } from './member-records.js'

export interface Member {
  readonly vm: VmRecord
  readonly status: MemberStatus
  /** Also set while a leaving member is suspect or failed, and when only the VM list says so. */
  readonly isLeaving: boolean
  readonly incarnation: number
}

export interface Entry {
  readonly address: string
  readonly dataCentre: string
}

export const ENTRY_LIMIT = 4
const OBSERVER_COUNT = 2

function isLive (member: Member): boolean {
  return member.status !== 'failed' && !member.isLeaving
}

/**
 * Chooses the daemons that a caller should connect to: in the order of a hash of its address, one of
 * each data centre before a second of any, so that no data centre takes all of a caller's entries with it.
 *
 * @example
 * const entries = chooseEntries(membership.members(), '10.9.0.7', 4)
 */
export function chooseEntries (members: readonly Member[], callerAddress: string, limit: number = ENTRY_LIMIT): readonly Entry[] {
  const candidates = new Map(members.filter(({ status, isLeaving }) => status === 'alive' && !isLeaving).map(({ vm }) => [vm.name, vm]))
  const counts = new Map<string, number>()
  const ranked = rendezvousOrder(callerAddress, [...candidates.keys()]).flatMap((name, order) => {
    const vm = candidates.get(name)
    if (vm === undefined) return []
    const round = counts.get(vm.dataCentre) ?? 0
    counts.set(vm.dataCentre, round + 1)
    return [{ vm, order, round }]
  })
  return ranked
    .sort((left, right) => left.round - right.round || left.order - right.order)
    .slice(0, limit)
    .map(({ vm: { address, dataCentre } }) => ({ address, dataCentre }))
}

/**
 * Names the two daemons that read a target's state: live daemons of its data centre, and of its
 * region when the data centre has fewer than two.
 *
 * @example
 * if (observersOf(target, membership.members()).includes(self)) observe(target)
 */
export function observersOf (target: Pick<VmRecord, 'name' | 'region' | 'dataCentre'>, members: readonly Member[]): readonly string[] {
  const live = members.filter(isLive).map(({ vm }) => vm)
  const order = (vms: readonly VmRecord[]): readonly string[] => rendezvousOrder(target.name, vms.map(({ name }) => name))
  const near = order(live.filter(({ region, dataCentre }) => region === target.region && dataCentre === target.dataCentre))
  if (near.length >= OBSERVER_COUNT) return near.slice(0, OBSERVER_COUNT)
  const far = order(live.filter(({ region, dataCentre }) => region === target.region && dataCentre !== target.dataCentre))
  return [...near, ...far].slice(0, OBSERVER_COUNT)
}

/** Names of the members that take part in the ranking of roles; a suspect one still does, because most suspicions are refuted. */
export function liveNames (members: readonly Member[]): readonly string[] {
  return members.filter(isLive).map(({ vm }) => vm.name)
}
