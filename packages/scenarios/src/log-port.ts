import { createError } from '@fuchsiastage/errors'
import type { LogService, MemoryLogService } from '@fuchsiastage/log-client'
import type { JsonValue } from '@fuchsiastage/types'
import { err } from 'true-myth/result'
import type { Links } from './links.js'
import { rejectOnAbort, type ProcessGate } from './process-gate.js'

export interface LogPortOptions {
  readonly daemon: string
  readonly gate: ProcessGate
  readonly links: Links
  readonly service: MemoryLogService
  readonly onAppend: (point: 'append' | 'appended', stream: string, values: readonly JsonValue[]) => void
}

/** Name of the log service in the actions `cut` and `heal`. */
export const LOG_LINK = 'log'

/**
 * Creates the connection of one daemon to the shared log service.
 *
 * @example
 * const logService = createLogPort({ daemon: 'entry-1', gate, links, service, onAppend })
 */
export function createLogPort (options: LogPortOptions): LogService {
  const { gate, links, daemon } = options
  const connection = options.service.connect()
  const applyCut = (): void => connection.setCut(links.isCut(daemon, LOG_LINK))
  const aborted = (step: string) => err(createError({ code: 'log-unavailable', message: 'the call was aborted', step, peer: 'log-service', outcome: 'unknown', status: 503 }))

  return {
    append: async (stream, values, signal) => {
      const run = async () => {
        await gate.pass('outgoing')
        options.onAppend('append', stream, values)
        // A trigger at `append` may have killed or paused the process; the record must then not be sent.
        await gate.pass('outgoing')
        applyCut()
        const result = await connection.append(stream, JSON.parse(JSON.stringify(values)) as JsonValue[])
        options.onAppend('appended', stream, values)
        await gate.pass('incoming')
        return result
      }
      return await rejectOnAbort(run(), signal).catch(() => aborted('append'))
    },
    read: async (stream, fromOffset, readOptions, signal) => {
      await gate.pass('outgoing')
      applyCut()
      const result = await connection.read(stream, fromOffset, readOptions, signal)
      applyCut()
      await gate.pass('incoming')
      // A long poll that was open when the link was cut gets no response.
      return links.isCut(daemon, LOG_LINK) ? aborted('read') : result
    }
  }
}
