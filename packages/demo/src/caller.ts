import { randomBytes } from 'node:crypto'
import type { Clock } from '@fuchsiastage/clock'
import { request } from 'undici'

/** Response to one request, with its timing as measured by the caller. */
export interface CallerResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly text: string
  /** Time from the send until the first byte of the body, and until its end. */
  readonly firstByteMilliseconds: number
  readonly totalMilliseconds: number
}

export interface CallerRequest {
  readonly address: string
  readonly path: string
  readonly token: string
  readonly body: unknown
  readonly idempotencyKey?: string
}

/** Sends a request directly to an entry address, as callers do, and reads the whole response. */
export async function sendRequest (clock: Clock, { address, path, token, body, idempotencyKey }: CallerRequest): Promise<CallerResponse> {
  const startedAt = clock.now()
  const response = await request(`http://${address}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${token}`,
      'content-type': 'application/json',
      ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey })
    },
    body: JSON.stringify(body),
    headersTimeout: 0,
    bodyTimeout: 0
  })
  let firstByteAt: number | undefined
  const chunks: Buffer[] = []
  for await (const chunk of response.body) {
    firstByteAt ??= clock.now()
    chunks.push(chunk as Buffer)
  }
  const endedAt = clock.now()
  return {
    status: response.statusCode,
    headers: response.headers,
    text: Buffer.concat(chunks).toString('utf8'),
    firstByteMilliseconds: (firstByteAt ?? endedAt) - startedAt,
    totalMilliseconds: endedAt - startedAt
  }
}

export interface Entries {
  readonly entries: readonly { readonly address: string, readonly dataCentre: string }[]
  readonly keepMilliseconds: number
}

/** Requests the list of entry addresses from a daemon. */
export async function requestEntries (address: string): Promise<Entries> {
  const response = await request(`http://${address}/v1/entries`)
  return await response.body.json() as Entries
}

const RANDOM_BYTES = 9

/** Creates an idempotency key: a UUID version 7, which contains its creation time. */
export function createIdempotencyKey (wallTime: number): string {
  const time = Math.floor(wallTime).toString(16).padStart(12, '0')
  const random = randomBytes(RANDOM_BYTES).toString('hex')
  return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(0, 3)}-8${random.slice(3, 6)}-${random.slice(6, 18)}`
}

/** Whether the text is a complete stream of server-sent events, which ends with `[DONE]`. */
export function isCompleteStream (text: string): boolean {
  return text.trimEnd().endsWith('data: [DONE]')
}
