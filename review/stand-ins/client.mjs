// Stand-in of a client: it asks the directory where to connect, keeps the answer for a while, and reuses its channel.
import { Agent } from 'node:http'
import { get, HOST, send, sleep } from './deployment.mjs'

/** Longest time for which a client waits for one directory. */
const DIRECTORY_MILLISECONDS = 1_000
const DIRECTORIES = 3

export class Client {
  /** directories: the daemons that answer, with their zones. holdFactor: 1 or 3, the number of lifetimes for which the client keeps an answer of the directory. */
  constructor ({ directories, zone, holdFactor, record }) {
    Object.assign(this, { directories, zone, holdFactor, record })
    this.addresses = []
    this.keptUntil = 0
    this.failed = new Set()
  }

  /** Asks for the addresses when the last answer is too old; keeps it if there is no new one. */
  async resolve () {
    if (Date.now() < this.keptUntil) return
    // The nearest ones first.
    const distances = new Map(this.directories.map(({ directory, zone }) => [directory, (zone === this.zone ? 0 : 1) + Math.random()]))
    for (const { directory } of [...this.directories].sort((one, other) => distances.get(one.directory) - distances.get(other.directory)).slice(0, DIRECTORIES)) {
      const answer = await get(`http://${directory}/fuchsiastage/resolve?name=${HOST}&region=bc-coast&zone=${this.zone}`, DIRECTORY_MILLISECONDS)
      if (answer.status !== 200) continue
      const { addrs, ttl_s: lifetime } = JSON.parse(answer.text)
      if (!Array.isArray(addrs) || typeof lifetime !== 'number') continue
      this.addresses = addrs
      this.keptUntil = Date.now() + lifetime * 1000 * this.holdFactor
      this.failed.clear()
      if (!addrs.includes(this.address)) this.close()
      return
    }
  }

  close () {
    this.agent?.destroy()
    this.agent = undefined
    this.address = undefined
  }

  /** Sends one client attempt on the open channel, or on a new one to a random address. */
  async send (options) {
    await this.resolve()
    if (this.address === undefined) {
      const usable = this.addresses.filter((address) => !this.failed.has(address))
      const choices = usable.length > 0 ? usable : this.addresses
      if (choices.length === 0) {
        await sleep(100)
        return undefined
      }
      this.address = choices[Math.floor(Math.random() * choices.length)]
      this.agent = new Agent({ keepAlive: true, maxSockets: 1 })
    }
    const { address } = this
    const answer = await send(address, { host: HOST, agent: this.agent, ...options })
    if (answer.end.startsWith('not connected')) this.failed.add(address)
    // The client uses another channel after a failure, and respects `Connection: close`.
    if (answer.end !== 'complete' || answer.headers?.connection === 'close') this.close()
    return { ...answer, address }
  }
}
