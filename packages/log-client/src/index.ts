/**
 * Access to the append-only log service: its interface, an HTTP client, an in-memory implementation
 * for tests, and a follower that folds a stream into state.
 */
export type { AppendResult, LogRecord, LogService, ReadOptions, ReadResult } from './log-service.js'
export { createMemoryLogService } from './memory-log-service.js'
export type { MemoryLogService } from './memory-log-service.js'
export { createHttpLogService } from './http-log-service.js'
export { parseStreamRecord, SNAPSHOT_KIND } from './stream-record.js'
export type { SnapshotRecord, StreamRecord } from './stream-record.js'
export type { StreamFold } from './stream-fold.js'
export { createStreamFollower } from './stream-follower.js'
export type {
  AppliedRecord,
  FollowerStatus,
  FollowerView,
  PeerRecords,
  PeerSnapshot,
  StreamFollower
} from './stream-follower.js'
export { appendConfirmed } from './append-confirmed.js'
export type { ConfirmedAppend } from './append-confirmed.js'
