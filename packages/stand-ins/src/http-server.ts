import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import restana from 'restana'
import { z } from 'zod'
import { createReply, type Reply } from './reply.js'

/** Faults that every stand-in supports. Each kind of stand-in extends this schema with its own fields. */
export const commonControlSchema = z.strictObject({
  /** Responds to every request with 503. */
  down: z.boolean(),
  /** Accepts connections but processes no request until the field is set to false. */
  frozen: z.boolean(),
  /** Delay before a request is processed, and so before it takes effect. */
  slowMilliseconds: z.number().nonnegative(),
  /** Client addresses, or values of the header `X-Client-Name`, whose requests get a 503 response. */
  refuseClients: z.array(z.string()),
  /** Closes all connections that are open now. */
  cutConnections: z.literal(true),
  /** Stalls all connections that are open now: they stay open but carry no more bytes. New connections work. */
  silenceConnections: z.literal(true)
}).partial()

export type CommonControl = z.infer<typeof commonControlSchema>

/** Address that a stand-in listens on. Port 0 selects a free port. */
export interface ListenOptions {
  readonly host: string
  readonly port: number
}

export const LOOPBACK: ListenOptions = { host: '127.0.0.1', port: 0 }

/** A running stand-in. */
export interface StandIn<Control, Counts> {
  /** IP address and port, for example `127.0.0.1:7000`. */
  readonly address: string
  readonly close: () => Promise<void>
  readonly counts: () => Counts
  /** Sets faults. Throws a `ZodError` when the change is invalid. */
  readonly control: (change: Control) => void
}

/** One request and its reply, as passed to a route handler. */
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
  /** Handles every request that no route matches. Without it, such requests get a 404 response. */
  readonly fallback?: RouteHandler
  readonly controlSchema: z.ZodType<Control>
  readonly applyControl: (change: Control) => void
  readonly counts: () => Counts
}

export interface StandInServer<Control, Counts> extends StandIn<Control, Counts> {
  /** Resolves immediately, or when the stand-in resumes if it is suspended (`frozen`). */
  readonly waitWhileFrozen: () => Promise<void>
  /** Number of requests and background activities that wait while the stand-in is suspended. */
  readonly countFrozenWaiters: () => number
  /** Returns the status and code with which the request is refused now, or undefined when it is accepted. */
  readonly findRefusal: (call: Call) => { readonly status: number, readonly code: string } | undefined
  readonly cutConnections: () => void
}

/** Upper limit for prompts and record batches; a larger body is treated as an error of the client. */
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024

/**
 * Starts the HTTP server of a stand-in. Besides the given routes it serves `/control` and `/counts`,
 * which no fault affects.
 *
 * @example
 * const server = await startStandInServer({ listen: LOOPBACK, clock, logger, routes, controlSchema, applyControl, counts })
 */
