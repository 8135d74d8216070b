import { z } from 'zod'

const duration = z.union([z.number(), z.string().regex(/^\d+(\.\d+)?(ms|s|m)$/)]).transform((value) => {
  if (typeof value === 'number') return value
  const amount = Number.parseFloat(value)
  return value.endsWith('ms') ? amount : value.endsWith('s') ? amount * 1_000 : amount * 60_000
})
const name = z.string().min(1)

const role = z.strictObject({
  kind: z.enum(['engine', 'service']),
  fencing: z.enum(['checked', 'ignored']).default('checked'),
  /** Accelerator memory of each target, in megabytes. */
  memory: z.number().default(40_000),
  /** Maximum number of concurrent requests at each target. */
  concurrent: z.number().int().default(8)
})
const model = z.strictObject({
  role: name.default('drafter'),
  /** Accelerator memory of a replica, in megabytes. */
  memory: z.number().default(12_000),
  /** Size of the weights, in megabytes. */
  weights: z.number().default(10_000),
  dataCentres: z.array(name).default(['van-a', 'van-b']),
  /** Maximum number of replicas. */
  maximum: z.number().int().default(2),
  /** Minimum number of replicas that stay loaded. */
  warm: z.number().int().default(0)
})
const adapter = z.strictObject({
  model: name,
  memory: z.number().default(500),
  weights: z.number().default(400),
  dataCentres: z.array(name).default(['van-a', 'van-b']),
  maximum: z.number().int().default(2)
})
const service = z.strictObject({
  role: name.default('ledger'),
  dataCentres: z.array(name).default(['van-a', 'van-b']),
  nonIdempotent: z.array(name).default(['POST /payouts'])
})
const caller = z.strictObject({
  priority: z.enum(['urgent', 'normal', 'bulk']).default('normal'),
  concurrent: z.number().int().default(1_000),
  perSecond: z.number().default(1_000),
  deadline: duration.default(120_000)
})
const target = z.strictObject({ role: name, dataCentre: name })

/** Deployment of a scenario. The defaults describe a small standard deployment. */
export const deploymentSchema = z.strictObject({
  daemons: z.record(name, name).default({ 'entry-1': 'van-a', 'entry-2': 'van-b', 'entry-3': 'van-a', 'entry-4': 'van-b' }),
  dataCentres: z.array(name).default(['van-a', 'van-b', 'vic-a']),
  unverified: z.enum(['refuse', 'serve-with-majority']).default('serve-with-majority'),
  memberListDifference: z.number().int().default(0),
  claimPartitions: z.number().int().default(2),
  snapshotEveryRecords: z.number().int().default(1_000),
  /** Delay after which a change of the VM list is visible to the daemons. */
  listLag: duration.default(0),
  /** Time to generate one token. */
  tokenTime: duration.default(50),
  /** Duration of a call to a plain service. */
  callTime: duration.default(100),
  /** Megabytes of weights that an engine loads per second. */
  loadRate: z.number().default(2_000),
  roles: z.record(name, role.prefault({ kind: 'engine' })).default({}),
  targets: z.record(name, target).default({
    'drafter-1': { role: 'drafter', dataCentre: 'van-a' },
    'drafter-2': { role: 'drafter', dataCentre: 'van-b' },
    'drafter-3': { role: 'drafter', dataCentre: 'van-a' },
    'ledger-1': { role: 'ledger', dataCentre: 'van-a' },
    'ledger-2': { role: 'ledger', dataCentre: 'van-b' }
  }),
  models: z.record(name, model).default({}),
  adapters: z.record(name, adapter).default({}),
  services: z.record(name, service).default({}),
  callers: z.record(name, caller).default({})
})

const requestFields = {
  caller: name.default('office'),
  model: name.optional(),
  /** Path of a plain service under `/services/`, for example `ledger/payouts`. */
  service: name.optional(),
  method: z.string().default('POST'),
  /** Name of an idempotency key; requests with the same name send the same key. */
  key: name.optional(),
  /** Age of the key's timestamp when the key is first used; a negative age puts the timestamp into the future. */
  keyAge: duration.default(0),
  /** Content of the body; the default is the name of the request. A request that reuses a key with a different content is rejected. */
  body: name.optional(),
  stream: z.boolean().default(false),
  tokens: z.number().int().default(8),
  deadline: duration.default(30_000)
}

/**
 * Name of a daemon, or one of: `$holder` for the placement lease holder, `$other` and `$other2` for
 * the first and second running daemon that is not the holder, `$owner:KEY` for the owner of the claim
 * partition of a key.
 */
const daemon = name

