// Stand-in of the platform's metadata store, in the form `log`: raw topics with one partition, keyed topics
// with the newest record of each key, conditional appends and long polls.
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

const LENGTH_BYTES = 4
const HEADER_BYTES = 16
/** Duration of a call. */
const CALL_MILLISECONDS = 4

function splitRecords (body) {
  const records = []
  for (let position = 0; position + LENGTH_BYTES <= body.length;) {
    const end = position + LENGTH_BYTES + body.readUInt32BE(position)
    records.push(body.subarray(position + LENGTH_BYTES, end))
    position = end
  }
  return records
}

function joinRecords (records) {
  return Buffer.concat(records.flatMap((record) => {
    const length = Buffer.alloc(LENGTH_BYTES)
    length.writeUInt32BE(record.length)
    return [length, record]
  }))
}

/** Creates the store. Each daemon gets an address of its own with `serve`, so that its calls can be told apart. */
export function createStore () {
  const topics = new Map()
  const waiters = new Set()
  const servers = []

  const topicOf = (name) => {
    if (!topics.has(name)) topics.set(name, { records: [], newest: new Map() })
    return topics.get(name)
  }

  const add = (name, record) => {
    const topic = topicOf(name)
    const offset = topic.records.push(record) - 1
    if (name.startsWith('keyed.')) {
      const keyEnd = 1 + record[0]
      const key = record.toString('utf8', 1, keyEnd)
      if (record.length === keyEnd) topic.newest.delete(key)
      else topic.newest.set(key, { value: record.subarray(keyEnd), offset })
    }
    for (const wake of [...waiters]) wake()
    return offset
  }

  /** Writes the newest value of a key, as the operator and the servers do; undefined removes the key. */
  const put = (name, key, value) => {
    const keyBytes = Buffer.from(key)
    add(name, Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))]))
  }

  const json = (response, status, value) => {
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(value))
  }

  const answer = async (request, response) => {
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const name = searchParams.get('topic') ?? ''
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    await sleep(CALL_MILLISECONDS)
    if (pathname === '/fuchsiastage/log-append') {
      if (name === 'keyed.op' || name === 'keyed.servers') return json(response, 403, {})
      const end = topics.get(name)?.records.length ?? 0
      const expected = searchParams.get('store_revision')
      if (expected !== null && Number(expected) !== end) return json(response, 412, { end })
      for (const record of splitRecords(Buffer.concat(chunks))) add(name, Buffer.from(record))
      return json(response, 200, { offset: end, end: topicOf(name).records.length })
    }
    if (pathname === '/fuchsiastage/log-newest') {
      const topic = topics.get(name)
      if (topic === undefined) return json(response, 404, {})
      const items = [...topic.newest].map(([key, { value, offset }]) => ({ key, value: value.toString('base64'), offset }))
      return json(response, 200, { items, more: false, end: topic.records.length })
    }
    if (pathname === '/fuchsiastage/log-read') {
      const from = Number(searchParams.get('from'))
      const until = Date.now() + Number(searchParams.get('wait_ms') ?? 0)
      while ((topics.get(name)?.records.length ?? 0) <= from && Date.now() < until && !response.destroyed) {
        await new Promise((resolve) => {
          const wake = () => {
            clearTimeout(timer)
            waiters.delete(wake)
            resolve()
          }
          const timer = setTimeout(wake, until - Date.now())
          waiters.add(wake)
        })
      }
      const topic = topics.get(name)
      if (topic === undefined) return json(response, 404, {})
      if (from > topic.records.length) return json(response, 410, { first: 0 })
      const header = Buffer.alloc(HEADER_BYTES)
      header.writeBigUInt64BE(BigInt(topic.records.length))
      response.writeHead(200).end(Buffer.concat([header, joinRecords(topic.records.slice(from))]))
      return
    }
    json(response, 404, {})
  }

  return {
    put,
    newest: (name, key) => topics.get(name)?.newest.get(key)?.value,
    recordsOf: (name) => topics.get(name)?.records ?? [],
    serve: async (host, port, intercept) => {
      const server = createServer((request, response) => {
        const run = () => answer(request, response).catch(() => response.destroy())
        if (intercept === undefined) run()
        else intercept(request, response, run)
      })
      servers.push(server)
      await new Promise((resolve, reject) => {
        server.once('error', reject)
        server.listen(port, host, resolve)
      })
    },
    close: () => {
      for (const server of servers) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}
