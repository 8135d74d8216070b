import type { Clock } from '@fuchsiastage/clock'
import type { LoadOrder, Milliseconds, OrderOutcome, UnloadOrder } from '@fuchsiastage/types'
import { buildConnector, Client } from 'undici'
import type { Connections } from './connections.js'
import { parseJson } from './decode.js'
import { exchange, type ExchangeLimits, type ExchangeRequest } from './exchange.js'
import { orderAnswerSchema, targetStateSchema } from './schemas.js'

export interface OrderSenderOptions {
  readonly clock: Clock
  readonly connectTimeoutMilliseconds: Milliseconds
  readonly stateTimeoutMilliseconds: Milliseconds
  readonly maximumAnswerBytes: number
}

export interface OrderDestination {
  readonly address: string
  /** Incarnation of the engine for which the order is intended. */
  readonly incarnation: string
}

export interface OrderSender {
  /**
   * Sends an order to one incarnation of an engine and waits for its outcome; only the signal limits
   * the wait. The outcome is `not-sent` if the address now belongs to another incarnation.
   */
  readonly send: (destination: OrderDestination, order: LoadOrder | UnloadOrder, signal: AbortSignal) => Promise<OrderOutcome>
}

/** HTTP status that belongs to each kind of response to an order. */
const ORDER_STATUS = { done: 200, 'refused-token': 409, failed: 422 } as const

/**
 * Creates the sender of load and unload orders. It reads the engine's state and sends the order on the
 * same connection, which is never re-established, so that the order cannot reach a process that was
 * started after the order's intent record was written.
 *
 * @example
 * const orders = createOrderSender({ clock, connectTimeoutMilliseconds: 500, stateTimeoutMilliseconds: 1000, maximumAnswerBytes: 1_048_576 })
 * const outcome = await orders.send({ address: '10.0.0.1:8000', incarnation }, order, signal)
 */
export function createOrderSender (options: OrderSenderOptions): OrderSender {
  const { clock, maximumAnswerBytes } = options
  const limits: ExchangeLimits = { connectMilliseconds: options.connectTimeoutMilliseconds, firstByteMilliseconds: Infinity }

  const send: OrderSender['send'] = async ({ address, incarnation }, order, signal) => {
    const client = createSingleConnectionClient(address, options.connectTimeoutMilliseconds)
    const connections: Connections = {
      acquire: () => ({ dispatcher: client, release: (reusable) => { if (!reusable) void client.destroy() } }),
      close: () => client.destroy()
    }
    const run = (request: Pick<ExchangeRequest, 'method' | 'path' | 'headers' | 'body'>, totalMilliseconds: Milliseconds) =>
      exchange(connections, clock, { address, requiresNewConnection: false, ...request }, { ...limits, totalMilliseconds, maximumAnswerBytes }, signal)
    try {
      const read = await run({ method: 'GET', path: '/state', headers: {} }, options.stateTimeoutMilliseconds)
      if (read.kind !== 'answered') return { kind: 'not-sent', reason: read.reason }
      const state = targetStateSchema.safeParse(parseJson(read.body))
      if (!state.success) return { kind: 'not-sent', reason: 'the state of the engine has an unexpected format' }
      if (state.data.incarnation !== incarnation) return { kind: 'not-sent', reason: `the address now belongs to incarnation ${state.data.incarnation}` }
      const sent = await run({
        method: 'POST',
        path: '/orders',
        headers: { 'content-type': 'application/json', 'x-request-id': order.orderId },
        body: JSON.stringify(order)
      }, Infinity)
      if (sent.kind !== 'answered') return sent
      const answeredId = sent.headers['x-request-id']
      if (answeredId !== undefined && answeredId !== order.orderId) return { kind: 'unknown', reason: 'the order id of the response does not match' }
      const answer = orderAnswerSchema.safeParse(parseJson(sent.body))
      if (answer.success && ORDER_STATUS[answer.data.kind] === sent.status) return answer.data
      return { kind: 'unknown', reason: `the engine responded with status ${sent.status} in an unexpected format` }
    } finally {
      void client.destroy()
    }
  }

  return { send }
}

/** Creates a client that opens at most one connection; undici would otherwise reconnect and could send the order to another process. */
function createSingleConnectionClient (address: string, timeout: Milliseconds): Client {
  const connect = buildConnector({ timeout })
  let isUsed = false
  return new Client(`http://${address}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: (connection, callback) => {
      if (isUsed) {
        callback(new Error('the connection was lost before the order was sent'), null)
        return
      }
      isUsed = true
      connect(connection, callback)
    }
  })
}
