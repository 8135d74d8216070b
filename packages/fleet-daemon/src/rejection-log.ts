import type { ClientMemory } from '@fuchsiastage/client-memory'
import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { ClientRejection } from './front-server.js'

export interface RejectionLogOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly memory: Pick<ClientMemory, 'usage'>
  readonly count: (reason: ClientRejection) => void
}

export interface RejectionLog {
  readonly record: (reason: ClientRejection) => void
}

/** Limits the log volume while clients are rejected. */
const LINE_MILLISECONDS = 1_000

/**
 * Creates the log of requests and connections that are rejected because of limits for clients: one line per reason
 * and second, with the number of rejections since the last line.
 *
 * @example
 * const rejections = createRejectionLog({ clock, logger, memory, count })
 */
export function createRejectionLog ({ clock, logger, memory, count }: RejectionLogOptions): RejectionLog {
  const byReason = new Map<ClientRejection, { lineAt: number, suppressed: number }>()
  return {
    record: (reason) => {
      count(reason)
      const known = byReason.get(reason)
      if (known !== undefined && clock.now() - known.lineAt < LINE_MILLISECONDS) {
        known.suppressed++
        return
      }
      byReason.set(reason, { lineAt: clock.now(), suppressed: 0 })
      logger.warn('rejected a client because of a limit', { event: 'client-rejected', reason, suppressed: known?.suppressed ?? 0, ...memory.usage() })
    }
  }
}
