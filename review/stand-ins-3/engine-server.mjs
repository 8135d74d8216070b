import { createServer } from 'node:http'
import { sleep } from './record.mjs'

const REPORT_LAG_MILLISECONDS = 200
const EVENTS = 10
const EVENT_MILLISECONDS = 50

/**
 * A model server. It executes one order for a model at a time, counts the orders that it accepts, and crashes when it is
 * ordered to load more than it holds. It starts again empty, with its copies on disk, under the identifier that it had.
 */
export function createEngineServer ({ id, host, port, store, service, record, megabytes, adapterSlots, models: definitions, heartbeatMilliseconds, onOverload }) {
  let server
  let born
  let timer
  let isUp = false
  let models = new Map()
  let memory = new Set()
  const disk = new Set()
  let seq = 0
  let isBusy = false
  let history = []
  /** Decides what happens to an order before it is executed; returns true if it was kept back. */
  let keepBack = () => false

  const used = () => [...models].reduce((sum, [name, adapters]) => sum + definitions.get(name).mb + adapters.size * definitions.get(name).adapter_mb, 0)
  const stateNow = () => ({ stage: 'both', born, models: [...models].filter(([, loaded]) => !loaded.isLoading).map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] })), busy: isBusy, seq, waiting: 0, running: 0, kv_used: 0, kv_total: 199917, handles: 0, pending: [], resident: { in_memory: [...memory], on_disk: [...disk] } })
  const remember = () => { history = [...history.filter(({ at }) => performance.now() - at < 5_000), { at: performance.now(), state: stateNow() }] }
  const reported = () => ([...history].reverse().find(({ at }) => performance.now() - at >= REPORT_LAG_MILLISECONDS) ?? history[0]).state

  const checkIn = () => {
    const { models: listed, seq: counted, resident } = stateNow()
    store.put('keyed.servers', id, { born, service, addr: `${host}:${port}`, zone: 'van-a', version: 's1', slots: 96, state: 'ready', cold_ms: 0, seq: counted, models: listed, resident })
  }

  const finishLoad = (name, bornThen) => {
    if (born !== bornThen || !isUp) return
    const loaded = models.get(name)
    if (loaded !== undefined) loaded.isLoading = false
    memory.add(name)
    disk.add(name)
    isBusy = false
    remember()
    checkIn()
  }

  /** Executes an order as the pages say, at the time at which it is carried out. */
  const execute = ({ op, model, adapter, expect }) => {
    if (expect !== undefined && expect !== seq) return 409
    const definition = definitions.get(model)
    if (definition === undefined) return 400
    const loaded = models.get(model)
    if (adapter !== undefined) {
      if (loaded === undefined || loaded.isLoading) return 400
      if (op === 'load') {
        if (loaded.has(adapter)) return 200
        const adapters = [...models.values()].reduce((sum, each) => sum + each.size, 0)
        if (adapters + 1 > adapterSlots || used() + definition.adapter_mb > megabytes) return 'overload'
        loaded.add(adapter)
      } else {
        if (!loaded.has(adapter)) return 200
        loaded.delete(adapter)
      }
      seq++
      remember()
      return op === 'load' ? 202 : 200
    }
    if (isBusy) return 409
    if (op === 'load') {
      if (loaded !== undefined) return 200
      if (used() + definition.mb > megabytes) return 'overload'
      seq++
      isBusy = true
      const adapters = new Set()
      adapters.isLoading = true
      models.set(model, adapters)
      const seconds = memory.has(model) ? definition.warm_s : disk.has(model) ? definition.disk_s : definition.load_s
      const bornThen = born
      setTimeout(() => finishLoad(model, bornThen), seconds * 1_000)
    } else {
      if (loaded === undefined) return 200
      seq++
      models.delete(model)
    }
    remember()
    return 202
  }

  const carryOut = (order, how) => {
    const before = { seq, models: [...models.keys()], used: used() }
    const status = execute(order)
    record.add('order', { server: id, born, how, op: order.op, model: order.model, adapter: order.adapter ?? null, expect: order.expect ?? null, holder: order.holder, fence: order.fence, before, status })
    if (status === 'overload') {
      record.add('overload', { server: id, model: order.model, adapter: order.adapter ?? null, holds: before.models, used: before.used, megabytes })
      crash()
      onOverload?.({ id, how })
    }
    return status
  }

  const answer = async (request, response) => {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const header = (name) => request.headers[`x-fuchsiastage-${name}`]
    const json = (status, value = {}) => response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(value))
    if (request.url === '/health') return response.writeHead(200, { 'X-Fuchsiastage-Instance-Id': id }).end()
    if (header('expect-instance') !== undefined && header('expect-instance') !== id) return response.writeHead(421, { 'X-Fuchsiastage-Instance-Id': id }).end()
    if (request.url === '/fuchsiastage/report') return json(200, reported())
    if (request.url === '/fuchsiastage/order') {
      const order = JSON.parse(Buffer.concat(chunks).toString())
      if (order.holder === undefined || order.fence === undefined) return json(400)
      if (keepBack(order)) return
      const status = carryOut(order, 'at once')
      if (status === 'overload') return response.destroy()
      return json(status)
    }
    const attempt = header('attempt-id')
    const [model, adapter] = String(header('model')).split('/')
    const loaded = models.get(model)
    if (loaded === undefined || loaded.isLoading || (adapter !== undefined && !loaded.has(adapter))) {
      record.add('turned-away', { server: id, attempt, model: header('model') })
      return response.writeHead(421, { 'X-Fuchsiastage-Attempt-Id': attempt, 'X-Fuchsiastage-Instance-Id': id, 'X-Fuchsiastage-Not-Executed': '1' }).end()
    }
    record.add('run', { server: id, attempt, model: header('model') })
    response.writeHead(200, { 'X-Fuchsiastage-Attempt-Id': attempt, 'X-Fuchsiastage-Server-Seal': `seal-${id}-${attempt}`, 'X-Fuchsiastage-Weight-Versions': '1', 'Content-Type': 'text/event-stream' })
    for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= EVENTS && !response.destroyed; event++) {
      await sleep(EVENT_MILLISECONDS)
      response.write(`id: ${event}\ndata: {"word":${event},"server":"${id}"}\n\n`)
    }
    response.end()
  }

  const start = async (firstCheckInMilliseconds) => {
    born = Date.now()
    isUp = true
    history = []
    remember()
    server = createServer((request, response) => { answer(request, response).catch(() => response.destroy()) })
    await new Promise((resolve, reject) => server.once('error', reject).listen(port, host, resolve))
    record.add('server-started', { id, born, models: [...models.keys()], disk: [...disk], seq })
    timer = setTimeout(() => {
      checkIn()
      timer = setInterval(checkIn, heartbeatMilliseconds)
    }, firstCheckInMilliseconds)
  }

  const crash = () => {
    if (!isUp) return
    record.add('server-crashed', { id, models: [...models.keys()], seq })
    isUp = false
    models = new Map()
    memory = new Set()
    seq = 0
    isBusy = false
    clearTimeout(timer)
    clearInterval(timer)
    server.close()
    server.closeAllConnections()
  }

  return {
    id,
    isUp: () => isUp,
    seq: () => seq,
    carryOut,
    setKeepBack: (decide) => { keepBack = decide },
    /** Starts for the first time, with these models loaded. */
    startWith: async (names) => {
      for (const name of names) {
        const adapters = new Set()
        adapters.isLoading = false
        models.set(name, adapters)
        memory.add(name)
        disk.add(name)
      }
      await start(0)
    },
    /** Starts again, empty. */
    restart: async () => await start(heartbeatMilliseconds / 2),
    crash,
    end: () => {
      isUp = false
      clearTimeout(timer)
      clearInterval(timer)
      server?.close()
      server?.closeAllConnections()
    }
  }
}
