import { createHash } from 'node:crypto'
import type { Clock } from '@fuchsiastage/clock'
import { parseIdempotencyKey } from '@fuchsiastage/claims'
import { readService } from '@fuchsiastage/configuration'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds, ServiceDefinition } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import { z } from 'zod'
import type { ConfigurationView, Filter, IncomingRequest, RequestContext, Route } from './context.js'

export interface ParseOptions {
  readonly clock: Clock
  readonly configuration: ConfigurationView
  readonly maximumBodyBytes: number
  readonly keyHorizonMilliseconds: Milliseconds
}

/** Number of prompt characters in the prefix hash; engines use the same number for the hashes in cache events. */
const PREFIX_CHARACTERS = 256

const message = z.looseObject({ role: z.string(), content: z.union([z.string(), z.array(z.looseObject({}))]) })
const chatBody = z.looseObject({ model: z.string().min(1), messages: z.array(message).min(1), stream: z.boolean().optional() })
const completionBody = z.looseObject({ model: z.string().min(1), prompt: z.string(), stream: z.boolean().optional() })

const SERVICE_PATH = /^\/services\/([A-Za-z0-9][A-Za-z0-9._-]*)(\/.*)?$/

/**
 * Reads and validates the body, and determines the model or service of the request.
 *
 * @example
 * const filter = createParseFilter({ clock, configuration, maximumBodyBytes: 1_048_576, keyHorizonMilliseconds: 3_600_000 })
 */
export function createParseFilter (options: ParseOptions): Filter {
  return async (context, next) => {
    const body = await context.incoming.readBody(options.maximumBodyBytes)
    if (body.isErr) return { kind: 'problem', error: body.error }
    const route = parseRoute(context, body.value, options)
    if (route.isErr) return { kind: 'problem', error: route.error }
    return await next({ ...context, route: route.value })
  }
}

function parseRoute (context: RequestContext, body: Buffer, options: ParseOptions): Result<Route, FuchsiastageError> {
  const { incoming } = context
  const path = incoming.url.split('?', 1)[0] ?? ''
  if (path === '/v1/chat/completions' || path === '/v1/completions') {
    if (incoming.method !== 'POST') return err(problem('method-not-allowed', `${path} requires the method POST`, 405))
    return parseCompletion(path, body)
  }
  const service = SERVICE_PATH.exec(path)
  if (service?.[1] === undefined) return err(problem('not-found', `no such resource: ${path}`, 404))
  return parseServiceCall(incoming, service[1], body, options)
}

function parseCompletion (path: '/v1/chat/completions' | '/v1/completions', body: Buffer): Result<Route, FuchsiastageError> {
  const json = parseJson(body)
  if (json.isErr) return err(json.error)
  if (path === '/v1/completions') {
    const parsed = completionBody.safeParse(json.value)
    if (!parsed.success) return err(invalidBody(parsed.error))
    return ok(completionRoute(path, body, parsed.data.model, parsed.data.stream === true, parsed.data.prompt))
  }
  const parsed = chatBody.safeParse(json.value)
  if (!parsed.success) return err(invalidBody(parsed.error))
  const prompt = parsed.data.messages.map(({ content }) => typeof content === 'string' ? content : JSON.stringify(content)).join('\n')
  return ok(completionRoute(path, body, parsed.data.model, parsed.data.stream === true, prompt))
}

function completionRoute (path: '/v1/chat/completions' | '/v1/completions', body: Buffer, model: string, stream: boolean, prompt: string): Route {
  const prefix = createHash('sha256').update(prompt.slice(0, PREFIX_CHARACTERS)).digest('hex')
  return { kind: 'completion', path, model, stream, body, prefix }
}

function parseServiceCall (incoming: IncomingRequest, name: string, body: Buffer, options: ParseOptions): Result<Route, FuchsiastageError> {
  const service = readService(options.configuration.document(), name)
  if (service === undefined) return err(problem('service-unknown', `no service is named ${name}`, 404))
  const path = incoming.url.slice(`/services/${name}`.length) || '/'
  const route = { kind: 'service', service: name, path, body } as const
  if (!isNonIdempotent(service, incoming.method, path)) return ok({ ...route, idempotencyKey: undefined })
  const header = incoming.headers['idempotency-key']
  if (typeof header !== 'string' || header.trim() === '') {
    return err(problem('idempotency-key-missing', `${incoming.method} ${path} is not idempotent and requires an Idempotency-Key header (UUID version 7)`, 400))
  }
  const key = parseIdempotencyKey(header, { wallNow: options.clock.wallNow(), horizonMilliseconds: options.keyHorizonMilliseconds })
  return key.map(({ key: idempotencyKey }) => ({ ...route, idempotencyKey }))
}

/**
 * Whether a call must not be repeated. It compares decoded and normalised paths, so that a path with
 * percent-encoding, dot segments or double slashes does not bypass the rule.
 */
function isNonIdempotent (service: ServiceDefinition, method: string, path: string): boolean {
  const normalised = normalisePath(path)
  return service.nonIdempotent.some((rule) => {
    const [ruleMethod, prefix = ''] = rule.split(' ')
    return ruleMethod === method.toUpperCase() && normalised.startsWith(prefix.toLowerCase())
  })
}

function normalisePath (path: string): string {
  const { pathname } = new URL(path.replace(/^\/+/, '/'), 'http://service')
  try {
    return new URL(decodeURIComponent(pathname).replace(/\/{2,}/g, '/'), 'http://service').pathname.toLowerCase()
  } catch {
    return pathname.toLowerCase()
  }
}

function parseJson (body: Buffer): Result<unknown, FuchsiastageError> {
  try {
    return ok(JSON.parse(body.toString('utf8')))
  } catch {
    // The error message of the parser quotes the body, which must not be logged.
    return err(problem('body-not-json', 'the body is not valid JSON', 400))
  }
}

function invalidBody (error: z.ZodError): FuchsiastageError {
  const descriptions = error.issues.map(({ path, message: text }) => `${path.join('.') || 'body'}: ${text}`)
  return problem('body-invalid', descriptions.join('; '), 400)
}

function problem (code: string, text: string, status: number): FuchsiastageError {
  return createError({ code, message: text, step: 'parse', status })
}
