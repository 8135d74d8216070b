import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { adapterCount, applyReport, type EngineState } from './engine-state.js'
import type { EnginePort } from './ports.js'

export interface OrderExecutorOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly engines: EnginePort
  readonly holder: string
  /** Term under which an order may be sent now; undefined if no order may be sent. */
  readonly termForOrder: () => number | undefined
}

/**
 * Result of an order. `holds` means that the engine is in the requested state, `outdated` that the order
 * is no longer valid. With `in-doubt`, a load got no response and the engine executes an order that may
 * be this one or a late one; a report after its end shows which.
 */
export type OrderResult = 'done' | 'holds' | 'in-doubt' | 'no-lease' | 'outdated' | 'failed'

export interface OrderRequest {
  readonly operation: 'load' | 'unload'
  readonly model: string
  readonly adapter: string | undefined
  /** How long the order is retried while another one is in progress or the state of the engine is not exact. */
  readonly conflictTimeoutMilliseconds: Milliseconds
  /** Called before each send, because the known state of the engine may have changed since the order was decided. */
  readonly isStillValid: () => boolean
}

export interface OrderExecutor {
  /** Sends an order until its outcome is known or its retries are exhausted. Orders to one engine must not overlap. */
  readonly execute: (target: KnownTarget, state: EngineState, order: OrderRequest) => Promise<OrderResult>
}

/** How long an order is retried while another one is in progress. */
export const ORDER_CONFLICT_TIMEOUT_MILLISECONDS = 1_500
/** Delay before the first retry of an order that conflicted with another one. */
const FIRST_CONFLICT_RETRY_MILLISECONDS = 30
/** Limit of the retry delay, which doubles with each conflict. Conflicts can last, because an unload waits for the running requests. */
const MAXIMUM_CONFLICT_RETRY_MILLISECONDS = 240
/**
 * Delay before an unanswered order is checked and sent again. Reports lag by some hundred milliseconds,
 * so a report that is read after this delay shows whether the order was accepted.
 */
const UNANSWERED_RETRY_MILLISECONDS = 400
/** Time after the last order from which a report is authoritative, even if it contradicts the assumed state. */
export const REPORT_AUTHORITATIVE_AFTER_MILLISECONDS = 1_000
/** Number of unanswered sends after which an order fails. A failed load puts its engine into cooldown. */
const MAXIMUM_UNANSWERED_SENDS = 3

/**
 * Creates the executor of orders. Each order states the expected order count of the engine, so of two
 * copies of a repeated order, or of a delayed order and a newer one, only one can take effect. No order
 * is sent while the state of the engine at that count is not exactly known.
 *
 * @example
 * const result = await executor.execute(target, state, { operation: 'load', model, adapter: undefined, conflictTimeoutMilliseconds: 2000, isStillValid })
 */
export function createOrderExecutor (options: OrderExecutorOptions): OrderExecutor {
  const { clock, engines, holder } = options

  const refreshState = async (target: KnownTarget, state: EngineState, logger: Logger): Promise<void> => {
    const readAt = clock.now()
    const report = await engines.report(target)
    if (report.isErr) {
      logger.warn('could not read the state of the engine before the order is repeated', { event: 'order-state-failed', reason: report.error.message })
      return
    }
    const { isBusy, placement } = report.value
    logger.info('read the state of the engine before the order is repeated', {
      event: 'order-state-read', orders: placement.orderCount, assumedOrders: state.orderCount, busy: isBusy, models: placement.models.map(({ name, adapters }) => `${name}+${adapters.length}`), pending: placement.pendingAdapters.length
    })
    applyReport(state, report.value, readAt - state.lastOrderAt > REPORT_AUTHORITATIVE_AFTER_MILLISECONDS)
  }

  const execute: OrderExecutor['execute'] = async (target, state, { operation, model, adapter, conflictTimeoutMilliseconds, isStillValid }) => {
    const logger = options.logger.child({ target: state.key, operation, model, adapter: adapter ?? null })
    const startedAt = clock.now()
    let unanswered = 0
    let waits = 0
    const waitBeforeRetry = async (): Promise<void> => {
      await clock.sleep(Math.min(MAXIMUM_CONFLICT_RETRY_MILLISECONDS, FIRST_CONFLICT_RETRY_MILLISECONDS * 2 ** waits++))
    }
    const isTimedOut = (): boolean => clock.now() - startedAt > conflictTimeoutMilliseconds
    for (;;) {
      const term = options.termForOrder()
      if (term === undefined) return 'no-lease'
      if (!state.isExact) {
        await refreshState(target, state, logger)
        if (state.isExact) continue
        if (isTimedOut()) return 'failed'
        await waitBeforeRetry()
        continue
      }
      if (!isStillValid()) return 'outdated'
      const expectedOrderCount = state.orderCount
      const answer = await engines.order(target, { operation, model, adapter, expectedOrderCount, holder, term })
      logger.info('order sent', { event: 'order-sent', epoch: term, expected: expectedOrderCount, outcome: answer.kind, adapters: adapterCount(state), models: [...state.models.keys()], running: state.runningLoad?.model ?? null, foreignOrder: state.hasForeignOrder })
      switch (answer.kind) {
        case 'accepted':
          state.lastOrderAt = clock.now()
          state.orderCount = Math.max(state.orderCount, expectedOrderCount + 1)
          return 'done'
        case 'holds':
          state.lastOrderAt = clock.now()
          if (operation === 'load' && !isInEffect(state, operation, model, adapter)) state.isExact = false
          // The engine has unloaded the adapter immediately, and counts this as an order.
          if (operation === 'unload' && adapter !== undefined) state.orderCount = Math.max(state.orderCount, expectedOrderCount + 1)
          return 'holds'
        case 'rejected':
          logger.warn('engine rejected the order', { event: 'order-rejected', status: answer.status })
          return 'failed'
        case 'conflict':
          if (isTimedOut()) return 'failed'
          await waitBeforeRetry()
          await refreshState(target, state, logger)
          break
        case 'unanswered':
          unanswered++
          state.lastOrderAt = clock.now()
          if (unanswered >= MAXIMUM_UNANSWERED_SENDS) return 'failed'
          await clock.sleep(UNANSWERED_RETRY_MILLISECONDS)
          await refreshState(target, state, logger)
          if (state.orderCount <= expectedOrderCount) break
          if (isInEffect(state, operation, model, adapter)) return 'done'
          if (operation === 'load' && adapter === undefined && !state.isExact && state.orderCount === expectedOrderCount + 1) return 'in-doubt'
          break
      }
    }
  }

  return { execute }
}

function isInEffect (state: EngineState, operation: 'load' | 'unload', model: string, adapter: string | undefined): boolean {
  const adapters = state.models.get(model)
  const isPresent = adapters !== undefined && (adapter === undefined || adapters.has(adapter))
  return operation === 'load' ? isPresent : !isPresent
}
