import { createError } from '@fuchsiastage/errors'
import type { LoadOrder, OrderOutcome, UnloadOrder } from '@fuchsiastage/types'
import { err, ok } from 'true-myth/result'
import type { PlacementEngineClient } from '../index.js'
import type { FakeEngine } from './fake-engine.js'

/**
 * Fault of the connection to the engines. `hold`: the sender is suspended before the first byte until
 * the test delivers the order. `lose-response`: the order arrives and its response is lost.
 * `lose-order`: the connection breaks and the order never arrives.
 */
export type OrderFault = 'none' | 'hold' | 'lose-response' | 'lose-order'

export interface HeldOrder {
  readonly target: string
  readonly order: LoadOrder | UnloadOrder
  readonly deliver: () => Promise<OrderOutcome>
}

export interface FakeClient extends PlacementEngineClient {
  readonly setFault: (fault: OrderFault) => void
  readonly held: () => readonly HeldOrder[]
  /** Delivers the oldest held order, or the newest one if `last` is set. */
  readonly deliverNext: (last?: boolean) => void
}

/** Creates the client through which one daemon reaches the fake engines. */
export function createFakeClient (engines: ReadonlyMap<string, FakeEngine>): FakeClient {
  let fault: OrderFault = 'none'
  const held: HeldOrder[] = []

  const untilAborted = (signal: AbortSignal): Promise<OrderOutcome> => new Promise((resolve) => {
    const abort = (): void => resolve({ kind: 'unknown', reason: 'aborted' })
    if (signal.aborted) abort()
    else signal.addEventListener('abort', abort)
  })

  const sendOrder: PlacementEngineClient['sendOrder'] = async (target, order, signal) => {
    const engine = engines.get(target.name)
    if (engine === undefined) return { kind: 'not-sent', reason: 'no such engine' }
    switch (fault) {
      case 'none':
        return await Promise.race([engine.receive(order, target.incarnation), untilAborted(signal)])
      case 'lose-response':
        void engine.receive(order, target.incarnation)
        return { kind: 'unknown', reason: 'response lost' }
      case 'lose-order':
        return { kind: 'unknown', reason: 'connection lost' }
      case 'hold': {
        let resolveResponse: (outcome: OrderOutcome) => void = () => {}
        const response = new Promise<OrderOutcome>((resolve) => { resolveResponse = resolve })
        held.push({
          target: target.name,
          order,
          deliver: async () => {
            const outcome = await engine.receive(order, target.incarnation)
            resolveResponse(outcome)
            return outcome
          }
        })
        return await Promise.race([response, untilAborted(signal)])
      }
    }
  }

  return {
    sendOrder,
    readState: async (target) => {
      const engine = engines.get(target.name)
      return engine === undefined || !engine.isReachable()
        ? err(createError({ code: 'target-unreachable', message: 'the engine does not respond', step: 'read-state', peer: target.name, status: 503 }))
        : ok(engine.state())
    },
    setFault: (value) => { fault = value },
    held: () => held,
    deliverNext: (last = false) => { void (last ? held.pop() : held.shift())?.deliver() }
  }
}
