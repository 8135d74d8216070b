import { createServer, type AddressInfo } from 'node:net'
import { createSystemClock } from '@fuchsiastage/clock'
import test from 'ava'
import { createTargetProbe } from './probe-target.js'

test('a target that accepts connections is reached, however long this process was busy meanwhile', async (t) => {
  const clock = createSystemClock()
  const server = createServer((socket) => socket.destroy())
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const { port } = server.address() as AddressInfo
  const result = createTargetProbe({ connectMilliseconds: 50 })(`127.0.0.1:${port}`)
  // The system establishes the connection without the process.
  for (const busyUntil = clock.now() + 200; clock.now() < busyUntil;);
  t.true(await result)
})
