import { createServer } from 'node:http'
import { sleep } from './record.mjs'

const APPEND_MILLISECONDS = 4
const PAGE = 500

function splitRecords (body) {
  const records = []
  for (let position = 0; position + 4 <= body.length;) {
    const end = position + 4 + body.readUInt32BE(position)
    records.push(body.subarray(position + 4, end))
    position = end
  }
  return records
}

function joinRecords (records) {
  return Buffer.concat(records.flatMap((bytes) => {
    const length = Buffer.alloc(4)
    length.writeUInt32BE(bytes.length)
    return [length, bytes]
  }))
}

/**
 * The platform's store: a log with topics of one partition. `addressFor` may give each daemon other addresses of
 * servers, so that the links of one daemon can be cut alone.
 */
export function createStore ({ addressFor = (_host, address) => address, record } = {}) {
  const topics = new Map()
  const faults = new Map()
  const servers = []
  const waiters = new Set()
  const era = 1

  const topicOf = (name) => {
    if (!topics.has(name)) topics.set(name, { first: 0, records: [], newest: new Map() })
    return topics.get(name)
  }
  const endOf = (topic) => topic.first + topic.records.length
  const add = (name, bytes) => {
    const topic = topicOf(name)
    const offset = endOf(topic)
    topic.records.push(bytes)
    if (name.startsWith('keyed.')) {
      const keyEnd = 1 + bytes[0]
      const key = bytes.toString('utf8', 1, keyEnd)
      const value = bytes.subarray(keyEnd)
      if (value.length === 0) topic.newest.delete(key)
      else topic.newest.set(key, { value, offset })
    }
    for (const wake of [...waiters]) wake()
    return offset
  }
  const encodeKeyed = (key, value) => Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value])
  const translated = (host, name, value) => {
    if (name !== 'keyed.servers' || value.length === 0) return value
    const entry = JSON.parse(value.toString())
    return Buffer.from(JSON.stringify({ ...entry, addr: addressFor(host, entry.addr) }))
  }
  const translatedRecord = (host, name, bytes) => {
    if (name !== 'keyed.servers') return bytes
    const keyEnd = 1 + bytes[0]
    return Buffer.concat([bytes.subarray(0, keyEnd), translated(host, name, bytes.subarray(keyEnd))])
  }

  const answer = async (host, request, response) => {
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const name = searchParams.get('topic') ?? ''
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const json = (status, value) => response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(era) }).end(JSON.stringify(value))
    switch (pathname) {
      case '/fuchsiastage/log-append': {
        await sleep(APPEND_MILLISECONDS)
        const topic = topicOf(name)
        const expected = searchParams.get('store_revision')
        if (expected !== null && Number(expected) !== endOf(topic)) return json(412, { end: endOf(topic) })
        if (name === 'keyed.op' || name === 'keyed.servers') return json(403, {})
        const offset = endOf(topic)
        for (const bytes of splitRecords(body)) add(name, bytes)
        if (name === 'fuchsiastage-orders') for (const bytes of splitRecords(body)) record?.add('lease', bytes.toString())
        return json(200, { offset, end: endOf(topic) })
      }
      case '/fuchsiastage/log-read': {
        const from = Number(searchParams.get('from'))
        const until = performance.now() + Number(searchParams.get('wait_ms') ?? 0)
        while (endOf(topicOf(name)) <= from && performance.now() < until && !response.destroyed) {
          await new Promise((resolve) => {
            const wake = () => { waiters.delete(wake); clearTimeout(timer); resolve() }
            const timer = setTimeout(wake, until - performance.now())
            waiters.add(wake)
          })
        }
        const topic = topicOf(name)
        if (from < topic.first || from > endOf(topic)) return json(410, { first: topic.first })
        const head = Buffer.alloc(16)
        head.writeBigUInt64BE(BigInt(endOf(topic)))
        head.writeBigUInt64BE(BigInt(topic.first), 8)
        const records = []
        let bytes = 0
        for (const entry of topic.records.slice(from - topic.first)) {
          bytes += entry.length
          if (bytes > 1_048_576 && records.length > 0) break
          records.push(translatedRecord(host, name, entry))
        }
        response.writeHead(200, { 'Content-Type': 'application/octet-stream', 'Store-Era': String(era) }).end(Buffer.concat([head, joinRecords(records)]))
        return
      }
      case '/fuchsiastage/log-newest': {
        const topic = topicOf(name)
        const after = searchParams.get('after')
        const all = [...topic.newest].sort(([one], [other]) => one < other ? -1 : 1).filter(([key]) => after === null || key > after)
        const items = all.slice(0, PAGE).map(([key, { value, offset }]) => ({ key, value: translated(host, name, value).toString('base64'), offset }))
        return json(200, { items, more: all.length > PAGE, end: endOf(topic) })
      }
      default:
        return json(404, {})
    }
  }

  return {
    /** Serves the store to one daemon at an address of its own. */
    serve: async (host, port) => {
      const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
        switch (faults.get(host) ?? faults.get('*')) {
          case 'silent':
            return
          case 'busy':
            request.resume()
            response.writeHead(503, { 'Store-Era': String(era) }).end()
            return
          case 'reset':
            request.socket.resetAndDestroy()
            return
          default:
            answer(host, request, response).catch(() => response.destroy())
        }
      })
      servers.push(server)
      await new Promise((resolve, reject) => server.once('error', reject).listen(port, host, resolve))
    },
    /** Writes the newest value of a key; undefined removes it. */
    put: (name, key, value) => { add(name, encodeKeyed(key, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)))) },
    /** `*` stands for all daemons. */
    setFault: (host, fault) => { if (fault === undefined) faults.delete(host); else faults.set(host, fault) },
    close: () => { for (const server of servers) { server.close(); server.closeAllConnections() } }
  }
}
