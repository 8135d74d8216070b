import { createManualClock } from '@fuchsiastage/clock'
import type { TargetUpdate } from '@fuchsiastage/fleet'
import test from 'ava'
import { createTargetNews } from './target-news.js'

function createUpdate (key: string, orderCount: number, running: number, ageMilliseconds = 0): TargetUpdate {
  return {
    key,
    placement: { orderCount, models: [{ name: 'letters', adapters: [] }], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] },
    load: { running, waiting: 0, cacheTokensUsed: 0, cacheTokens: 1_000 },
    ageMilliseconds
  }
}

test('only what has changed after a version is sent', async (t) => {
  const clock = createManualClock()
  const news = createTargetNews(clock)
  t.is(news.since(undefined), undefined)
  news.publish(3, [createUpdate('e1', 1, 0), createUpdate('e2', 1, 0)])
  const first = news.version()
  await clock.advance(200)
  news.publish(3, [createUpdate('e1', 2, 0), createUpdate('e2', 1, 4, 50)])
  t.snapshot({ whole: news.since(undefined), changes: news.since(first), none: news.since(news.version()) })
})

test('a measured load of a busy target is sent again, because its time counts; that of an idle target is not', async (t) => {
  const clock = createManualClock()
  const news = createTargetNews(clock)
  const updates = [createUpdate('idle', 1, 0), createUpdate('busy', 1, 2)]
  news.publish(3, updates)
  const first = news.version()
  await clock.advance(400)
  news.publish(3, updates)
  t.deepEqual(news.since(first)?.updates.map(({ key, placement, load }) => [key, placement, load?.running]), [['busy', undefined, 2]])
})

test('a relay passes on the changes with the numbers of the lease holder, and starts anew with its term', (t) => {
  const clock = createManualClock()
  const [holder, relay, daemon] = [createTargetNews(clock), createTargetNews(clock), createTargetNews(clock)]
  const transfer = (from: typeof holder, to: typeof holder): number => {
    const message = from.since(to.version())
    return message === undefined ? 0 : to.receive(message).length
  }
  holder.publish(3, [createUpdate('e1', 1, 0), createUpdate('e2', 1, 0)])
  t.is(transfer(holder, relay), 2)
  t.is(transfer(relay, daemon), 2)
  holder.publish(3, [createUpdate('e1', 2, 0), createUpdate('e2', 1, 0)])
  t.is(transfer(holder, relay), 1)
  t.is(transfer(relay, daemon), 1)
  t.is(transfer(relay, daemon), 0)
  t.deepEqual(daemon.version(), holder.version())

  const successor = createTargetNews(clock)
  successor.publish(9, [createUpdate('e3', 1, 0)])
  t.is(transfer(successor, relay), 1)
  t.deepEqual(relay.since(undefined)?.updates.map(({ key }) => key), ['e3'])
  t.is(transfer(holder, relay), 0)
})
