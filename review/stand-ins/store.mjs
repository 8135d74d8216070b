// Stand-in of the platform's metadata store: the part of the log interface of PROTOCOL.md that the daemons use.
// It can also be restored from an older copy, as in a drill.
import { createServer } from 'node:http'

const OP_TOPIC = 'keyed.op'
const SERVERS_TOPIC = 'keyed.servers'

export class Store {
  constructor (host, port) {
    this.host = host
    this.port = port
    this.era = 1
    this.topics = new Map()
    this.waiting = new Set()
    this.sockets = new Set()
    this.calls = []
    this.onCall = undefined
  }

  get address () { return `${this.host}:${this.port}` }

  topic (name) {
    if (!this.topics.has(name)) this.topics.set(name, { first: 0, records: [] })
    return this.topics.get(name)
  }

  end (name) {
    const topic = this.topics.get(name)
    return topic === undefined ? 0 : topic.first + topic.records.length
  }

  /** Appends a record directly, for the operator and the servers. Returns its offset. */
  append (name, bytes) {
    const topic = this.topic(name)
    topic.records.push({ bytes, at: Date.now() })
    const offset = this.end(name) - 1
    for (const wake of [...this.waiting]) wake()
    return offset
  }

  appendKeyed (name, key, value) {
    const keyBytes = Buffer.from(key)
    return this.append(name, Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value === undefined ? Buffer.alloc(0) : Buffer.from(value)]))
  }

  writeConfiguration (configuration) { return this.appendKeyed(OP_TOPIC, 'config', JSON.stringify(configuration)) }
  writeServer (id, entry) { return this.appendKeyed(SERVERS_TOPIC, id, entry === undefined ? undefined : JSON.stringify(entry)) }

  async start () {
    this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.serve(request, response).catch(() => response.destroy())
    })
    this.server.on('connection', (socket) => {
      this.sockets.add(socket)
      socket.on('error', () => undefined)
      socket.once('close', () => this.sockets.delete(socket))
    })
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(this.port, this.host, () => {
        this.port = this.server.address().port
        resolve()
      })
    })
  }

  async stop () {
    for (const socket of this.sockets) socket.destroy()
    await new Promise((resolve) => this.server.close(resolve))
  }

  /**
   * Goes away for a moment and comes back with what it held at the given time. What the operator and the
   * servers wrote since is written again at once: the newest record of each key, in the order of the records.
   */
  async restore (copiedAt, awayMilliseconds) {
    await this.stop()
    const lost = new Map()
    for (const [name, topic] of this.topics) {
      for (const { bytes, at } of topic.records) if (at > copiedAt && (name === OP_TOPIC || name === SERVERS_TOPIC)) lost.set(`${name} ${bytes.toString('latin1', 1, 1 + bytes[0])}`, { name, bytes, at })
      topic.records = topic.records.filter(({ at }) => at <= copiedAt)
    }
    await new Promise((resolve) => setTimeout(resolve, awayMilliseconds))
    this.era++
    await this.start()
    for (const { name, bytes } of [...lost.values()].sort((one, other) => one.at - other.at)) this.append(name, bytes)
  }

  async serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const url = new URL(request.url, 'http://store')
    const call = url.pathname.replace('/fuchsiastage/', '')
    const query = (name) => url.searchParams.get(name) ?? undefined
    const name = query('topic')
    const json = (status, value) => this.reply(response, status, 'application/json', Buffer.from(JSON.stringify(value)))
    switch (`${request.method} ${call}`) {
      case 'POST log-append': {
        if (name === OP_TOPIC || name === SERVERS_TOPIC) return json(403, {})
        const expected = query('store_revision')
        if (expected !== undefined && Number(expected) !== this.end(name)) return json(412, { end: this.end(name) })
        const first = this.end(name)
        for (let position = 0; position < body.length;) {
          const length = body.readUInt32BE(position)
          this.append(name, body.subarray(position + 4, position + 4 + length))
          position += 4 + length
        }
        this.onCall?.({ call, topic: name, offset: first })
        return json(200, { offset: first, end: this.end(name) })
      }
      case 'GET log-read': {
        const from = Number(query('from') ?? 0)
        const until = Date.now() + Number(query('wait_ms') ?? 0)
        for (;;) {
          if (!this.topics.has(name) && from === 0) return json(404, {})
          const topic = this.topic(name)
          const end = this.end(name)
          if (from > end || from < topic.first) return json(410, { first: topic.first })
          if (from < end || Date.now() >= until || response.destroyed) {
            const head = Buffer.alloc(16)
            head.writeBigUInt64BE(BigInt(end), 0)
            head.writeBigUInt64BE(BigInt(topic.first), 8)
            const parts = [head]
            for (const { bytes } of topic.records.slice(from - topic.first)) {
              const length = Buffer.alloc(4)
              length.writeUInt32BE(bytes.length)
              parts.push(length, bytes)
            }
            return this.reply(response, 200, 'application/octet-stream', Buffer.concat(parts))
          }
          await this.change(until - Date.now())
        }
      }
      case 'GET log-newest': {
        if (!this.topics.has(name)) return json(404, {})
        const newest = new Map()
        const topic = this.topic(name)
        topic.records.forEach(({ bytes }, index) => {
          const keyEnd = 1 + bytes[0]
          const key = bytes.toString('utf8', 1, keyEnd)
          if (bytes.length === keyEnd) newest.delete(key)
          else newest.set(key, { key, value: bytes.subarray(keyEnd).toString('base64'), offset: topic.first + index })
        })
        return json(200, { items: [...newest.values()], more: false, end: this.end(name) })
      }
      default:
        return json(404, {})
    }
  }

  /** Resolves at the next append, at the latest after the given time. */
  async change (milliseconds) {
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        this.waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, milliseconds)
      this.waiting.add(wake)
    })
  }

  reply (response, status, type, bytes) {
    response.writeHead(status, { 'Content-Type': type, 'Content-Length': bytes.length, 'Store-Era': String(this.era) })
    response.end(bytes)
  }
}
