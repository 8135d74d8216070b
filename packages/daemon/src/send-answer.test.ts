import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { createSystemClock } from '@fuchsiastage/clock'
import test from 'ava'
import { keepConnectionsWithUnreadData } from './callers-server.js'
import { sendAnswer } from './send-answer.js'

test('an incomplete stream delivers its error event before the connection closes without the final chunk', async (t) => {
  const server = createServer((_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.write('id: 1\ndata: first\n\n')
    setImmediate(() => {
      response.write('event: error\ndata: {}\n\n')
      sendAnswer(response, { kind: 'streamed', complete: false }, 'request-1')
    })
  })
  t.teardown(() => { server.close() })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  client.write('GET / HTTP/1.1\r\nHost: test\r\n\r\n')
  let received = ''
  client.on('data', (chunk: Buffer) => { received += chunk.toString() })
  await once(client, 'close')
  t.true(received.includes('event: error'))
  t.false(received.includes('\r\n0\r\n'))
})

// Guards against resetting the connection of a request that arrives during a pause of the process: after
// the pause, Node.js handles the idle timeout of the connection before it reads the request.
test('a request that arrives while the process is paused for longer than the idle timeout gets a response', async (t) => {
  const clock = createSystemClock()
  const idleMilliseconds = 50
  const server = createServer((_request, response) => response.end('answer'))
  server.keepAliveTimeout = idleMilliseconds
  keepConnectionsWithUnreadData(server)
  t.teardown(() => { server.close() })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let received = ''
  client.on('data', (chunk: Buffer) => { received += chunk.toString() })
  client.on('error', () => undefined)
  const closed = once(client, 'close')
  const requestText = 'GET / HTTP/1.1\r\nHost: test\r\n\r\n'
  client.write(requestText)
  while (!received.includes('answer')) await once(client, 'data')
  client.write(requestText)
  // Blocks the event loop until the idle timeout of the connection has expired.
  for (const startedAt = clock.now(); clock.now() - startedAt < 40 * idleMilliseconds;);
  await closed
  t.is(received.split('answer').length - 1, 2)
})
