import { setImmediate } from 'node:timers/promises'
import { Agent, request } from 'undici'

export interface TestAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: string
  // The tests know the form of each answer; a wrong form fails their assertions.
  readonly json: Readonly<Record<string, unknown>>
}

export interface TestRequest {
  readonly method?: 'GET' | 'POST' | 'DELETE'
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
  readonly signal?: AbortSignal
}

/** Sends requests of a test. */
export interface TestClient {
  /** Rejects when the connection is cut. */
  readonly send: (path: string, options?: TestRequest) => Promise<TestAnswer>
  /** Resolves with the head of the answer; the body is read as it arrives. */
  readonly open: (path: string, options?: TestRequest) => Promise<TestStream>
  readonly close: () => Promise<void>
}

/** An answer whose body arrives in parts. */
export interface TestStream {
  readonly status: number
  readonly headers: TestAnswer['headers']
  /** What has arrived so far. */
  readonly text: () => string
  /** Resolves true at the regular end of the body, false when the connection was cut. */
  readonly ended: Promise<boolean>
}

/**
 * Creates the HTTP client of a test.
 *
 * @example
 * const client = createTestClient(standIn.address)
 * const answer = await client.send('/counts')
 */
export function createTestClient (address: string): TestClient {
  // Each request has a connection of its own: an idle one may have been silenced by a fault.
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0, pipelining: 0 })
  const start = (path: string, options: TestRequest): ReturnType<typeof request> => request(`http://${address}${path}`, {
    dispatcher,
    method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
    headers: { 'content-type': 'application/json', ...options.headers },
    body: options.body === undefined ? null : JSON.stringify(options.body),
    signal: options.signal ?? null
  })
  return {
    send: async (path, options = {}) => {
      const response = await start(path, options)
      const body = await response.body.text()
      return { status: response.statusCode, headers: response.headers, body, json: parseObject(body) }
    },
    open: async (path, options = {}) => {
      const response = await start(path, options)
      const chunks: Buffer[] = []
      const readAll = async (): Promise<boolean> => {
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
        ended: readAll()
      }
    },
    close: () => dispatcher.destroy()
  }
}

/**
 * Waits, without a time bound of its own, until a condition holds; the test's time limit applies.
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
