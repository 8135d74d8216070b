import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import restana from 'restana'
import { z } from 'zod'
import { createReply, type Reply } from './reply.js'

/** Faults that every stand-in offers; a kind adds its own fields. */
export const commonControl = z.strictObject({
  /** Answers every request with 503. */
  down: z.boolean(),
  /** Accepts connections but processes nothing until it is set to false. */
  frozen: z.boolean(),
  /** Delay before a request is processed; its effect takes place after the delay. */
  slowMilliseconds: z.number().nonnegative(),
  /** Client addresses or values of the header `X-Client-Name` that are answered with 503. */
  refuseClients: z.array(z.string()),
  /** Closes all open connections once. */
  cutConnections: z.literal(true),
  /** Open connections never carry another byte; new connections work. */
  silenceConnections: z.literal(true)
}).partial()

export type CommonControl = z.infer<typeof commonControl>

/** Where a stand-in listens; port 0 takes a free port. */
export interface ListenOptions {
  readonly host: string
  readonly port: number
}

export const LOOPBACK: ListenOptions = { host: '127.0.0.1', port: 0 }

/** A running stand-in. */
export interface StandIn<Control, Counts> {
  /** IP address and port, as `127.0.0.1:7000`. */
  readonly address: string
  readonly close: () => Promise<void>
  readonly counts: () => Counts
  /** Sets faults; throws a `ZodError` when the change is not valid. */
  readonly control: (change: Control) => void
}

/** One request in the hands of a route. */
export interface Call {
  readonly method: string
  readonly path: string
  readonly params: Readonly<Record<string, string>>
  readonly query: Readonly<Record<string, string | undefined>>
  readonly header: (name: string) => string | undefined
  readonly readBody: () => Promise<string>
  readonly reply: Reply
}

export type RouteHandler = (call: Call) => Promise<void> | void

export interface Route {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  readonly handle: RouteHandler
}

export interface StandInServerOptions<Control extends CommonControl, Counts> {
  readonly listen: ListenOptions
  readonly clock: Clock
  readonly logger: Logger
  readonly routes: readonly Route[]
  /** Handles every request that no route matches; 404 when absent. */
  readonly fallback?: RouteHandler
  readonly controlSchema: z.ZodType<Control>
  readonly applyControl: (change: Control) => void
  readonly counts: () => Counts
}

export interface StandInServer<Control, Counts> extends StandIn<Control, Counts> {
  /** Resolves at once, or when a freeze ends. */
  readonly thawed: () => Promise<void>
  /** Requests and activities that wait for a freeze to end. */
  readonly frozenRequests: () => number
  /** The status and code with which the client is refused now, or undefined. */
  readonly refusal: (call: Call) => { readonly status: number, readonly code: string } | undefined
  readonly cutConnections: () => void
}

/** Bodies are prompts and record batches; more than this is a fault of the client. */
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024

/**
 * Starts the HTTP server of a stand-in with the routes `/control` and `/counts`.
 *
 * @example
 * const server = await startStandInServer({ listen: LOOPBACK, clock, logger, routes, controlSchema, applyControl, counts })
 */
