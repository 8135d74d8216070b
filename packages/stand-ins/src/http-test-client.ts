import { setImmediate } from 'node:timers/promises'
import { Agent, request } from 'undici'

export interface TestResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: string
  // Not validated: a body of unexpected shape fails the assertions of the test.
  readonly json: Readonly<Record<string, unknown>>
}

export interface TestRequest {
  readonly method?: 'GET' | 'POST' | 'DELETE'
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
  readonly signal?: AbortSignal
}

/** HTTP client for tests. */
export interface TestClient {
  /** Sends a request and reads the whole response. Rejects when the connection is closed before its end. */
  readonly send: (path: string, options?: TestRequest) => Promise<TestResponse>
  /** Sends a request and resolves when the response headers have arrived. The body is read as it arrives. */
  readonly open: (path: string, options?: TestRequest) => Promise<TestStream>
  readonly close: () => Promise<void>
}

/** A response whose body is read as it arrives. */
export interface TestStream {
  readonly status: number
  readonly headers: TestResponse['headers']
  /** Returns the part of the body that has arrived so far. */
  readonly text: () => string
  /** Resolves to true when the body ends normally, to false when the connection is closed before the end. */
  readonly ended: Promise<boolean>
}

/**
 * Creates an HTTP client for tests.
 *
 * @example
 * const client = createTestClient(standIn.address)
 * const response = await client.send('/counts')
 */
export function createTestClient (address: string): TestClient {
  // Each request uses a new connection, because a fault may have stalled an idle one.
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0, pipelining: 0 })
  const sendRequest = (path: string, options: TestRequest): ReturnType<typeof request> => request(`http://${address}${path}`, {
    dispatcher,
    method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
    headers: { 'content-type': 'application/json', ...options.headers },
    body: options.body === undefined ? null : JSON.stringify(options.body),
    signal: options.signal ?? null
  })
  return {
    send: async (path, options = {}) => {
      const response = await sendRequest(path, options)
      const body = await response.body.text()
      return { status: response.statusCode, headers: response.headers, body, json: parseObject(body) }
    },
    open: async (path, options = {}) => {
      const response = await sendRequest(path, options)
      const chunks: Buffer[] = []
      const readBody = async (): Promise<boolean> => {
        try {
          for await (const chunk of response.body) chunks.push(chunk as Buffer)
          return true
        } catch {
          return false
        }
      }
      return {
        status: response.statusCode,
        headers: response.headers,
        text: () => Buffer.concat(chunks).toString('utf8'),
        ended: readBody()
      }
    },
    close: () => dispatcher.destroy()
  }
}

/**
 * Polls until a condition holds. It has no timeout of its own; the timeout of the test applies.
 *
 * @example
 * await waitUntil(() => standIn.counts().reads === 1)
 */
export async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await setImmediate()
}

function parseObject (text: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>
  } catch {
    return {}
  }
}
