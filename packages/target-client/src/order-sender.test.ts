import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
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

type OrderListener = (request: IncomingMessage, response: ServerResponse) => void

const answerDone: OrderListener = (_request, response) => { response.writeHead(200).end(JSON.stringify({ kind: 'done' })) }

async function startEngine (t: ExecutionContext, headers: Readonly<Record<string, string>>, onOrder: OrderListener = answerDone) {
  let orders = 0
  const server = createServer((request, response) => {
    if (request.url === '/state') {
      response.writeHead(200, headers).end(JSON.stringify(state))
      return
    }
    orders++
    request.resume().on('end', () => onOrder(request, response))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, orders: () => orders }
}

const neverAborted = (): AbortSignal => new AbortController().signal

test('sends an order to the engine incarnation for which it is intended', async (t) => {
  const engine = await startEngine(t, {})
  const outcome = await sender.send({ address: engine.address, incarnation: 'first' }, order, neverAborted())
  t.deepEqual(outcome, { kind: 'done' })
  t.is(engine.orders(), 1)
})

test('does not send an order to an engine that was restarted after the intent record of the order was written', async (t) => {
  const engine = await startEngine(t, {})
  const outcome = await sender.send({ address: engine.address, incarnation: 'earlier' }, order, neverAborted())
  t.is(outcome.kind, 'not-sent')
  t.is(engine.orders(), 0)
})

test('does not open a second connection when the first one was closed after the state was read', async (t) => {
  const engine = await startEngine(t, { connection: 'close' })
  const outcome = await sender.send({ address: engine.address, incarnation: 'first' }, order, neverAborted())
  t.is(outcome.kind, 'not-sent')
  t.is(engine.orders(), 0)
})

test('a refused connection proves that the order was not sent', async (t) => {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await new Promise((resolve) => server.close(resolve))
  t.is((await sender.send({ address, incarnation: 'first' }, order, neverAborted())).kind, 'not-sent')
})

test('an order has an unknown outcome and is not written twice when its connection is reset before or during the response', async (t) => {
  for (const firstBytes of ['', 'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{"ki']) {
    const engine = await startEngine(t, {}, (request) => request.socket.write(firstBytes, () => request.socket.resetAndDestroy()))
    t.is((await sender.send({ address: engine.address, incarnation: 'first' }, order, neverAborted())).kind, 'unknown')
    t.is(engine.orders(), 1)
  }
})

test('a response to an order is accepted only if its status and body match; any other response is unknown', async (t) => {
  const cases: ReadonlyArray<readonly [number, unknown, unknown]> = [
    [200, { kind: 'done' }, { kind: 'done' }],
    [409, { kind: 'refused-token', currentToken: 9 }, { kind: 'refused-token', currentToken: 9 }],
    [422, { kind: 'failed', reason: 'memory' }, { kind: 'failed', reason: 'memory' }],
    [500, { kind: 'done' }, undefined],
    [200, { kind: 'failed', reason: 'memory' }, undefined],
    [503, {}, undefined]
  ]
  for (const [status, body, expected] of cases) {
    const engine = await startEngine(t, {}, (_request, response) => { response.writeHead(status).end(JSON.stringify(body)) })
    const outcome = await sender.send({ address: engine.address, incarnation: 'first' }, order, neverAborted())
    if (expected === undefined) t.is(outcome.kind, 'unknown')
    else t.deepEqual(outcome as unknown, expected)
  }
})

test('a response with the id of another order is not accepted', async (t) => {
  const engine = await startEngine(t, {}, (_request, response) => { response.writeHead(200, { 'x-request-id': 'other' }).end(JSON.stringify({ kind: 'done' })) })
  t.is((await sender.send({ address: engine.address, incarnation: 'first' }, order, neverAborted())).kind, 'unknown')
})

test('cancelling before the order is written proves that nothing was sent; cancelling afterwards does not', async (t) => {
  const early = new AbortController()
  early.abort()
  const engine = await startEngine(t, {}, () => undefined)
  t.is((await sender.send({ address: engine.address, incarnation: 'first' }, order, early.signal)).kind, 'not-sent')
  t.is(engine.orders(), 0)
  const later = new AbortController()
  const sent = sender.send({ address: engine.address, incarnation: 'first' }, order, later.signal)
  while (engine.orders() === 0) await new Promise((resolve) => setImmediate(resolve))
  later.abort()
  t.is((await sent).kind, 'unknown')
})
