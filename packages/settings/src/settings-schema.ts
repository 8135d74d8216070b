import { z } from 'zod'
import { address, choice, decimal, integer, name, previousSecret, secret } from './setting-types.js'

/** Sections of a daemon's settings that occur once. The key names carry the units. */
export const settingsSections = {
  daemon: z.strictObject({
    name: name('Name of this VM in the VM list.'),
    region: name('Region of this VM.'),
    'data-centre': name('Data centre of this VM; a section `data-centre.<name>` must exist for it.')
  }),
  listen: z.strictObject({
    callers: address('Address for callers\' requests, health and metrics.'),
    operators: address('Address for operators: patches and status.'),
    peers: address('Address for the other daemons.')
  }),
  'log-service': z.strictObject({
    address: address('Address of the log service.'),
    'append-timeout-milliseconds': integer('Bound on the answer to an append.', { minimum: 1, default: 2_000 }),
    'read-margin-milliseconds': integer('Time added to the wait of a long poll before it counts as failed.', { minimum: 1, default: 2_000 }),
    'poll-milliseconds': integer('Longest wait of a read at the service.', { minimum: 1, maximum: 4_000, default: 2_000 }),
    'retry-milliseconds': integer('Pause before a failed read or append is repeated.', { minimum: 1, default: 500 }),
    'retention-milliseconds': integer('Time for which the service keeps records; snapshots are written each quarter of it.', { minimum: 60_000, default: 86_400_000 }),
    'snapshot-every-records': integer('Records after which a snapshot is written.', { minimum: 1, default: 1_000 }),
    'lease-renew-milliseconds': integer('Interval between renewals of a lease.', { minimum: 1, default: 3_000 }),
    'lease-doubt-milliseconds': integer('Time without a confirmed renewal after which a holder stops deciding.', { minimum: 1, default: 6_000 }),
    'lease-lapse-milliseconds': integer('Silence of a holder after which the first watcher tries to acquire.', { minimum: 1, default: 9_000 }),
    'lease-rank-delay-milliseconds': integer('Further silence for each rank among the watchers.', { minimum: 0, default: 1_500 })
  }),
  'vm-list': z.strictObject({
    address: address('Address of the VM list.'),
    'poll-milliseconds': integer('Interval between two reads of the list.', { minimum: 1, default: 2_000 }),
    'timeout-milliseconds': integer('Bound on one read.', { minimum: 1, default: 2_000 })
  }),
  peers: z.strictObject({
    key: secret('Key that daemons present to each other.'),
    'previous-key': previousSecret('Second key that is accepted. To rotate, give all daemons the new key here first, then swap the two, then remove the old one.'),
    'timeout-milliseconds': integer('Bound on a question to another daemon.', { minimum: 1, default: 1_000 })
  }),
  operators: z.strictObject({
    token: secret('Bearer token of operators.'),
    'previous-token': previousSecret('Second token that is accepted while operators change over.')
  }),
  'weight-store': z.strictObject({
    'loads-per-second': decimal('Loads that the weight store starts in a second.', { minimum: 0.01 }),
    'concurrent-loads': integer('Loads at once that the store serves at full speed.', { minimum: 1, default: 4 })
  }),
  configuration: z.strictObject({
    unverified: choice('What to do while the configuration cannot be verified: refuse new requests, or serve while a majority of the daemons answers.', ['refuse', 'serve-with-majority'], 'serve-with-majority'),
    'member-list-difference': integer('Number by which two daemons\' member lists may differ; added to a majority.', { default: 2 }),
    'pull-after-milliseconds': integer('Age of the verified read after which records are taken from peers.', { minimum: 1, maximum: 9_000, default: 5_000 }),
    'pull-interval-milliseconds': integer('Interval between two such pulls.', { minimum: 1, default: 1_000 }),
    'snapshot-rank-delay-milliseconds': integer('Further wait of each rank before it writes a snapshot.', { default: 30_000 })
  }),
  membership: z.strictObject({
    'probe-interval-milliseconds': integer('Interval between two probes of members.', { minimum: 1, default: 1_000 }),
    'probe-timeout-milliseconds': integer('Time after which other daemons are asked to probe.', { minimum: 1, default: 300 }),
    'suspect-milliseconds': integer('Time from suspect to failed.', { minimum: 1, default: 4_000 }),
    'target-poll-milliseconds': integer('Interval between two reads of an observed target\'s state.', { minimum: 1, default: 1_000 }),
    'target-news-milliseconds': integer('Age of the news of a target after which it gets no new work.', { minimum: 1, maximum: 3_000, default: 3_000 }),
    'target-sweep-milliseconds': integer('Interval between two full sweeps of target states.', { minimum: 1, default: 60_000 }),
    'entry-count': integer('Daemons listed for a caller.', { minimum: 1, default: 4 }),
    'entry-keep-milliseconds': integer('Time for which callers keep the list.', { minimum: 1, default: 10_000 }),
    'leaving-margin-milliseconds': integer('Added to that time before a leaving daemon stops accepting.', { default: 2_000 })
  }),
  claims: z.strictObject({
    'horizon-milliseconds': integer('Oldest age of an idempotency key; claims are remembered twice as long.', { minimum: 1_000, default: 3_600_000 }),
    partitions: integer('Number of claim streams; the same for all daemons, and fixed once claims exist.', { minimum: 1, default: 64 }),
    'appends-per-second': decimal('Batches that an owner appends in a second for one partition.', { minimum: 0.1, default: 3 }),
    'timeout-milliseconds': integer('Bound on a grant.', { minimum: 1, default: 5_000 })
  }),
  placement: z.strictObject({
    'usage-report-milliseconds': integer('Interval of usage reports to the placement holder.', { minimum: 1, default: 5_000 }),
    'order-timeout-milliseconds': integer('Time after which the outcome of an order counts as unknown.', { minimum: 1, default: 300_000 }),
    'reconcile-milliseconds': integer('Interval between two comparisons of reservations with target states.', { minimum: 1, default: 1_000 }),
    'load-megabytes-per-second': decimal('Rate at which one load at full speed is expected to progress.', { minimum: 1, default: 2_000 })
  }),
  'keep-warm': z.strictObject({
    'cold-start-weight': decimal('Weight of the cost of a cold start.', { default: 1 }),
    'idle-weight': decimal('Weight of the cost of idle accelerator time.', { default: 1 }),
    'interval-milliseconds': integer('Interval for which the policy decides.', { minimum: 1, default: 60_000 })
  }),
  routing: z.strictObject({
    'subset-size': integer('Targets of a role to which one daemon routes.', { minimum: 1, default: 16 }),
    'report-age-weight': decimal('Penalty for each second of a load report\'s age.', { default: 0.1 }),
    'prefix-hit-bonus': decimal('Reduction of the score for a cached prompt prefix.', { default: 0.5 }),
    'maximum-retries': integer('Retries of one request.', { default: 2 }),
    'retry-budget-percent': decimal('Retries as a share of a role\'s requests.', { maximum: 100, default: 10 }),
    'retry-budget-floor': integer('Retries allowed in a window whatever the share.', { default: 3 }),
    'retry-budget-window-milliseconds': integer('Window of the retry budget.', { minimum: 1, default: 10_000 }),
    'backoff-first-milliseconds': integer('First backoff.', { minimum: 1, default: 50 }),
    'backoff-maximum-milliseconds': integer('Longest backoff.', { minimum: 1, default: 2_000 })
  }),
  admission: z.strictObject({
    'queue-length': integer('Requests that wait at most; more are refused.', { minimum: 1, default: 1_000 }),
    'bulk-share-percent': decimal('Share of dispatches for waiting bulk requests.', { maximum: 100, default: 10 }),
    'maximum-body-bytes': integer('Longest request body.', { minimum: 1, default: 1_048_576 })
  }),
  streams: z.strictObject({
    'first-byte-milliseconds': integer('Bound on the first byte of an answer.', { minimum: 1, default: 10_000 }),
    'silence-milliseconds': integer('Longest time of a stream without a byte or comment line.', { minimum: 1, default: 2_000 }),
    'resume-attempts': integer('Attempts to resume a broken stream.', { default: 3 })
  }),
  logging: z.strictObject({
    level: choice('Least level of the lines that are written.', ['debug', 'info', 'warn', 'error'], 'info')
  })
}

/** Sections `group.name`. */
export const settingsGroups = {
  'data-centre': z.strictObject({
    region: name('Region of the data centre.'),
    'latency-milliseconds': decimal('One-way latency from this daemon.')
  })
}
