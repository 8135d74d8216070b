import { isIPv4 } from 'node:net'

const MAXIMUM_PORT = 65_535

/**
 * Whether a text is an address to connect to, IP:PORT. Host names are none: no process resolves names.
 *
 * @example
 * isSocketAddress('10.128.0.9:8080') // true
 */
export function isSocketAddress (text: string): boolean {
  const [, host = '', port = ''] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? []
  return isIPv4(host) && Number(port) > 0 && Number(port) <= MAXIMUM_PORT
}
