import type { Server } from 'node:http'
import restana from 'restana'

/** Path of a control server and the handler of its GET requests. */
export interface ControlPath {
  readonly path: string
  readonly answer: () => ControlAnswer | Promise<ControlAnswer>
}

export interface ControlAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/**
 * Starts an HTTP server for GET requests of the platform, of callers that look up entry daemons, or
 * of operators.
 *
 * @example
 * await startControlServer('10.1.0.38', 8141, [{ path: '/ready', answer: () => ({ status: 200, contentType: 'text/plain', body: '' }) }])
 */
export async function startControlServer (host: string, port: number, paths: readonly ControlPath[]): Promise<Server> {
  const service = restana({})
  for (const { path, answer } of paths) {
    service.get(path, async (_request, response) => {
      const { status, contentType, body } = await answer()
      response.writeHead(status, { 'Content-Type': contentType, 'Content-Length': String(Buffer.byteLength(body)) })
      response.end(body)
    })
  }
  return await service.start(port, host) as Server
}

export function jsonAnswer (status: number, value: unknown): ControlAnswer {
  return { status, contentType: 'application/json', body: JSON.stringify(value) }
}
