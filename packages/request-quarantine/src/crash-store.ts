import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import type { CrashPattern, CrashRecord, SuspectedPrompt } from './crash-patterns.js'

/** Gossip about the crash of an engine, sent from one daemon to another. */
export interface CrashUpdate {
  readonly target: TargetKey
  readonly ageMilliseconds: Milliseconds
  readonly isConfirmed: boolean
  /** Number of requests that engines have served since the crash, as far as the sender knows. */
  readonly servedSince: number
  readonly prompts: ReadonlyArray<{ readonly parts: readonly string[], readonly sentAgoMilliseconds: Milliseconds, readonly hasBegun: boolean }>
}

/** A request to which an engine did not respond completely, because the connection to it was lost. */
export interface LostRequest {
  readonly target: TargetKey
  /** Prompt parts that other requests may share. */
  readonly parts: readonly string[]
  readonly sentAt: Milliseconds
  /** Whether the head of the response had arrived. */
  readonly hasBegun: boolean
}

export interface CrashStore {
  /** Records a lost request and returns whether the crash of its engine is still to be confirmed. */
  readonly recordLoss: (request: LostRequest) => boolean
  /** Records that the incarnation of the engine cannot be reached any more; it confirms a crash. */
  readonly recordUnreachable: (target: TargetKey) => void
  /** Records a response to a request that was sent at the given time; it refutes an earlier crash. */
  readonly recordAnswer: (target: TargetKey, sentAt: Milliseconds) => void
  /** Counts a served request for all crashes before it. */
  readonly countServed: () => void
  readonly applyUpdate: (update: CrashUpdate) => void
  /** Crashes that are confirmed and not refuted. */
  readonly confirmed: () => readonly CrashRecord[]
  /** Whether one of the crashes is suspected to be caused by a prompt with this part. */
  readonly isSuspected: (part: string) => boolean
  /** What has changed recently, and the evidence of some of the patterns, which daemons that have started since do not know. */
  readonly updates: (patterns: readonly CrashPattern[]) => readonly CrashUpdate[]
  /** Number that increases with each change of the confirmed crashes. */
  readonly revision: () => number
}

export interface CrashStoreOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Whether the incarnation of the engine is still registered. */
  readonly isKnown: (target: TargetKey) => boolean
}

interface TrackedPrompt extends SuspectedPrompt {
  readonly hasBegun: boolean
}

interface TrackedCrash {
  readonly target: TargetKey
  /** Whether the engine was registered when the crash was recorded. */
  readonly wasKnown: boolean
  at: Milliseconds
  isConfirmed: boolean
  servedSince: number
  readonly prompts: Map<string, TrackedPrompt>
  changedAt: Milliseconds
}

/** Time within which a crash must be confirmed. A lapsed entry of a target is removed within this time. */
const CONFIRM_MILLISECONDS = 10_000
/** Longest time for which a crash counts; longer than the longest time between two trials of a prompt. */
const MEMORY_MILLISECONDS = 2 * 3_600_000
/** Maximum number of crashes; the oldest are removed first. */
const MAXIMUM_CRASHES = 64
/** Maximum number of different prompts of one crash. Of more, those are kept to which the engine had begun to respond. */
const MAXIMUM_PROMPTS = 32
const MAXIMUM_PARTS = 32
/** Maximum number of engines whose last answers are remembered; the ones that answered least recently are removed first. */
const MAXIMUM_ANSWERS = 4_096
/** A message delays the send times that it states, so only a clearly later one is a newer request. */
const MESSAGE_DELAY_MILLISECONDS = 250
/** Time for which gossip repeats a change. */
const GOSSIP_MILLISECONDS = 3_000
/** Maximum number of recent crashes in one message, of prompts of each, and of crashes that show a pattern. A prompt takes some 60 bytes. */
const MAXIMUM_GOSSIP_CRASHES = 8
const MAXIMUM_GOSSIP_PROMPTS = 8
const MAXIMUM_PATTERN_CRASHES = 4

/**
 * Creates the store of the crashes of engines that this daemon and its peers have observed. An
 * incarnation of an engine crashes at most once, so its key identifies the crash.
 *
 * @example
 * const crashes = createCrashStore({ clock, logger, isKnown: (target) => directory.find(target) !== undefined })
 * crashes.recordLoss({ target: target.key, parts: ['system', 'p1'], sentAt, hasBegun: true })
 */
