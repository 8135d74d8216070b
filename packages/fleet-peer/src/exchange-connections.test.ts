import { createServer, type AddressInfo, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { createExchangeConnections, type ExchangeConnection, type ExchangeConnections } from './exchange-connections.js'

const UNANSWERED_MILLISECONDS = 400
const GIVE_UP_MILLISECONDS = 60

/** A peer that answers the first messages, and no later ones. */
async function startPeer (t: ExecutionContext, answeredMessages: number): Promise<{ readonly address: string, readonly sockets: readonly Socket[] }> {
  const sockets: Socket[] = []
  let answered = 0
  const server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => undefined)
    socket.on('data', () => { if (answered++ < answeredMessages) socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}') })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets }
}

function createConnections (t: ExecutionContext): ExchangeConnections {
  const connections = createExchangeConnections({ connectMilliseconds: 5_000, unansweredMilliseconds: UNANSWERED_MILLISECONDS, keepAliveMilliseconds: 10_000 })
  t.teardown(connections.close)
  return connections
}

const pause = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

/** Sends a message and gives it up after a time, as the exchange does. */
async function send (connection: ExchangeConnection | undefined): Promise<'busy' | 'answered' | 'given-up'> {
  if (connection === undefined) return 'busy'
  const response = connection.dispatcher.request({ path: '/sync', method: 'POST', body: 'x' }).then(async ({ body }) => {
    await body.dump()
    connection.settle(true)
    return 'answered' as const
  }, () => {
    connection.settle(false)
    return 'given-up' as const
  })
  const outcome = await Promise.race([response, pause(GIVE_UP_MILLISECONDS).then(() => 'given-up' as const)])
  if (outcome === 'given-up') connection.giveUp()
  return outcome
}

test('messages to a peer that is late to accept connections wait for one connection instead of opening more', async (t) => {
  const { address, sockets } = await startPeer(t, 0)
  const connections = createConnections(t)
  const outcomes: string[] = []
  for (let message = 0; message < 4; message++) outcomes.push(await send(connections.take(address)))
  t.deepEqual(outcomes, ['given-up', 'busy', 'busy', 'busy'])
  t.is(sockets.length, 1)
})

test('a new connection without a response is replaced after a time', async (t) => {
  const { address, sockets } = await startPeer(t, 0)
  const connections = createConnections(t)
  await send(connections.take(address))
  await pause(UNANSWERED_MILLISECONDS)
  await send(connections.take(address))
  t.is(sockets.length, 2)
})

test('a connection that falls silent after a response is replaced for the next message', async (t) => {
  const { address, sockets } = await startPeer(t, 2)
  const connections = createConnections(t)
  const outcomes: string[] = []
  for (let message = 0; message < 4; message++) outcomes.push(await send(connections.take(address)))
  t.deepEqual(outcomes, ['answered', 'answered', 'given-up', 'given-up'])
  t.is(sockets.length, 2)
})
