import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { ConfigurationController } from '@fuchsiastage/configuration'
import { patchSchema } from '@fuchsiastage/configuration'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Logger } from '@fuchsiastage/logger'
import { assertNever, type ConfigurationDocument, type ConfigurationPatch, type Milliseconds, type PatchOutcome } from '@fuchsiastage/types'
import restana from 'restana'
import { createClosableServer, type HttpServer } from './callers-server.js'
import { readBody } from './incoming-request.js'
import { sendJson, sendProblem } from './send-answer.js'

export interface OperatorsServerOptions {
  readonly host: string
  readonly port: number
  /** The current token, and the previous one during a token rotation. */
  readonly acceptedTokens: readonly string[]
  readonly logger: Logger
  readonly configuration: ConfigurationController
  readonly submitTimeoutMilliseconds: Milliseconds
  /** Requests the configuration version that each daemon has in force. */
  readonly versionsInForce: () => Promise<unknown>
  /** Members, roles, replicas and claims as known to this daemon. */
  readonly status: () => unknown
}

const MAXIMUM_PATCH_BYTES = 4 * 1024 * 1024

type Handler = (request: IncomingMessage & { readonly params?: Readonly<Record<string, string>> }, response: ServerResponse) => Promise<void>

/**
 * Starts the HTTP server for operators. Every request must carry the operator token.
 *
 * @example
 * const server = await startOperatorsServer(options)
 */
export async function startOperatorsServer (options: OperatorsServerOptions): Promise<HttpServer> {
  const { configuration } = options
  const app = restana({
    errorHandler: (reason, _request, response) => {
      options.logger.error('operator request failed; responding with an internal error', { reason: reason.message })
      sendProblem(response, createError({ code: 'internal', message: reason.message, step: 'operators' }))
    }
  })

  const withAuthorisation = (handler: Handler): Handler => async (request, response) => {
    if (isAuthorised(request, options.acceptedTokens)) await handler(request, response)
    else sendProblem(response, createError({ code: 'operator-token-wrong', message: 'the operator token is missing or wrong', step: 'operators', status: 401 }))
  }

  app.get('/configuration/version', withAuthorisation(async (_request, response) => {
    sendJson(response, 200, { ...configuration.position(), freshness: configuration.freshness() })
  }))
  app.get('/configuration/versions/:version', withAuthorisation(async (request, response) => {
    const requestedVersion = request.params?.version ?? ''
    const version = requestedVersion === 'current' ? configuration.version() : Number(requestedVersion)
    const document = configuration.documentAt(version)
    if (document.isOk) sendJson(response, 200, { version, document: toSortedObject(document.value) })
    else sendProblem(response, document.error)
  }))
  app.get('/configuration/history', withAuthorisation(async (_request, response) => {
    sendJson(response, 200, { versions: configuration.history().map(({ version, patchId, operator, note, baseVersion, changes }) => ({ version, patchId, operator, note, baseVersion, keys: changes.map(({ key }) => key) })) })
  }))
  app.get('/configuration/in-force', withAuthorisation(async (_request, response) => sendJson(response, 200, await options.versionsInForce())))
  app.get('/status', withAuthorisation(async (_request, response) => sendJson(response, 200, options.status())))
  app.get('/configuration/patches/:patchId', withAuthorisation(async (request, response) => {
    sendOutcome(response, await configuration.outcome(request.params?.patchId ?? '', AbortSignal.timeout(options.submitTimeoutMilliseconds)))
  }))
  app.post('/configuration/patches', withAuthorisation(async (request, response) => {
    const patch = await readPatch(request)
    if (patch.kind === 'fault') {
      sendProblem(response, patch.error)
      return
    }
    sendOutcome(response, await configuration.submit(patch.patch, AbortSignal.timeout(options.submitTimeoutMilliseconds)))
  }))
  const server = await app.start(options.port, options.host) as Server
  return createClosableServer(server, options.host)
}

function isAuthorised (request: IncomingMessage, acceptedTokens: readonly string[]): boolean {
  const presentedDigest = digest(/^Bearer (\S+)$/i.exec(request.headers.authorization ?? '')?.[1] ?? '')
  return acceptedTokens.some((token) => token.length > 0 && timingSafeEqual(digest(token), presentedDigest))
}

/** Tokens are compared by digest, because a constant-time comparison requires inputs of equal length. */
function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

function toSortedObject (document: ConfigurationDocument): Readonly<Record<string, unknown>> {
  return Object.fromEntries([...document].sort(([left], [right]) => left < right ? -1 : 1))
}

type ParsedPatch =
  | { readonly kind: 'patch'; readonly patch: ConfigurationPatch }
  | { readonly kind: 'fault'; readonly error: FuchsiastageError }

async function readPatch (request: IncomingMessage): Promise<ParsedPatch> {
  const body = await readBody(request, MAXIMUM_PATCH_BYTES)
  if (body.isErr) return { kind: 'fault', error: body.error }
  let json: unknown
  try {
    json = JSON.parse(body.value.toString('utf8'))
  } catch {
    return { kind: 'fault', error: invalidPatch('the body is not valid JSON') }
  }
  const parsed = patchSchema.safeParse(json)
  if (parsed.success) return { kind: 'patch', patch: parsed.data as ConfigurationPatch }
  return { kind: 'fault', error: invalidPatch(parsed.error.issues.map(({ path, message }) => `${path.join('.') || 'patch'}: ${message}`).join('; ')) }
}

function invalidPatch (message: string): FuchsiastageError {
  return createError({ code: 'patch-invalid', message, step: 'operators', status: 400 })
}

function sendOutcome (response: ServerResponse, outcome: PatchOutcome): void {
  switch (outcome.kind) {
    case 'accepted':
      sendJson(response, 200, outcome)
      return
    case 'rejected':
      sendJson(response, 409, outcome)
      return
    case 'undecided':
      sendJson(response, 202, outcome)
      return
    default:
      assertNever(outcome)
  }
}
