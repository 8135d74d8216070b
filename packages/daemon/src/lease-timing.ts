import type { LeaseTiming } from '@fuchsiastage/leased-stream'
import type { Settings } from '@fuchsiastage/settings'

/** Snapshots are written in each quarter of the retention time. */
const SNAPSHOTS_PER_RETENTION = 4

export function leaseTiming ({ logService }: Settings): LeaseTiming {
  return {
    renewMilliseconds: logService.leaseRenewMilliseconds,
    lapseMilliseconds: logService.leaseLapseMilliseconds,
    rankDelayMilliseconds: logService.leaseRankDelayMilliseconds,
    doubtMilliseconds: logService.leaseDoubtMilliseconds,
    snapshotEveryRecords: logService.snapshotEveryRecords,
    snapshotEveryMilliseconds: snapshotInterval(logService.retentionMilliseconds)
  }
}

export function snapshotInterval (retentionMilliseconds: number): number {
  return retentionMilliseconds / SNAPSHOTS_PER_RETENTION
}
