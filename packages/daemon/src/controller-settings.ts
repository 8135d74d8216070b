/**
 * Converts the settings of a daemon to the settings of its controllers.
 */
import { DEFAULT_CONFIGURATION_TIMING, type ConfigurationTiming } from '@fuchsiastage/configuration'
import { DEFAULT_KEEP_WARM_SETTINGS, type KeepWarmSettings } from '@fuchsiastage/keep-warm'
import type { LeaseTiming } from '@fuchsiastage/leased-stream'
import { DEFAULT_MEMBERSHIP_TIMING, type MembershipTiming } from '@fuchsiastage/membership'
import { DEFAULT_PLACEMENT_SETTINGS, type PlacementSettings } from '@fuchsiastage/placement'
import type { RouterSettings } from '@fuchsiastage/routing'
import type { Settings } from '@fuchsiastage/settings'
import type { Milliseconds } from '@fuchsiastage/types'

/** Number of snapshots that are written per retention time of the log service. */
const SNAPSHOTS_PER_RETENTION = 4

const MEGABYTES_PER_GIGABYTE = 1_000
const MILLISECONDS_PER_SECOND = 1_000

function snapshotInterval (retentionMilliseconds: Milliseconds): Milliseconds {
  return retentionMilliseconds / SNAPSHOTS_PER_RETENTION
}

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

export function membershipTiming ({ membership, vmList }: Settings): MembershipTiming {
  return {
    ...DEFAULT_MEMBERSHIP_TIMING,
    probeIntervalMilliseconds: membership.probeIntervalMilliseconds,
    probeTimeoutMilliseconds: membership.probeTimeoutMilliseconds,
    suspicionTimeoutMilliseconds: membership.suspectMilliseconds,
    listIntervalMilliseconds: vmList.pollMilliseconds
  }
}

export function configurationTiming ({ configuration, logService, peers }: Settings): ConfigurationTiming {
  return {
    ...DEFAULT_CONFIGURATION_TIMING,
    pollMilliseconds: logService.pollMilliseconds,
    retryMilliseconds: logService.retryMilliseconds,
    pullAfterMilliseconds: configuration.pullAfterMilliseconds,
    pullIntervalMilliseconds: configuration.pullIntervalMilliseconds,
    peerTimeoutMilliseconds: peers.timeoutMilliseconds,
    snapshotEveryRecords: logService.snapshotEveryRecords,
    snapshotEveryMilliseconds: snapshotInterval(logService.retentionMilliseconds),
    snapshotRankDelayMilliseconds: configuration.snapshotRankDelayMilliseconds
  }
}

export function keepWarmSettings ({ keepWarm }: Settings): KeepWarmSettings {
  return {
    ...DEFAULT_KEEP_WARM_SETTINGS,
    coldStartWeight: keepWarm.coldStartWeight,
    idleWeight: keepWarm.idleWeight,
    intervalMilliseconds: keepWarm.intervalMilliseconds
  }
}

export function placementSettings ({ membership, placement, weightStore }: Settings): PlacementSettings {
  const remote = MEGABYTES_PER_GIGABYTE * MILLISECONDS_PER_SECOND / placement.loadMegabytesPerSecond
  return {
    ...DEFAULT_PLACEMENT_SETTINGS,
    loadsPerSecond: weightStore.loadsPerSecond,
    concurrentLoads: weightStore.concurrentLoads,
    orderTimeoutMilliseconds: placement.orderTimeoutMilliseconds,
    reconcileMilliseconds: placement.reconcileMilliseconds,
    millisecondsPerGigabyte: { ...DEFAULT_PLACEMENT_SETTINGS.millisecondsPerGigabyte, remote },
    sweepMilliseconds: membership.targetSweepMilliseconds
  }
}

export function routerSettings ({ membership, routing }: Settings): Partial<RouterSettings> {
  return {
    subsetSize: routing.subsetSize,
    ageWeight: routing.reportAgeWeight,
    prefixBonus: routing.prefixHitBonus,
    maximumStateAgeMilliseconds: membership.targetNewsMilliseconds
  }
}
