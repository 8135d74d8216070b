import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget, TargetDirectory, TargetKey } from '@fuchsiastage/fleet'
import type { ProbeTarget } from './probe-target.js'
import { CUT_OFF_TARGETS, type TargetReachability } from './target-reachability.js'

export interface TargetProbes {
  /** Finds out whether this daemon is cut off, after it could not connect to a target. Concurrent calls share the probes. */
  readonly verify: () => Promise<void>
  /** Probes a target whenever no request has reached one for some time, until the signal aborts, so that the next request does not find out first. */
  readonly run: (signal: AbortSignal) => Promise<void>
}

export interface TargetProbesOptions {
  readonly clock: Clock
  readonly directory: Pick<TargetDirectory, 'all' | 'find'>
  readonly probe: ProbeTarget
  readonly reachability: TargetReachability
  /** Source of random numbers from 0 to 1, for the choice of targets. */
  readonly random: () => number
}

/** Pause between two probes of a daemon that is cut off. Its peers serve its requests meanwhile. */
const PROBE_INTERVAL_MILLISECONDS = 400
/** Time without a connection to a target after which one is probed. */
const IDLE_MILLISECONDS = 1_000

/**
 * Creates the probes of targets, which tell a daemon that is cut off from all targets from one whose
 * target has ended, and notice when the targets can be reached again.
 *
 * @example
 * const probes = createTargetProbes({ clock, directory, probe, reachability, random: Math.random })
 * await probes.verify()
 */
export function createTargetProbes ({ clock, directory, probe, reachability, random }: TargetProbesOptions): TargetProbes {
  let verification: Promise<void> | undefined

  /** Probes targets. A single one that is reached shows that this daemon is not cut off. */
  const probeTargets = async (targets: readonly KnownTarget[]): Promise<void> => {
    const startedAt = clock.now()
    const results = await Promise.all(targets.map(async ({ key, entry }) => ({ key, isReached: await probe(entry.address) })))
    const reached = results.filter(({ isReached }) => isReached)
    for (const { key } of reached) reachability.recordReached(key, startedAt)
    if (reached.length === 0) for (const { key } of results) reachability.recordUnreached(key, startedAt)
  }

  const pick = (isEligible: (key: TargetKey) => boolean): KnownTarget | undefined => {
    const eligible = directory.all().filter(({ key }) => isEligible(key))
    return eligible[Math.floor(random() * eligible.length)]
  }

  /** Enough targets to tell, beside the one that failed: the one that was reached last, which is least likely to have ended, and others. */
  const targetsToVerify = (): readonly KnownTarget[] => {
    const chosen = new Map<TargetKey, KnownTarget>()
    const choose = (target: KnownTarget | undefined): void => { if (target !== undefined) chosen.set(target.key, target) }
    choose(reachability.lastReached().map((key) => directory.find(key)).find((target) => target !== undefined))
    while (chosen.size < CUT_OFF_TARGETS - 1) {
      const previous = chosen.size
      choose(pick((key) => !chosen.has(key) && !reachability.hasFailed(key)) ?? pick((key) => !chosen.has(key)))
      if (chosen.size === previous) break
    }
    return [...chosen.values()]
  }

  const probeUntilRegained = async (): Promise<void> => {
    while (reachability.isCutOff()) {
      const target = pick(() => true)
      if (target !== undefined) await probeTargets([target])
      if (reachability.isCutOff()) await clock.sleep(PROBE_INTERVAL_MILLISECONDS)
    }
  }
  reachability.events.on('lost', probeUntilRegained)

  const verify = async (): Promise<void> => {
    if (reachability.isCutOff()) return
    verification ??= probeTargets(targetsToVerify()).finally(() => { verification = undefined })
    await verification
  }

  return {
    verify,
    run: async (signal) => {
      while (!signal.aborted) {
        await clock.sleep(IDLE_MILLISECONDS, signal)
        if (reachability.isCutOff() || reachability.sinceReached() < IDLE_MILLISECONDS) continue
        const [target] = targetsToVerify()
        if (target === undefined) continue
        await probeTargets([target])
        if (reachability.hasFailed(target.key)) await verify()
      }
    }
  }
}
