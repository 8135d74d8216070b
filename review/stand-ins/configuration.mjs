// Configuration of a small deployment, after the first site of the pages.
import { HOST } from './deployment.mjs'

export const MODELS = ['m0', 'm1', 'm2', 'm3', 'm4', 'm5', 'm6', 'm7']

export function configuration (version, { routes = {}, megabytes = 83_000, models = MODELS } = {}) {
  const base = [
    { name: 'letter-draft', prefix: '/draft/', kind: 'stream', timeout_ms: 5_000, slo_ms: 1_000, priority: 1, attempts: 1, service: 'drafter', resumable: false, gap_aim_ms: 500, affinity: true },
    { name: 'letter-audit', prefix: '/audit/', kind: 'stream', timeout_ms: 13_000, slo_ms: 2_000, priority: 1, attempts: 2, service: 'drafter', resumable: true, gap_aim_ms: 500, affinity: true },
    { name: 'clause-check', prefix: '/clause/', kind: 'stream', timeout_ms: 15_000, slo_ms: 800, priority: 0, attempts: 1, service: 'drafter', resumable: false, gap_aim_ms: 500, affinity: true },
    { name: 'payout-post', prefix: '/payout/', kind: 'unsafe', timeout_ms: 800, slo_ms: 100, priority: 2, attempts: 1, service: 'ledger' },
    { name: 'rollover-post', prefix: '/rollover/', kind: 'safe', timeout_ms: 800, slo_ms: 100, priority: 2, attempts: 2, service: 'ledger' }
  ]
  return {
    version,
    routes: base.map((route) => ({ host: HOST, ...route, ...routes[route.name] })),
    services: [
      { name: 'drafter', health: '/health', max_conns: 490, engine: { slots: 96, kv_tokens: 199_917, mb: megabytes, adapter_slots: 8, loads_per_s: 2.1, models: models.map((name) => ({ name, mb: 34_300, load_s: 1, warm_s: 0.39, disk_s: 0.52, adapters: 0, adapter_mb: 40 })) } },
      { name: 'ledger', health: '/health', max_conns: 100 }
    ],
    limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000 }
  }
}

/** Headers of a request for a model. */
export function modelHeaders (model, tag = 'a') {
  return { 'X-Fuchsiastage-Model': model, 'X-Fuchsiastage-Token-Usage': '1460,80', 'X-Fuchsiastage-Prompt-Prefix': `5c1e07a2:800,91bd3f06:410,${tag}:250` }
}

/** Answer of a model server: a series of events. */
export function streamAnswer (server, { events = 10, gapMilliseconds = 30 } = {}) {
  return async (request, response, body, id) => {
    response.writeHead(200, { ...server().headers(id), 'Content-Type': 'text/event-stream' })
    const first = Number(request.headers['last-event-id'] ?? 0) + 1
    for (let event = first; event <= events && !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: word ${event}\n\n`)
      await new Promise((resolve) => setTimeout(resolve, gapMilliseconds))
    }
    if (!response.destroyed) response.end()
  }
}