export async function startStandInServer<Control extends CommonControl, Counts> (
  options: StandInServerOptions<Control, Counts>
): Promise<StandInServer<Control, Counts>> {
  const { listen, clock, logger } = options
  const sockets = new Set<Socket>()
  const stalledSockets = new WeakSet<Socket>()
  // Connections with a `/control` or `/counts` request in progress. They are not cut or stalled, so
  // that the request that sets such a fault still gets its own response.
  const controlSockets = new Set<Socket>()
  const frozenWaiters = new Set<() => void>()
  let isDown = false
  let isFrozen = false
  let slowMilliseconds: Milliseconds = 0
  let refusedClients: ReadonlySet<string> = new Set()

  const affectedSockets = (): Socket[] => [...sockets].filter((socket) => !controlSockets.has(socket))
  const cutConnections = (): void => {
    for (const socket of affectedSockets()) socket.destroy()
  }
  const waitWhileFrozen = async (): Promise<void> => {
    while (isFrozen) await new Promise<void>((resolve) => frozenWaiters.add(resolve))
  }
  const wakeFrozenWaiters = (): void => {
    for (const wake of frozenWaiters) wake()
    frozenWaiters.clear()
  }

  const control = (change: Control): void => {
    const validChange = options.controlSchema.parse(change)
    isDown = validChange.down ?? isDown
    isFrozen = validChange.frozen ?? isFrozen
    slowMilliseconds = validChange.slowMilliseconds ?? slowMilliseconds
    if (validChange.refuseClients !== undefined) refusedClients = new Set(validChange.refuseClients)
    if (!isFrozen) wakeFrozenWaiters()
    if (validChange.silenceConnections === true) for (const socket of affectedSockets()) stalledSockets.add(socket)
    if (validChange.cutConnections === true) cutConnections()
    options.applyControl(validChange)
    logger.info('control message applied', { event: 'stand-in-control', change: validChange as unknown as JsonValue })
  }

  const findRefusal = (call: Call): { readonly status: number, readonly code: string } | undefined => {
    if (isDown) return { status: 503, code: 'down' }
    const clientIdentifiers = [call.reply.clientAddress, call.header('x-client-name')]
    return clientIdentifiers.some((name) => name !== undefined && refusedClients.has(name)) ? { status: 503, code: 'refused-client' } : undefined
  }

  const runWithFaults = async (handle: RouteHandler, call: Call): Promise<void> => {
    if (call.reply.isConnectionStalled()) return
    if (slowMilliseconds > 0) await clock.sleep(slowMilliseconds)
    await waitWhileFrozen()
    const refusal = findRefusal(call)
    if (refusal !== undefined) return call.reply.sendJson(refusal.status, { code: refusal.code })
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
    const call = createCall(request, response, () => withFaults && stalledSockets.has(socket))
    if (!withFaults) controlSockets.add(socket)
    try {
      await (withFaults ? runWithFaults(handle, call) : handle(call))
    } catch (reason) {
      const message = reason instanceof Error ? reason.message : String(reason)
      if (reason instanceof InvalidRequestError) return call.reply.sendJson(400, { code: 'request-invalid', detail: message })
      logger.error('unexpected error in a request handler; responding with 500', { event: 'stand-in-failure', detail: message })
      call.reply.sendJson(500, { code: 'stand-in-failure', detail: message })
    } finally {
      controlSockets.delete(socket)
    }
  }

  const fallback: RouteHandler = options.fallback ?? ((call) => call.reply.sendJson(404, { code: 'not-found' }))
  const router = restana({ prioRequestsProcessing: false, defaultRoute: serve(fallback, true) })
  router.post('/control', serve(handleControl, false))
  router.get('/counts', serve((call) => call.reply.sendJson(200, options.counts()), false))
  for (const route of options.routes) {
    const method = route.method.toLowerCase() as 'get' | 'post' | 'delete'
    router[method](route.path, serve(route.handle, true))
  }

  const server = router.getServer()
  // All timeouts are disabled: a stand-in closes connections only as an injected fault.
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

  const stopServer = async (): Promise<void> => {
    isFrozen = false
    wakeFrozenWaiters()
    const closed = once(server, 'close')
    server.close()
    for (const socket of sockets) socket.destroy()
    await closed
  }
  let stopping: Promise<void> | undefined

  return {
    address: `${address}:${port}`,
    close: () => {
      stopping ??= stopServer()
      return stopping
    },
    counts: options.counts,
    control,
    waitWhileFrozen,
    countFrozenWaiters: () => frozenWaiters.size,
    findRefusal,
    cutConnections
  }
}

/** An invalid request, which gets a 400 response. */
export class InvalidRequestError extends Error {}

/**
 * Parses a JSON request body. Throws an `InvalidRequestError` when it is not valid JSON.
 *
 * @example
 * const body = parseJson(await call.readBody())
 */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new InvalidRequestError('the request body is not valid JSON')
  }
}

/**
 * Reads and parses a JSON request body. Throws an `InvalidRequestError` when it does not match the schema.
 *
 * @example
 * const { values } = await readJson(call, appendRequestSchema)
 */
export async function readJson<Value> (call: Call, schema: z.ZodType<Value>): Promise<Value> {
  const parsed = schema.safeParse(parseJson(await call.readBody()))
  if (!parsed.success) throw new InvalidRequestError(z.prettifyError(parsed.error))
  return parsed.data
}

function createCall (request: restana.Request<restana.Protocol.HTTP>, response: ServerResponse, isConnectionStalled: () => boolean): Call {
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
    reply: createReply(response, isConnectionStalled)
  }
}

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAXIMUM_BODY_BYTES) throw new InvalidRequestError(`the request body is larger than ${MAXIMUM_BODY_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}
