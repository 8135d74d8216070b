import type { ServerResponse } from 'node:http'
import type { ClientMemory, ReleaseMemory } from '@fuchsiastage/client-memory'
import type { ClientResponse, ResponseFraming } from '@fuchsiastage/forwarding'
import { assertNever } from '@fuchsiastage/types'

/** How the client detects the end of a response. */
type ResponseEnd =
  /** By its length, or because such a response has no body. */
  | 'length'
  /** By the last chunk. */
  | 'chunks'
  /** HTTP/1.0 has no chunks, so the response is held until its length is known. */
  | 'held'
  | 'connection'

export interface ClientResponseOptions {
  readonly isLeaving: () => boolean
  readonly memory: Pick<ClientMemory, 'holdResponse'>
}

interface HeldResponse {
  readonly status: number
  readonly rawHeaders: readonly string[]
  readonly chunks: Buffer[]
}

const INCOMPLETE_BODY = JSON.stringify({ error: 'response-incomplete' })

/**
 * Adapts the response of Node's HTTP server. A response that leaves the process in several parts never ends with its
 * connection: the system closes the connections of a process that is killed in order, so it would look complete.
 *
 * @example
 * const adapted = createClientResponse(response, { isLeaving: () => false, memory })
 */
export function createClientResponse (response: ServerResponse, { isLeaving, memory }: ClientResponseOptions): ClientResponse {
  const releases: ReleaseMemory[] = []
  let held: HeldResponse | undefined
  let hasFailed = false
  response.once('close', () => { for (const release of releases) release() })

  const hold = (bytes: number): boolean => {
    const release = memory.holdResponse(bytes)
    if (release === undefined) return false
    if (response.destroyed) release()
    else releases.push(release)
    return true
  }

  const writeHead = (status: number, rawHeaders: readonly string[]): void => {
    if (isLeaving()) response.shouldKeepAlive = false
    if (!response.destroyed) response.writeHead(status, [...rawHeaders])
  }

  /** Ends a response that is not complete. A client that has nothing of it, because it was held, gets a failure in its place. */
  const breakOff = (): void => {
    // The bytes of a complete response may still be on their way.
    if (hasFailed || response.writableFinished) return
    if (held === undefined || response.headersSent || response.destroyed) {
      response.destroy()
      return
    }
    hasFailed = true
    response.writeHead(502, ['Content-Type', 'application/json', 'Content-Length', String(INCOMPLETE_BODY.length)])
    response.end(INCOMPLETE_BODY)
  }

  const drained = async (): Promise<void> => {
    await new Promise<void>((resolve) => {
      const settle = (): void => {
        response.off('drain', settle)
        response.off('close', settle)
        resolve()
      }
      response.once('drain', settle)
      response.once('close', settle)
    })
  }

  return {
    hasBegun: () => response.headersSent || held !== undefined,
    hold,
    begin: (status, rawHeaders, framing) => {
      if (response.headersSent || held !== undefined) throw new Error('the response has already begun')
      const end = chooseEnd(response, status, rawHeaders, framing)
      switch (end) {
        case 'length':
        case 'chunks':
          writeHead(status, rawHeaders)
          break
        case 'connection':
          response.shouldKeepAlive = false
          response.useChunkedEncodingByDefault = false
          writeHead(status, rawHeaders)
          break
        case 'held':
          held = { status, rawHeaders, chunks: [] }
          break
        default:
          assertNever(end)
      }
    },
    write: async (bytes) => {
      if (response.destroyed || hasFailed) return
      if (held === undefined) {
        if (!response.write(bytes)) await drained()
      } else if (hold(bytes.length)) {
        held.chunks.push(bytes)
      } else {
        response.destroy()
      }
    },
    end: () => {
      if (response.destroyed || hasFailed) return
      if (held === undefined) {
        response.end()
        return
      }
      const body = Buffer.concat(held.chunks)
      writeHead(held.status, [...held.rawHeaders, 'Content-Length', String(body.length)])
      response.end(body)
    },
    destroy: breakOff
  }
}

function chooseEnd ({ req }: ServerResponse, status: number, rawHeaders: readonly string[], framing: ResponseFraming): ResponseEnd {
  const hasLength = rawHeaders.some((text, index) => index % 2 === 0 && text.toLowerCase() === 'content-length')
  if (hasLength || req.method === 'HEAD' || status === 204 || status === 304) return 'length'
  if (framing === 'until-close') return 'connection'
  return req.httpVersionMajor === 1 && req.httpVersionMinor === 0 ? 'held' : 'chunks'
}
