import { isSocketAddress, type Member } from '@fuchsiastage/fleet'

/**
 * Decodes the record by which a daemon registers itself as a member; undefined if it is not valid.
 *
 * @example
 * const member = decodeMember(bytes)
 */
export function decodeMember (bytes: Buffer): Member | undefined {
  try {
    const value = JSON.parse(bytes.toString('utf8')) as Partial<Member>
    const texts = [value.name, value.dataCentre]
    if (texts.some((text) => typeof text !== 'string') || typeof value.startedAt !== 'number') return undefined
    if ([value.frontAddress, value.peerAddress].some((address) => typeof address !== 'string' || !isSocketAddress(address))) return undefined
    return value.state === 'serving' || value.state === 'leaving' ? value as Member : undefined
  } catch {
    return undefined
  }
}

export function encodeMember (member: Member): Buffer {
  return Buffer.from(JSON.stringify(member))
}
