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

/** Sends requests of a test; each client has connections of its own. */
export interface TestClient {
  /** Rejects when the connection is cut. */
  readonly send: (path: string, options?: TestRequest) => Promise<TestAnswer>
  readonly close: () => Promise<void>
}

/**
 * Creates the HTTP client of a test.
 *
 * @example
 * const client = createTestClient(standIn.address)
 * const answer = await client.send('/counts')
 */
export function createTestClient (address: string): TestClient {
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 })
  return {
    send: async (path, options = {}) => {
      const response = await request(`http://${address}${path}`, {
        dispatcher,
        method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
        headers: { 'content-type': 'application/json', ...options.headers },
        body: options.body === undefined ? null : JSON.stringify(options.body),
        signal: options.signal ?? null
      })
      const body = await response.body.text()
      return { status: response.statusCode, headers: response.headers, body, json: parseObject(body) }
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
