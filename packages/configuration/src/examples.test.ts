import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import test from 'ava'
import type { ConfigurationPatch, JsonValue } from '@fuchsiastage/types'
import { checkPatch, findOutcome, foldConfiguration, indexConfiguration, readCaller, readRule } from './index.js'

const examples = new URL('../../../examples/', import.meta.url)

for (const [deployment, modelCount] of [['renewal-office', 40], ['co-operative', 25]] as const) {
  test(`the initial patch of the example ${deployment} is accepted`, (t) => {
    const patch = JSON.parse(readFileSync(new URL(`${deployment}/configuration.json`, examples), 'utf8')) as ConfigurationPatch
    t.is(checkPatch(patch), undefined)
    const state = foldConfiguration([{ recordId: 'r', kind: 'patch', formatVersion: 1, patch: patch as unknown as JsonValue }])
    t.deepEqual(findOutcome(state, patch.patchId)?.outcome, { kind: 'accepted', version: 1, rebased: false })
    const { models, adapters, roles, services, callers } = indexConfiguration(state.document)
    t.is(models.size, modelCount)
    t.is(adapters.size, 80)
    t.true([...models.values()].every(({ memoryMegabytes }) => memoryMegabytes >= 8_000 && memoryMegabytes <= 40_000))
    t.true([...models.keys(), ...adapters.keys()].every((name) => readRule(state.document, name) !== undefined))
    t.true([...roles.values()].every(({ kind, memoryMegabytes }) => kind === 'service' || (memoryMegabytes >= 80_000 && memoryMegabytes <= 160_000)))
    t.true([...services.values()].every(({ nonIdempotent }) => nonIdempotent.length === 2))
    t.deepEqual(new Set([...callers.values()].map(({ priority }) => priority)), new Set(['urgent', 'normal', 'bulk']))
    // The README states each caller's token.
    const readme = readFileSync(new URL(`${deployment}/README.md`, examples), 'utf8')
    const tokens = [...readme.matchAll(/\| `(example-token-[a-z-]+)` \|/g)].map(([, token]) => token ?? '')
    const named = tokens.map((token) => readCaller(state.document, createHash('sha256').update(token).digest('hex'))?.name)
    t.deepEqual(named.sort(), [...callers.keys()].sort())
  })
}
