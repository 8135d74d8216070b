import { hashToUnitInterval, type Member, type MemberDirectory } from '@fuchsiastage/fleet'

/**
 * Chooses the daemon that alone decides about a key, such as a target: a hash of the key and the names
 * of the serving daemons that are responsive. Daemons that see the same members choose the same one.
 *
 * @example
 * const issuer = chooseResponsible(target, self(), members)
 */
export function chooseResponsible (key: string, self: Member, members: Pick<MemberDirectory, 'others' | 'isAlive'>): Member {
  const candidates = [self, ...members.others().filter(({ name }) => members.isAlive(name))].filter(({ state }) => state === 'serving')
  let chosen = { member: self, position: -Infinity }
  for (const member of candidates) {
    const position = hashToUnitInterval(`${key} ${member.name}`)
    if (position > chosen.position) chosen = { member, position }
  }
  return chosen.member
}