export function createCrashStore ({ clock, logger, isKnown }: CrashStoreOptions): CrashStore {
  const tracked = new Map<TargetKey, TrackedCrash>()
  /** Send times of the newest requests that each engine has answered. */
  const answeredSends = new Map<TargetKey, Milliseconds>()
  let suspectedParts: ReadonlySet<string> = new Set()
  let revision = 0

  const hasChanged = (crash: TrackedCrash): void => {
    crash.changedAt = clock.now()
    revision++
  }

  const remove = (target: TargetKey): void => {
    tracked.delete(target)
    revision++
    refreshSuspectedParts()
  }

  const refreshSuspectedParts = (): void => {
    suspectedParts = new Set([...tracked.values()].flatMap(({ prompts }) => [...prompts.values()].flatMap(({ parts }) => parts)))
  }

  const isRefuted = ({ target, at }: TrackedCrash): boolean => (answeredSends.get(target) ?? -Infinity) > at

  const confirm = (crash: TrackedCrash): void => {
    if (crash.isConfirmed) return
    crash.isConfirmed = true
    logger.info('an engine crashed; requests that it had not answered are suspected', { event: 'engine-crash', target: crash.target, prompts: crash.prompts.size, servedSince: crash.servedSince })
    hasChanged(crash)
  }

  const removeOutdated = (): void => {
    const now = clock.now()
    for (const crash of [...tracked.values()]) {
      if (!crash.isConfirmed && crash.wasKnown && !isKnown(crash.target)) confirm(crash)
      const limit = crash.isConfirmed ? MEMORY_MILLISECONDS : CONFIRM_MILLISECONDS
      if (now - crash.at > limit || isRefuted(crash)) remove(crash.target)
    }
    for (const target of [...tracked.keys()].slice(0, Math.max(0, tracked.size - MAXIMUM_CRASHES))) remove(target)
  }

  const crashOf = (target: TargetKey, at: Milliseconds): TrackedCrash => {
    const known = tracked.get(target)
    if (known !== undefined) {
      known.at = Math.min(known.at, at)
      return known
    }
    const created: TrackedCrash = { target, wasKnown: isKnown(target), at, isConfirmed: false, servedSince: 0, prompts: new Map(), changedAt: -Infinity }
    tracked.set(target, created)
    return created
  }

  const addPrompt = (crash: TrackedCrash, prompt: TrackedPrompt): void => {
    const parts = prompt.parts.slice(0, MAXIMUM_PARTS)
    const key = parts.join()
    const known = crash.prompts.get(key)
    const sentAt = Math.min(prompt.sentAt, crash.at)
    if (known !== undefined && sentAt <= known.sentAt + MESSAGE_DELAY_MILLISECONDS && (known.hasBegun || !prompt.hasBegun)) return
    if (known === undefined && crash.prompts.size >= MAXIMUM_PROMPTS) {
      const replaced = prompt.hasBegun ? [...crash.prompts].find(([, { hasBegun }]) => !hasBegun) : undefined
      if (replaced === undefined) return
      crash.prompts.delete(replaced[0])
    }
    crash.prompts.set(key, { parts, sentAt: Math.max(sentAt, known?.sentAt ?? -Infinity), hasBegun: prompt.hasBegun || known?.hasBegun === true })
    hasChanged(crash)
  }

  const updateOf = (crash: TrackedCrash, prompts: readonly TrackedPrompt[]): CrashUpdate => {
    const now = clock.now()
    const begunFirst = [...prompts].sort((one, other) => Number(other.hasBegun) - Number(one.hasBegun))
    return {
      target: crash.target,
      ageMilliseconds: Math.round(now - crash.at),
      isConfirmed: crash.isConfirmed,
      servedSince: crash.servedSince,
      prompts: begunFirst.slice(0, MAXIMUM_GOSSIP_PROMPTS).map(({ parts, sentAt, hasBegun }) => ({ parts, sentAgoMilliseconds: Math.round(now - sentAt), hasBegun }))
    }
  }

  return {
    recordLoss: ({ target, parts, sentAt, hasBegun }) => {
      if (parts.length === 0) return false
      const crash = crashOf(target, clock.now())
      addPrompt(crash, { parts, sentAt, hasBegun })
      refreshSuspectedParts()
      removeOutdated()
      return !crash.isConfirmed
    },
    recordUnreachable: (target) => {
      const crash = tracked.get(target)
      if (crash !== undefined) confirm(crash)
    },
    recordAnswer: (target, sentAt) => {
      const newest = Math.max(sentAt, answeredSends.get(target) ?? -Infinity)
      answeredSends.delete(target)
      answeredSends.set(target, newest)
      for (const oldest of answeredSends.keys()) {
        if (answeredSends.size <= MAXIMUM_ANSWERS) break
        answeredSends.delete(oldest)
      }
      const crash = tracked.get(target)
      if (crash !== undefined && isRefuted(crash)) remove(target)
    },
    countServed: () => {
      for (const crash of tracked.values()) crash.servedSince++
    },
    applyUpdate: ({ target, ageMilliseconds, isConfirmed, servedSince, prompts }) => {
      const at = clock.now() - ageMilliseconds
      if ((answeredSends.get(target) ?? -Infinity) > at) return
      const crash = crashOf(target, at)
      for (const { parts, sentAgoMilliseconds, hasBegun } of prompts) addPrompt(crash, { parts, sentAt: clock.now() - sentAgoMilliseconds, hasBegun })
      crash.servedSince = Math.max(crash.servedSince, servedSince)
      if (isConfirmed) confirm(crash)
      refreshSuspectedParts()
      removeOutdated()
    },
    confirmed: () => {
      removeOutdated()
      return [...tracked.values()].filter(({ isConfirmed }) => isConfirmed).map(({ at, prompts, servedSince }) => ({ at, prompts: [...prompts.values()], servedSince }))
    },
    isSuspected: (part) => suspectedParts.has(part),
    updates: (patterns) => {
      const now = clock.now()
      const byAge = [...tracked.values()].sort((one, other) => other.changedAt - one.changedAt)
      const recent = byAge.filter(({ changedAt }) => now - changedAt < GOSSIP_MILLISECONDS).slice(0, MAXIMUM_GOSSIP_CRASHES)
      const evidence = patterns.flatMap(({ parts }) => byAge
        .filter((crash) => !recent.includes(crash))
        .map((crash) => ({ crash, prompts: [...crash.prompts.values()].filter((prompt) => parts.every((part) => prompt.parts.includes(part))) }))
        .filter(({ prompts }) => prompts.length > 0)
        .slice(0, MAXIMUM_PATTERN_CRASHES))
      return [...recent.map((crash) => updateOf(crash, [...crash.prompts.values()])), ...evidence.map(({ crash, prompts }) => updateOf(crash, prompts.slice(0, 1)))]
    },
    revision: () => revision
  }
}
