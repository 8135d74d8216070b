import { createServer, type RequestListener } from 'node:http'
import type { AddressInfo } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { createSystemClock } from '@fuchsiastage/clock'
import type { LoadOrder } from '@fuchsiastage/types'
import { createOrderSender } from './index.js'

const order: LoadOrder = { kind: 'load', orderId: 'order-1', fencingToken: 3, model: 'renewal-letter', memoryMegabytes: 1, weightsMegabytes: 1 }

const sender = createOrderSender({ clock: createSystemClock(), connectTimeoutMilliseconds: 5_000, stateTimeoutMilliseconds: 5_000, maximumAnswerBytes: 65_536 })

const state = {
  kind: 'engine',
  incarnation: 'first',
  state: 'live',
  fencingToken: 0,
  memoryMegabytes: 1,
  models: [],
  executedOrders: [],
  cachedWeights: {},
  load: { running: 0, waiting: 0, capacity: 1, ageMilliseconds: 0 }
}

async function startEngine (t: ExecutionContext, headers: Readonly<Record<string, string>>) {
  let orders = 0
  const listener: RequestListener = (request, response) => {
    if (request.url === '/state') {
      response.writeHead(200, headers).end(JSON.stringify(state))
      return
    }
    orders++
    request.resume().on('end', () => response.writeHead(200).end(JSON.stringify({ kind: 'done' })))
  }
  const server = createServer(listener)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, orders: () => orders }
}

test('sends an order to the incarnation that the intent names', async (t) => {
  const engine = await startEngine(t, {})
  const outcome = await sender.send({ address: engine.address, incarnation: 'first' }, order, new AbortController().signal)
  t.deepEqual(outcome, { kind: 'done' })
  t.is(engine.orders(), 1)
})

test('does not send an order to an engine that was restarted after the intent was written', async (t) => {
  const engine = await startEngine(t, {})
  const outcome = await sender.send({ address: engine.address, incarnation: 'earlier' }, order, new AbortController().signal)
  t.is(outcome.kind, 'not-sent')
  t.is(engine.orders(), 0)
})

test('does not open a second connection when the first one was closed after the state was read', async (t) => {
  const engine = await startEngine(t, { connection: 'close' })
  const outcome = await sender.send({ address: engine.address, incarnation: 'first' }, order, new AbortController().signal)
  t.is(outcome.kind, 'not-sent')
  t.is(engine.orders(), 0)
})
