import { request as sendHttp } from 'node:http'
import { randomBytes } from 'node:crypto'
import { FRONT_PORT } from './deployment.mjs'
import { sleep } from './record.mjs'

/** Sends one attempt and reads its events; resolves when its channel or its answer has ended. */
async function attempt ({ host, hostHeader, path, id, body, headers, deadlineMilliseconds, onEvent }) {
  return await new Promise((resolve) => {
    let text = ''
    let status
    const request = sendHttp({
      host, port: FRONT_PORT, method: 'POST', path, agent: false,
      headers: { Host: hostHeader, 'X-Fuchsiastage-Attempt-Id': id, 'X-Fuchsiastage-Deadline-Ms': String(deadlineMilliseconds), 'Content-Length': String(body.length), ...headers }
    })
    const timer = setTimeout(() => request.destroy(new Error('time is up')), deadlineMilliseconds)
    const end = (result) => { clearTimeout(timer); resolve({ status, ...result }) }
    request.on('error', (error) => end({ isComplete: false, reason: error.message }))
    request.on('response', (response) => {
      status = response.statusCode
      response.on('data', (bytes) => {
        if (status !== 200) return
        text += bytes.toString()
        for (let position = text.indexOf('\n\n'); position >= 0; position = text.indexOf('\n\n')) {
          onEvent(text.slice(0, position))
          text = text.slice(position + 2)
        }
      })
      response.on('end', () => end({ isComplete: status === 200 && response.complete, retryAfter: response.headers['retry-after'] }))
      response.on('error', (error) => end({ isComplete: false, reason: error.message }))
      response.on('aborted', () => end({ isComplete: false, reason: 'broken off' }))
    })
    request.end(body)
  })
}

/**
 * A client of a stream. After a broken channel it takes the stream up at another daemon, with `Last-Event-Id` and,
 * in `Resumes`, the attempt that brought the first event. Returns the events that it holds.
 */
export async function readStream ({ deployment, daemons, hostHeader, path, deadlineMilliseconds, tries, record }) {
  const events = []
  const until = performance.now() + deadlineMilliseconds
  let begunBy
  let daemon = Math.floor(Math.random() * daemons)
  const outcomes = []
  for (let attemptNumber = 0; attemptNumber < tries && performance.now() < until; attemptNumber++) {
    const id = randomBytes(8).toString('hex')
    const last = events.at(-1)
    const before = events.length
    record.add('client-sent', { attempt: id, daemon, after: last?.id ?? 0, ...last === undefined ? {} : { resumes: begunBy } })
    const result = await attempt({
      host: deployment.hostOf(daemon), hostHeader, path, id, body: Buffer.from('{}'), deadlineMilliseconds: Math.max(1, Math.round(until - performance.now())),
      headers: last === undefined ? {} : { 'Last-Event-Id': String(last.id), Resumes: begunBy },
      onEvent: (text) => {
        const event = { id: Number(/^id: (\d+)$/m.exec(text)?.[1]), ...JSON.parse(/^data: (.*)$/m.exec(text)?.[1] ?? '{}') }
        if (events.length === 0) begunBy = id
        events.push(event)
      }
    })
    outcomes.push(`${result.status ?? 'none'}${result.isComplete ? '' : ` ${result.reason ?? ''}`}`)
    record.add('client-got', { attempt: id, status: result.status ?? null, complete: result.isComplete, events: events.slice(before).map((event) => `${event.id}:${event.software}`).join(' ') })
    if (result.isComplete) return { events, outcomes, isComplete: true }
    daemon = (daemon + 1) % daemons
    await sleep(result.retryAfter === undefined ? 20 : Math.min(1_000 * Number(result.retryAfter), (until - performance.now()) / 3))
  }
  return { events, outcomes, isComplete: false }
}
