// Stand-in of a server of a service: a plain one, or a model server that carries out orders. It behaves as PROTOCOL.md says.
import { createServer } from 'node:http'
import { randomBytes } from 'node:crypto'

export class Server {
  /**
   * answer(request, response, body, id): writes the answer to a request that runs; by default a short body.
   * record(line): writes a line to the record. store: where the server registers itself.
   */
  constructor ({ host, port = 0, service, zone, models, loadMilliseconds = 1_000, slots = 96, answer, record, store }) {
    Object.assign(this, { host, port, service, zone, loadMilliseconds, slots, record, store })
    this.id = `i-${randomBytes(4).toString('hex')}`
    this.born = Date.now()
    this.models = models === undefined ? undefined : new Set(models)
    this.answer = answer ?? ((request, response, body, id) => {
      const text = `answer to ${id}`
      response.writeHead(200, { ...this.headers(id), 'Content-Length': text.length })
      response.end(text)
    })
    this.seq = 0
    this.isBusy = false
    this.state = 'ready'
    this.runs = []
    this.orders = []
  }

  get address () { return `${this.host}:${this.port}` }

  async start () {
    this.server = createServer((request, response) => { this.serve(request, response).catch(() => response.destroy()) })
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(this.port, this.host, () => {
        this.port = this.server.address().port
        resolve()
      })
    })
    this.register()
  }

  async stop () {
    this.server.closeAllConnections()
    await new Promise((resolve) => this.server.close(resolve))
  }

  /** Writes its entry to the store, at its start and whenever the entry changes. */
  register () {
    this.store.writeServer(this.id, this.entry())
    this.registeredAt = Date.now()
  }

  entry () {
    const placement = this.models === undefined ? {} : { stage: 'both', models: this.modelList(), resident: { in_memory: [], on_disk: [] } }
    return { service: this.service, addr: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, cold_ms: 0, seq: this.seq, born: this.born, ...placement }
  }

  modelList () { return [...this.models].map((name) => ({ name, version: 1, adapters: [] })) }

  headers (id) {
    return { 'X-Fuchsiastage-Attempt-Id': id, 'X-Fuchsiastage-Server-Seal': `${this.id}.${this.runs.length}.seal`, 'X-Fuchsiastage-Instance-Id': this.id }
  }

  async serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const expected = request.headers['x-fuchsiastage-expect-instance']
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { 'X-Fuchsiastage-Instance-Id': this.id }).end()
    if (request.url === '/health') return response.writeHead(200, { 'X-Fuchsiastage-Instance-Id': this.id }).end()
    if (this.models !== undefined && request.url === '/fuchsiastage/report') return this.report(response)
    if (this.models !== undefined && request.url === '/fuchsiastage/order') return this.order(response, JSON.parse(body.toString()))
    const id = request.headers['x-fuchsiastage-attempt-id']
    if (id === undefined) return response.writeHead(400, { 'X-Fuchsiastage-Not-Executed': '1' }).end()
    const model = request.headers['x-fuchsiastage-model']
    if (this.models !== undefined && !this.models.has(model)) return response.writeHead(421, { 'X-Fuchsiastage-Instance-Id': this.id }).end()
    this.runs.push(id)
    this.record(`server ${this.id} of ${this.service} runs ${id}`)
    await this.answer(request, response, body, id)
  }

  report (response) {
    const text = JSON.stringify({ stage: 'both', models: this.modelList(), resident: { in_memory: [], on_disk: [] }, pending: [], busy: this.isBusy, seq: this.seq, waiting: 0, running: 0, kv_used: 0, kv_total: 199917, handles: 0, born: this.born })
    response.writeHead(200, { 'Content-Type': 'application/json', 'X-Fuchsiastage-Instance-Id': this.id, 'Content-Length': Buffer.byteLength(text) }).end(text)
  }

  order (response, order) {
    const reply = (status) => {
      this.record(`server ${this.id} gets order ${order.op} ${order.model} from ${order.holder} with generation ${order.fence}: ${status}`)
      response.writeHead(status, { 'Content-Length': 0 }).end()
    }
    this.orders.push({ ...order, at: Date.now() })
    if (order.holder === undefined || order.fence === undefined) return reply(400)
    if (this.isBusy || (order.expect !== undefined && order.expect !== this.seq)) return reply(409)
    if ((order.op === 'load') === this.models.has(order.model)) return reply(200)
    this.seq++
    this.isBusy = true
    setTimeout(() => {
      if (order.op === 'load') this.models.add(order.model)
      else this.models.delete(order.model)
      this.isBusy = false
      this.register()
    }, order.op === 'load' ? this.loadMilliseconds : 50)
    reply(202)
  }
}