export async function startStandInServer<Control extends CommonControl, Counts> (
  options: StandInServerOptions<Control, Counts>
): Promise<StandInServer<Control, Counts>> {
  const { listen, clock, logger } = options
  const sockets = new Set<Socket>()
  const silenced = new WeakSet<Socket>()
  // Connections that carry a control request; a cut or silence that it orders spares its own answer.
  const exempt = new Set<Socket>()
  const thawWaiters = new Set<() => void>()
  let isDown = false
  let isFrozen = false
  let slowMilliseconds: Milliseconds = 0
  let refusedClients: ReadonlySet<string> = new Set()

  const affectedSockets = (): Socket[] => [...sockets].filter((socket) => !exempt.has(socket))
  const cutConnections = (): void => {
    for (const socket of affectedSockets()) socket.destroy()
  }
  const thawed = async (): Promise<void> => {
    while (isFrozen) await new Promise<void>((resolve) => thawWaiters.add(resolve))
  }
  const wakeThawWaiters = (): void => {
    for (const wake of thawWaiters) wake()
    thawWaiters.clear()
  }

  const control = (change: Control): void => {
    const valid = options.controlSchema.parse(change)
    isDown = valid.down ?? isDown
    isFrozen = valid.frozen ?? isFrozen
    slowMilliseconds = valid.slowMilliseconds ?? slowMilliseconds
    if (valid.refuseClients !== undefined) refusedClients = new Set(valid.refuseClients)
    if (!isFrozen) wakeThawWaiters()
    if (valid.silenceConnections === true) for (const socket of affectedSockets()) silenced.add(socket)
    if (valid.cutConnections === true) cutConnections()
    options.applyControl(valid)
    logger.info('control applied', { event: 'stand-in-control', change: valid as unknown as JsonValue })
  }

  const refusal = (call: Call): { readonly status: number, readonly code: string } | undefined => {
    if (isDown) return { status: 503, code: 'down' }
    const names = [call.reply.clientAddress, call.header('x-client-name')]
    return names.some((name) => name !== undefined && refusedClients.has(name)) ? { status: 503, code: 'refused-client' } : undefined
  }

  const runWithFaults = async (handle: RouteHandler, call: Call): Promise<void> => {
    if (call.reply.isSilenced()) return
    if (slowMilliseconds > 0) await clock.sleep(slowMilliseconds)
    await thawed()
    const refused = refusal(call)
    if (refused !== undefined) return call.reply.sendJson(refused.status, { code: refused.code })
    await handle(call)
  }

  const handleControl: RouteHandler = async (call) => {
    const parsed = options.controlSchema.safeParse(parseJson(await call.readBody()))
    if (!parsed.success) return call.reply.sendJson(400, { code: 'control-invalid', issues: parsed.error.issues })
    control(parsed.data)
    call.reply.sendJson(200, { applied: parsed.data })
  }

  const serve = (handle: RouteHandler, withFaults: boolean) => async (request: restana.Request<restana.Protocol.HTTP>, response: restana.Response<restana.Protocol.HTTP>): Promise<void> => {
    const { socket } = request
    const call = createCall(request, response, () => withFaults && silenced.has(socket))
    if (!withFaults) exempt.add(socket)
    try {
      await (withFaults ? runWithFaults(handle, call) : handle(call))
    } catch (reason) {
      const message = reason instanceof Error ? reason.message : String(reason)
      if (reason instanceof InvalidRequest) return call.reply.sendJson(400, { code: 'request-invalid', detail: message })
      logger.error('request failed', { event: 'stand-in-failure', detail: message })
      call.reply.sendJson(500, { code: 'stand-in-failure', detail: message })
    } finally {
      exempt.delete(socket)
    }
  }

  const fallback: RouteHandler = options.fallback ?? ((call) => call.reply.sendJson(404, { code: 'not-found' }))
  const service = restana({ prioRequestsProcessing: false, defaultRoute: serve(fallback, true) })
  service.post('/control', serve(handleControl, false))
  service.get('/counts', serve((call) => call.reply.sendJson(200, options.counts()), false))
  for (const route of options.routes) {
    const method = route.method.toLowerCase() as 'get' | 'post' | 'delete'
    service[method](route.path, serve(route.handle, true))
  }

  const server = service.getServer()
  // A stand-in closes connections only when a fault says so.
  server.keepAliveTimeout = 0
  server.requestTimeout = 0
  server.headersTimeout = 0
  server.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.setNoDelay(true)
  })
  server.listen(listen.port, listen.host)
  await once(server, 'listening')
  const { address, port } = server.address() as AddressInfo

  const stop = async (): Promise<void> => {
    isFrozen = false
    wakeThawWaiters()
    const closed = once(server, 'close')
    server.close()
    for (const socket of sockets) socket.destroy()
    await closed
  }
  let stopping: Promise<void> | undefined

  return {
    address: `${address}:${port}`,
    close: () => {
      stopping ??= stop()
      return stopping
    },
    counts: options.counts,
    control,
    thawed,
    frozenRequests: () => thawWaiters.size,
    refusal,
    cutConnections
  }
}

/** A request whose form is wrong; it is answered with 400. */
export class InvalidRequest extends Error {}

/**
 * Parses JSON of a request body.
 *
 * @example
 * const body = parseJson(await call.readBody())
 */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new InvalidRequest('the body is not JSON')
  }
}

/**
 * Reads a request body that must match the schema.
 *
 * @example
 * const { values } = await readJson(call, appendBody)
 */
export async function readJson<Value> (call: Call, schema: z.ZodType<Value>): Promise<Value> {
  const parsed = schema.safeParse(parseJson(await call.readBody()))
  if (!parsed.success) throw new InvalidRequest(z.prettifyError(parsed.error))
  return parsed.data
}

function createCall (request: restana.Request<restana.Protocol.HTTP>, response: ServerResponse, isSilenced: () => boolean): Call {
  const header = (name: string): string | undefined => {
    const value = request.headers[name]
    return Array.isArray(value) ? value.join(', ') : value
  }
  return {
    method: request.method ?? 'GET',
    path: (request.url ?? '/').split('?', 1)[0] ?? '/',
    params: request.params ?? {},
    query: request.query as Record<string, string | undefined>,
    header,
    readBody: () => readBody(request),
    reply: createReply(response, isSilenced)
  }
}

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAXIMUM_BODY_BYTES) throw new InvalidRequest(`the body is larger than ${MAXIMUM_BODY_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}