const requestAction = z.strictObject({ name, at: daemon, ...requestFields })
const burstAction = z.strictObject({ name, at: z.union([z.literal('all'), daemon]).default('all'), count: z.number().int(), every: duration.default(0), ...requestFields })
const clientsAction = z.strictObject({ name, count: z.number().int().default(1), every: duration, for: duration, ...requestFields })
const patchAction = z.strictObject({ name, at: daemon, base: z.number().int().optional(), changes: z.record(name, z.json()), timeout: duration.default(20_000) })
const targetAction = z.strictObject({
  name,
  frozen: z.boolean().optional(),
  slowness: z.number().optional(),
  crossedAnswers: z.number().int().optional(),
  cutStreamsAt: z.number().int().optional(),
  refusesResume: z.boolean().optional(),
  repeatedEvents: z.number().int().optional(),
  lostEvent: z.number().int().optional(),
  failedLoads: z.number().int().optional(),
  hidesLeaving: z.boolean().optional(),
  leaving: z.boolean().optional(),
  restart: z.boolean().optional()
})
const logAction = z.strictObject({
  state: z.enum(['up', 'down']).optional(),
  /** Number of next appends that take effect but whose reply is lost. */
  loseReplies: z.number().int().optional(),
  /** Number of next appends that are lost before they take effect. */
  loseRequests: z.number().int().optional(),
  /** Expires all records of the stream except the newest `keep` ones. */
  expire: z.strictObject({ stream: name, keep: z.number().int().default(0) }).optional(),
  /** Expires the records before the newest snapshot of the stream that covers all of them. */
  expireToSnapshot: name.optional()
})

const triggerPoint = z.enum(['append', 'appended', 'order', 'order-answer', 'request', 'request-answer', 'call', 'call-answer', 'peer'])

const range = z.union([z.number().int(), z.strictObject({ min: z.number().int().optional(), max: z.number().int().optional() })])

/**
 * Expected state at one point of a scenario. Outcomes are `done`, `not-run`, `unknown`, `broken`,
 * `incomplete`, `refused` and `open`, optionally followed by `/code`, or by `/replay` for a replayed response.
 */
const expectations = z.strictObject({
  outcomes: z.record(name, z.union([name, z.array(name)])).optional(),
  /** Number of requests with each outcome, by burst or client group. */
  groups: z.record(name, z.record(name, range)).optional(),
  keyRuns: z.record(name, range).optional(),
  runs: z.record(name, range).optional(),
  replicas: z.record(name, range).optional(),
  patches: z.record(name, z.union([name, z.array(name)])).optional(),
  versions: z.record(name, z.number().int()).optional(),
  placementEpoch: range.optional(),
  events: z.record(name, range).optional(),
  /** The median latency of the first group must not exceed that of the second. */
  fasterThan: z.tuple([name, name]).optional()
})

const namePair = z.tuple([name, name])

const actionSchemas = {
  request: requestAction,
  burst: burstAction,
  clients: clientsAction,
  patch: patchAction,
  kill: name,
  pause: daemon,
  resume: daemon,
  start: name,
  stop: daemon,
  cut: z.array(namePair),
  heal: z.union([z.literal('all'), z.array(namePair)]),
  log: logAction,
  target: targetAction,
  list: z.strictObject({ vm: name, state: z.enum(['live', 'leaving', 'absent']) }),
  expect: expectations
}
const optionalActions = Object.fromEntries(Object.entries(actionSchemas).map(([key, schema]) => [key, schema.optional()]))
const hasOneKey = (step: object): boolean => Object.keys(step).length === 1
const ONE_KEY_MESSAGE = 'a step must have exactly one field, which names the action'

const actionSchema = z.strictObject(optionalActions).refine(hasOneKey, ONE_KEY_MESSAGE) as unknown as z.ZodType<Action>
const whenStep = z.strictObject({
  point: triggerPoint,
  daemon: daemon.optional(),
  /** Kind of the record or order, or name of the message; the name of the target or receiving peer also matches. */
  kind: name.optional(),
  /** Runs the actions at the nth matching event. */
  nth: z.number().int().default(1),
  do: z.array(actionSchema)
})
const stepSchema = z.strictObject({ ...optionalActions, advance: duration.optional(), when: whenStep.optional() }).refine(hasOneKey, ONE_KEY_MESSAGE) as unknown as z.ZodType<Step>

type Fields = { readonly [Key in keyof typeof actionSchemas]: z.output<(typeof actionSchemas)[Key]> }

/** An action that takes effect immediately; exactly one field is set. */
export type Action = { readonly [Key in keyof Fields]?: Fields[Key] }

export type WhenStep = z.output<typeof whenStep>
export type Step = Action & { readonly advance?: number, readonly when?: WhenStep }
export type Deployment = z.output<typeof deploymentSchema>
export type RequestFields = Omit<z.output<typeof requestAction>, 'name' | 'at'>
export type Expectations = z.output<typeof expectations>
export type Range = z.output<typeof range>

/** Content of a scenario file. */
export const scenarioSchema = z.strictObject({
  title: name,
  guarantees: z.array(z.number().int().min(1).max(9)).min(1),
  seed: z.number().int().default(1),
  deployment: deploymentSchema.prefault({}),
  steps: z.array(stepSchema),
  expect: expectations.default({})
})

export type Scenario = z.output<typeof scenarioSchema>

/**
 * Returns the fields of a request, with defaults for those that are not given.
 *
 * @example
 * const fields = requestDefaults({ model: 'letter' })
 */
export function requestDefaults (fields: Partial<z.input<typeof requestAction>>): RequestFields {
  const { name: _name, at: _at, ...rest } = requestAction.parse({ name: 'request', at: 'entry-1', ...fields })
  return rest
}
