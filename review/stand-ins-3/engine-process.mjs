import { createEngineServer } from './engine-server.mjs'

// A model server as a process of its own, so that it can be stopped and continued. It tells its parent what it registers and records.
const { models, names, ...options } = JSON.parse(process.env.ENGINE)
const server = createEngineServer({
  ...options,
  models: new Map(models.map((model) => [model.name, model])),
  store: { put: (topic, key, value) => process.send({ kind: 'put', topic, key, value }) },
  record: { add: (kind, details) => process.send({ kind: 'record', event: kind, details, at: Date.now() }) }
})
process.on('disconnect', () => process.exit(0))
await server.startWith(names)
process.send({ kind: 'started' })
