import { createServer, type AddressInfo } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { RESUMABLE, SAFE, STREAM, UNSAFE } from './forwarder-fixture.test-helper.js'
import { relayFrom } from './relay-from.test-helper.js'

async function startTarget (t: ExecutionContext, head: string): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => socket.end(`${head}\r\nId: r1\r\nSeal: s.1\r\nContent-Length: 2\r\n\r\nok`))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => { server.close() })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

const INVALID = ['000 None', '099 None', '100 Continue', '101 Switching Protocols', '102 Processing', '199 None', '600 None', '999 None', '1000 None', '-200 None', '+200 None', '2x0 None', '20 None', '', 'OK']

// At another operator a target in trouble answered with status 000, and the client got it as an answer.
for (const version of ['HTTP/1.1', 'HTTP/1.0']) {
  test(`an answer of ${version} whose status is not that of a final response is no answer`, async (t) => {
    for (const status of INVALID) {
      const address = await startTarget(t, `${version} ${status}`)
      for (const kind of [SAFE, UNSAFE, STREAM, RESUMABLE]) {
        const { outcome, received } = await relayFrom(address, kind)
        t.deepEqual([outcome.kind === 'failed' && outcome.failure, received], [{ kind: 'invalid' }, undefined], `${status}: ${JSON.stringify(outcome)}`)
      }
    }
  })
}
