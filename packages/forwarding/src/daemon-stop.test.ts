import { createManualClock } from '@fuchsiastage/clock'
import test from 'ava'
import { createDaemonStop } from './daemon-stop.js'

// A request whose body arrived only after the others had been ended could wait for the log service until the process ended.
test('a request that begins after the requests in progress were ended is ended at once', (t) => {
  const stop = createDaemonStop({ clock: createManualClock(), hasServingPeer: () => true })
  const ended: string[] = []
  stop.onRequestsEnded(() => ended.push('before'))
  stop.onRequestsEnded(() => ended.push('released'))()
  stop.end()
  stop.endRequests()
  t.deepEqual(ended, ['before'])
  stop.onRequestsEnded(() => ended.push('after'))
  t.deepEqual(ended, ['before', 'after'])
})
