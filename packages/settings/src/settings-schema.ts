import { z } from 'zod'
import { address, choice, decimal, integer, name, previousSecret, secret } from './setting-types.js'

/** Sections of a daemon's settings that occur once. The unit is part of the key name. */
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
    'append-timeout-milliseconds': integer('Time limit for the response to an append.', { minimum: 1, default: 2_000 }),
    'read-margin-milliseconds': integer('Time added to the wait of a long poll before the read counts as failed.', { minimum: 1, default: 2_000 }),
    'poll-milliseconds': integer('Maximum time for which the service holds a read open while no new records arrive.', { minimum: 1, maximum: 4_000, default: 2_000 }),
    'retry-milliseconds': integer('Delay before a failed read or append is retried.', { minimum: 1, default: 500 }),
    'retention-milliseconds': integer('Time for which the service keeps records; a snapshot is written in each quarter of this time.', { minimum: 60_000, default: 86_400_000 }),
    'snapshot-every-records': integer('Number of records after which a snapshot is written.', { minimum: 1, default: 1_000 }),
    'lease-renew-milliseconds': integer('Interval between renewals of a lease.', { minimum: 1, default: 3_000 }),
    'lease-doubt-milliseconds': integer('Time without a confirmed renewal after which the lease holder stops making decisions.', { minimum: 1, default: 6_000 }),
    'lease-lapse-milliseconds': integer('Time without a renewal by the lease holder after which the first watcher tries to acquire the lease.', { minimum: 1, default: 9_000 }),
    'lease-rank-delay-milliseconds': integer('Time added to `lease-lapse-milliseconds` for each further rank among the watchers, so that they do not try at the same time.', { minimum: 0, default: 1_500 })
  }),
  'vm-list': z.strictObject({
    address: address('Address of the VM list.'),
    'poll-milliseconds': integer('Interval between two reads of the list.', { minimum: 1, default: 2_000 }),
    'timeout-milliseconds': integer('Time limit for one read of the list.', { minimum: 1, default: 2_000 })
  }),
  peers: z.strictObject({
    key: secret('Key with which the daemons authenticate to each other.'),
    'previous-key': previousSecret('Second key that is accepted during a key rotation. To rotate, give all daemons the new key here first, then swap the two, then remove the old one.'),
    'timeout-milliseconds': integer('Time limit for a call to another daemon.', { minimum: 1, default: 1_000 })
  }),
  operators: z.strictObject({
    token: secret('Bearer token of operators.'),
    'previous-token': previousSecret('Second token that is accepted during a token rotation.')
  }),
  'weight-store': z.strictObject({
    'loads-per-second': decimal('Maximum loads per second that the weight store starts.', { minimum: 0.01 }),
    'concurrent-loads': integer('Concurrent loads that the weight store serves at full speed.', { minimum: 1, default: 4 })
  }),
  configuration: z.strictObject({
    unverified: choice('Behaviour while the configuration cannot be verified: refuse new requests, or serve requests while a majority of the daemons responds.', ['refuse', 'serve-with-majority'], 'serve-with-majority'),
    'member-list-difference': integer('Maximum number of members by which the member lists of two daemons may differ; added to the size of a majority.', { default: 2 }),
    'pull-after-milliseconds': integer('Age of the last verified read after which records are also read from peers.', { minimum: 1, maximum: 9_000, default: 5_000 }),
    'pull-interval-milliseconds': integer('Interval between two reads from peers.', { minimum: 1, default: 1_000 }),
    'snapshot-rank-delay-milliseconds': integer('Additional delay for each rank before a daemon writes a snapshot, so that only one writes it.', { default: 30_000 })
  }),
  membership: z.strictObject({
    'probe-interval-milliseconds': integer('Interval between two membership probes of a daemon.', { minimum: 1, default: 1_000 }),
    'probe-timeout-milliseconds': integer('Time without a response after which the member is probed through other daemons.', { minimum: 1, default: 300 }),
    'suspect-milliseconds': integer('Time after which a suspected member counts as failed unless it refutes the suspicion.', { minimum: 1, default: 4_000 }),
    'target-poll-milliseconds': integer('Interval between two reads of the state of an observed target.', { minimum: 1, default: 1_000 }),
    'target-news-milliseconds': integer('Age of the last update from a target after which the target receives no new requests.', { minimum: 1, maximum: 3_000, default: 3_000 }),
    'target-sweep-milliseconds': integer('Interval between two reads of the states of all targets with reservations.', { minimum: 1, default: 60_000 }),
    'entry-count': integer('Number of daemons in the entry list that a caller receives.', { minimum: 1, default: 4 }),
    'entry-keep-milliseconds': integer('Time for which callers may use an entry list.', { minimum: 1, default: 10_000 }),
    'leaving-margin-milliseconds': integer('Time added to `entry-keep-milliseconds` before a draining daemon stops accepting connections.', { default: 2_000 })
  }),
  claims: z.strictObject({
    'horizon-milliseconds': integer('Maximum age of an idempotency key; claims are stored twice as long.', { minimum: 1_000, default: 3_600_000 }),
    partitions: integer('Number of claim streams; must be the same for all daemons and must not change once claims exist.', { minimum: 1, default: 64 }),
    'appends-per-second': decimal('Maximum batches per second that the owner of a partition appends.', { minimum: 0.1, default: 3 }),
    'timeout-milliseconds': integer('Time limit for the owner of a partition to grant or settle a claim.', { minimum: 1, default: 5_000 })
  }),
  placement: z.strictObject({
    'usage-report-milliseconds': integer('Interval between usage reports to the holder of the placement lease.', { minimum: 1, default: 5_000 }),
    'order-timeout-milliseconds': integer('Time without a response after which the outcome of an order counts as unknown.', { minimum: 1, default: 300_000 }),
    'reconcile-milliseconds': integer('Interval between two comparisons of unsettled or unusable reservations with the state of their target.', { minimum: 1, default: 1_000 }),
    'load-megabytes-per-second': decimal('Expected transfer rate of one load at full speed, used until loads have been measured.', { minimum: 1, default: 2_000 })
  }),
  'keep-warm': z.strictObject({
    'cold-start-weight': decimal('Weight of the time that callers wait for a cold start.', { default: 1 }),
    'idle-weight': decimal('Weight of the time for which idle replicas occupy accelerator memory.', { default: 1 }),
    'interval-milliseconds': integer('Interval between two decisions of the policy on the same replica.', { minimum: 1, default: 60_000 })
  }),
  routing: z.strictObject({
    'subset-size': integer('Maximum number of targets that one daemon routes to for one model or service.', { minimum: 1, default: 16 }),
    'report-age-weight': decimal('Score penalty for each second of age of a target\'s load report.', { default: 0.1 }),
    'prefix-hit-bonus': decimal('Score reduction for a target that has the prompt prefix in its cache.', { default: 0.5 }),
    'maximum-retries': integer('Maximum retries of one request.', { default: 2 }),
    'retry-budget-percent': decimal('Retries allowed in a window, as a percentage of the requests to the role.', { maximum: 100, default: 10 }),
    'retry-budget-floor': integer('Retries always allowed in a window, regardless of the percentage.', { default: 3 }),
    'retry-budget-window-milliseconds': integer('Length of the window of the retry budget.', { minimum: 1, default: 10_000 }),
    'backoff-first-milliseconds': integer('Maximum delay before the first retry; it doubles with each further retry.', { minimum: 1, default: 50 }),
    'backoff-maximum-milliseconds': integer('Upper limit of the delay before a retry.', { minimum: 1, default: 2_000 })
  }),
  admission: z.strictObject({
    'queue-length': integer('Maximum number of waiting requests; further requests are refused.', { minimum: 1, default: 1_000 }),
    'bulk-share-percent': decimal('Percentage of dispatches reserved for bulk requests while any are waiting.', { maximum: 100, default: 10 }),
    'maximum-body-bytes': integer('Maximum size of a request body.', { minimum: 1, default: 1_048_576 })
  }),
  streams: z.strictObject({
    'first-byte-milliseconds': integer('Time limit for the first byte of an engine\'s response.', { minimum: 1, default: 10_000 }),
    'silence-milliseconds': integer('Maximum time without a byte or comment line before a stream counts as broken.', { minimum: 1, default: 2_000 }),
    'resume-attempts': integer('Maximum attempts to resume a broken stream.', { default: 3 })
  }),
  logging: z.strictObject({
    level: choice('Minimum level of the log lines that are written.', ['debug', 'info', 'warn', 'error'], 'info')
  })
}

/** Sections named `group.name`, which occur any number of times. */
export const settingsGroups = {
  'data-centre': z.strictObject({
    region: name('Region of the data centre.'),
    'latency-milliseconds': decimal('One-way latency from this daemon to the data centre.')
  })
}
