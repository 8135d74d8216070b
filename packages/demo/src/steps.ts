import type { Clock } from '@fuchsiastage/clock'
import type { RunningProcesses } from '@fuchsiastage/stand-ins'
import { request } from 'undici'
import { requestEntries, isCompleteStream, createIdempotencyKey, sendRequest, type CallerResponse } from './caller.js'
import type { Example } from './example.js'

export interface DemoContext {
  readonly clock: Clock
  readonly example: Example
  readonly processes: RunningProcesses
  readonly print: (text: string) => void
  /** Prints an expected fact and records whether it holds. */
  readonly check: (isMet: boolean, fact: string) => void
}

/** Time within which an accepted version must be in force at every daemon. */
const IN_FORCE_LIMIT_MILLISECONDS = 12_000
const POLL_MILLISECONDS = 100
const INITIAL_PATCH_ATTEMPTS = 60

interface OperatorResponse {
  readonly status: number
  readonly body: { readonly kind?: string, readonly version?: number, readonly reason?: string, readonly [field: string]: unknown }
}

/** Sends a request to the operator API of a daemon. */
export async function callOperatorApi (context: Pick<DemoContext, 'example'>, daemon: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<OperatorResponse> {
  const settings = context.example.settings.get(daemon)
  if (settings === undefined) throw new Error(`no settings for ${daemon}`)
  const response = await request(`http://${settings.listen.operators}${path}`, {
    method,
    headers: { authorization: `Bearer ${settings.operators.token}`, 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body)
  })
  return { status: response.statusCode, body: await response.body.json() as OperatorResponse['body'] }
}

function daemonNames (context: Pick<DemoContext, 'example'>): readonly string[] {
  return [...context.example.settings.keys()]
}

function entryAddress (context: DemoContext, daemon: string): string {
  return context.example.settings.get(daemon)?.listen.callers ?? ''
}

const formatMilliseconds = (milliseconds: number): string => `${Math.round(milliseconds)} ms`

/** Submits the initial configuration. Retries while the outcome is undecided, because the daemons can accept it only after they have discovered each other. */
export async function submitInitialPatch (context: Pick<DemoContext, 'clock' | 'example' | 'print' | 'check'>): Promise<void> {
  const startedAt = context.clock.now()
  for (let attempt = 0; attempt < INITIAL_PATCH_ATTEMPTS; attempt++) {
    const response = await callOperatorApi(context, 'entry-1', 'POST', '/configuration/patches', context.example.initialPatch)
    if (response.status !== 202) {
      context.check(response.status === 200, `initial configuration accepted as version ${response.body.version ?? '-'} after ${formatMilliseconds(context.clock.now() - startedAt)}`)
      break
    }
    await context.clock.sleep(POLL_MILLISECONDS)
  }
  await waitUntilInForce(context, 1)
}

/** Polls all daemons until the version is in force at each of them. */
async function waitUntilInForce (context: Pick<DemoContext, 'clock' | 'example' | 'print' | 'check'>, version: number): Promise<void> {
  const startedAt = context.clock.now()
  const timesInForce = new Map<string, number>()
  while (timesInForce.size < daemonNames(context).length && context.clock.now() - startedAt < IN_FORCE_LIMIT_MILLISECONDS) {
    await Promise.all(daemonNames(context).filter((daemon) => !timesInForce.has(daemon)).map(async (daemon) => {
      const { body } = await callOperatorApi(context, daemon, 'GET', '/configuration/version')
      if (Number(body.version) >= version) timesInForce.set(daemon, context.clock.now() - startedAt)
    }))
    if (timesInForce.size < daemonNames(context).length) await context.clock.sleep(POLL_MILLISECONDS / 2)
  }
  for (const [daemon, time] of timesInForce) context.print(`    ${daemon}: version ${version} in force ${formatMilliseconds(time)} after the response to the operator`)
  context.check(timesInForce.size === daemonNames(context).length, `version ${version} is in force at ${timesInForce.size} of ${daemonNames(context).length} daemons within ${formatMilliseconds(IN_FORCE_LIMIT_MILLISECONDS)}`)
}

export async function showEntries (context: DemoContext): Promise<void> {
  const entryList = await requestEntries(entryAddress(context, 'entry-1'))
  for (const { address, dataCentre } of entryList.entries) context.print(`    ${address} in ${dataCentre}`)
  context.check(entryList.entries.length > 0, `${entryList.entries.length} entry addresses, which callers may cache for ${formatMilliseconds(entryList.keepMilliseconds)}`)
}

async function requestDraft (context: DemoContext, address: string, tokens: number): Promise<CallerResponse> {
  const { model, modelToken, prompt } = context.example
  return await sendRequest(context.clock, { address, path: '/v1/completions', token: modelToken, body: { model, prompt, stream: true, max_tokens: tokens } })
}

/** Drafts a letter with a model that is not loaded, then again with the warm replica. */
export async function draftLetter (context: DemoContext): Promise<string> {
  const tokens = 40
  const cold = await requestDraft(context, entryAddress(context, 'entry-2'), tokens)
  context.check(cold.status === 200 && isCompleteStream(cold.text), `letter on a cold model: first token after ${formatMilliseconds(cold.firstByteMilliseconds)}, complete after ${formatMilliseconds(cold.totalMilliseconds)}`)
  const warm = await requestDraft(context, entryAddress(context, 'entry-3'), tokens)
  context.check(warm.status === 200 && isCompleteStream(warm.text), `letter on the warm replica through another entry: first token after ${formatMilliseconds(warm.firstByteMilliseconds)}, complete after ${formatMilliseconds(warm.totalMilliseconds)}`)
  return String(cold.headers['x-request-id'])
}

/** Counts how often the services ran the call with an idempotency key. */
async function countRuns (context: DemoContext, key: string): Promise<number> {
  const { description, serviceRole } = context.example
  const counts = await Promise.all(description.vms.filter(({ role }) => role === serviceRole).map((vm) => context.processes.counts(vm.name)))
  return counts.reduce((sum, count) => sum + ((count.runsByKey as Readonly<Record<string, number>> | undefined)?.[key] ?? 0), 0)
}

/** Sends the same non-idempotent call twice with one idempotency key, through two entries. */
export async function sendCallTwice (context: DemoContext): Promise<string> {
  const { servicePath: path, serviceToken: token, serviceBody: body } = context.example
  const idempotencyKey = createIdempotencyKey(context.clock.wallNow())
  const first = await sendRequest(context.clock, { address: entryAddress(context, 'entry-4'), path, token, body, idempotencyKey })
  const second = await sendRequest(context.clock, { address: entryAddress(context, 'entry-5'), path, token, body, idempotencyKey })
  context.print(`    first response ${first.status} after ${formatMilliseconds(first.totalMilliseconds)}, second ${second.status} after ${formatMilliseconds(second.totalMilliseconds)}, idempotent-replayed: ${String(second.headers['idempotent-replayed'])}`)
  const runs = await countRuns(context, idempotencyKey)
  context.check(first.status === 200 && second.status === 200 && first.text === second.text && runs === 1, `${path} sent twice with one idempotency key ran ${runs} time(s)`)
  return String(first.headers['x-request-id'])
}

function replicaLimitPatch (context: DemoContext, patchId: string, baseVersion: number, maximumReplicas: number): object {
  const key = `rule/${context.example.model}`
  const rule = context.example.initialPatch.changes.find((change) => change.key === key)?.value as object
  return { patchId, baseVersion, operator: 'demo', note: `replica limit ${maximumReplicas}`, changes: [{ key, value: { ...rule, maximumReplicas } }] }
}

/** Submits two patches that change the same field of the same base version; one must be accepted and one rejected. */
export async function racePatches (context: DemoContext): Promise<void> {
  const [left, right] = await Promise.all([
    callOperatorApi(context, 'entry-1', 'POST', '/configuration/patches', replicaLimitPatch(context, `demo-left-${context.clock.wallNow()}`, 1, 4)),
    callOperatorApi(context, 'entry-6', 'POST', '/configuration/patches', replicaLimitPatch(context, `demo-right-${context.clock.wallNow()}`, 1, 5))
  ])
  const outcomes = [left, right]
  const accepted = outcomes.filter(({ status }) => status === 200)
  const rejected = outcomes.filter(({ status }) => status === 409)
  for (const { body } of rejected) context.print(`    rejected: ${body.reason ?? ''} ${JSON.stringify(body.conflicts)}`)
  context.check(accepted.length === 1 && rejected.length === 1, `of two concurrent patches one is accepted (version ${accepted[0]?.body.version ?? '-'}) and one is rejected with a conflict`)
  await waitUntilInForce(context, Number(accepted[0]?.body.version ?? 0))
}

interface SteadyLoadResult {
  readonly sent: number
  readonly failures: readonly string[]
}

/** Runs callers that send streams and calls until the signal aborts, and that cache the entry list for as long as it is valid. */
async function runSteadyLoad (context: DemoContext, signal: AbortSignal): Promise<SteadyLoadResult> {
  const { servicePath: path, serviceToken: token, serviceBody: body } = context.example
  const failures: string[] = []
  let sent = 0
  const caller = async (index: number): Promise<void> => {
    let entryList = await requestEntries(entryAddress(context, 'entry-1'))
    let requestedAt = context.clock.now()
    for (let iteration = 0; !signal.aborted; iteration++) {
      if (context.clock.now() - requestedAt >= entryList.keepMilliseconds) {
        entryList = await requestEntries(entryAddress(context, 'entry-1'))
        requestedAt = context.clock.now()
      }
      const address = entryList.entries[(index + iteration) % entryList.entries.length]?.address ?? ''
      sent++
      try {
        const response = index % 2 === 0
          ? await requestDraft(context, address, 30)
          : await sendRequest(context.clock, { address, path, token, body, idempotencyKey: createIdempotencyKey(context.clock.wallNow()) })
        const isComplete = index % 2 === 1 || isCompleteStream(response.text)
        if (response.status !== 200 || !isComplete) failures.push(`${address}: ${response.status} ${response.text.slice(0, 300)}`)
      } catch (reason) {
        failures.push(`${address}: ${reason instanceof Error ? reason.message : String(reason)}`)
      }
      await context.clock.sleep(POLL_MILLISECONDS * 2)
    }
  }
  await Promise.all(Array.from({ length: 8 }, (_, index) => caller(index)))
  return { sent, failures }
}

/** Stops one daemon as planned while callers use it until their cached entry lists expire. */
export async function stopGracefully (context: DemoContext): Promise<void> {
  const stopLoad = new AbortController()
  const load = runSteadyLoad(context, stopLoad.signal)
  await context.clock.sleep(2_000)
  const { entries } = await requestEntries(entryAddress(context, 'entry-1'))
  const stopped = daemonNames(context).find((daemon) => daemon !== 'entry-1' && entries.some(({ address }) => address === entryAddress(context, daemon))) ?? 'entry-2'
  const startedAt = context.clock.now()
  const exit = await context.processes.stop(stopped)
  context.print(`    ${stopped} ended with code ${exit.code} after ${formatMilliseconds(context.clock.now() - startedAt)}`)
  stopLoad.abort()
  const { sent, failures } = await load
  for (const failure of failures.slice(0, 5)) context.print(`    failed: ${failure}`)
  context.check(exit.code === 0 && failures.length === 0, `planned stop of ${stopped} under load: ${sent} requests, ${failures.length} cut off or refused`)
  const after = await requestEntries(entryAddress(context, 'entry-1'))
  context.check(after.entries.every(({ address }) => address !== entryAddress(context, stopped)), `${stopped} is no longer in the entry list`)
}
