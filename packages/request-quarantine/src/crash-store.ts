import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import type { CrashCause, RequestTraits } from './crash-causes.js'
import type { CrashRecord, SuspectedPrompt, SuspectedRequest } from './crash-record.js'

/** Gossip about the crash of a target, sent from one daemon to another. */
export interface CrashUpdate {
  readonly target: TargetKey
  /** Absent in messages of earlier versions, which know crashes of engines only. */
  readonly service?: string | undefined
  readonly ageMilliseconds: Milliseconds
  readonly isConfirmed: boolean
  /** Number of requests that targets of the service have served since the crash, as far as the sender knows. */
  readonly servedSince: number
  readonly prompts: ReadonlyArray<{ readonly parts: readonly string[], readonly sentAgoMilliseconds: Milliseconds, readonly hasBegun: boolean }>
  /** Absent in messages of earlier versions. */
  readonly requests?: ReadonlyArray<{ readonly fingerprint: string, readonly sentAgoMilliseconds: Milliseconds, readonly hasBegun: boolean }> | undefined
}

/** A request to which a target did not respond completely, because the connection to it was lost. */
export interface LostRequest {
  readonly target: TargetKey
  readonly service: string
  readonly traits: RequestTraits
  readonly sentAt: Milliseconds
  /** Whether the head of the response had arrived. */
  readonly hasBegun: boolean
}

export interface CrashStore {
  /** Records a lost request and returns whether the crash of its target is still to be confirmed. */
  readonly recordLoss: (request: LostRequest) => boolean
  /** Records that the incarnation of the target cannot be reached any more; it confirms a crash. */
  readonly recordUnreachable: (target: TargetKey) => void
  /** Records a response to a request that was sent at the given time; it refutes an earlier crash. */
  readonly recordAnswer: (target: TargetKey, sentAt: Milliseconds) => void
  /** Counts a request that a target of the service served for all crashes before it. */
  readonly countServed: (service: string) => void
  readonly applyUpdate: (update: CrashUpdate) => void
  /** Crashes that are confirmed and not refuted. */
  readonly confirmed: () => readonly CrashRecord[]
  /** Whether one of the crashes is suspected to be caused by a prompt with this part. */
  readonly isSuspectedPart: (part: string) => boolean
  /** Whether one of the crashes is suspected to be caused by the request with this fingerprint. */
  readonly isSuspectedRequest: (fingerprint: string) => boolean
  /** What has changed recently, and the evidence of some causes, which daemons that have started since do not know. */
  readonly updates: (causes: readonly CrashCause[]) => readonly CrashUpdate[]
  /** Number that increases with each change of the confirmed crashes. */
  readonly revision: () => number
}

export interface CrashStoreOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Whether the incarnation of the target is still registered. */
  readonly isKnown: (target: TargetKey) => boolean
}

interface TrackedPrompt extends SuspectedPrompt {
  /** Whether the head of a response had arrived. */
  readonly hasBegun: boolean
}

interface TrackedRequest extends SuspectedRequest {
  readonly hasBegun: boolean
}

interface TrackedCrash {
  readonly target: TargetKey
  /** Undefined if only daemons of earlier versions reported the crash. */
  service: string | undefined
  /** Whether the target was registered when the crash was recorded. */
  readonly wasKnown: boolean
  at: Milliseconds
  isConfirmed: boolean
  servedSince: number
  readonly prompts: Map<string, TrackedPrompt>
  readonly requests: Map<string, TrackedRequest>
  changedAt: Milliseconds
}

/** Time within which a crash must be confirmed. A lapsed entry of a target is removed within this time. */
const CONFIRM_MILLISECONDS = 10_000
/** Longest time for which a crash counts; longer than the longest time between two trials of a prompt. */
const MEMORY_MILLISECONDS = 2 * 3_600_000
/** Maximum numbers of confirmed crashes and of others; the oldest of each are removed first, so that many lost connections do not displace the evidence of a cause. */
const MAXIMUM_CONFIRMED_CRASHES = 64
const MAXIMUM_UNCONFIRMED_CRASHES = 32
/** Maximum number of different prompts, and of requests, of one crash. Of more, those are kept to which the target had begun to respond. */
const MAXIMUM_SUSPECTS = 32
const MAXIMUM_PARTS = 32
/** Maximum number of targets whose last answers are remembered; the ones that answered least recently are removed first. */
const MAXIMUM_ANSWERS = 4_096
/** A message delays the send times that it states, so only a clearly later one is a newer request. */
const MESSAGE_DELAY_MILLISECONDS = 250
/** Time for which gossip repeats a change. */
const GOSSIP_MILLISECONDS = 3_000
/**
 * Maximum number of recent crashes in one message, of prompts and of requests of each, and of crashes that
 * show a cause. A prompt takes some 60 bytes, a request 65. The prompts of several requests are one, so
 * there are more requests.
 */
const MAXIMUM_GOSSIP_CRASHES = 8
const MAXIMUM_GOSSIP_PROMPTS = 8
const MAXIMUM_GOSSIP_REQUESTS = 12
const MAXIMUM_EVIDENCE_CRASHES = 4

/**
 * Creates the store of the crashes of targets that this daemon and its peers have observed. An
 * incarnation of a target crashes at most once, so its key identifies the crash.
 *
 * @example
 * const crashes = createCrashStore({ clock, logger, isKnown: (target) => directory.find(target) !== undefined })
 * crashes.recordLoss({ target: target.key, service: 'drafter', traits, sentAt, hasBegun: true })
 */
export function createCrashStore ({ clock, logger, isKnown }: CrashStoreOptions): CrashStore {
  const tracked = new Map<TargetKey, TrackedCrash>()
  /** Send times of the newest requests that each target has answered. */
  const answeredSends = new Map<TargetKey, Milliseconds>()
  let suspectedParts: ReadonlySet<string> = new Set()
  let suspectedRequests: ReadonlySet<string> = new Set()
  let revision = 0

  const hasChanged = (crash: TrackedCrash): void => {
    crash.changedAt = clock.now()
    revision++
  }

  const remove = (target: TargetKey): void => {
    tracked.delete(target)
    revision++
    refreshSuspects()
  }

  const refreshSuspects = (): void => {
    suspectedParts = new Set([...tracked.values()].flatMap(({ prompts }) => [...prompts.values()].flatMap(({ parts }) => parts)))
    suspectedRequests = new Set([...tracked.values()].flatMap(({ requests }) => [...requests.keys()]))
  }

  const isRefuted = ({ target, at }: TrackedCrash): boolean => (answeredSends.get(target) ?? -Infinity) > at

  const confirm = (crash: TrackedCrash): void => {
    if (crash.isConfirmed) return
    crash.isConfirmed = true
    logger.info('a target crashed; requests that it had not answered are suspected', { event: 'target-crash', target: crash.target, requests: crash.requests.size, prompts: crash.prompts.size, servedSince: crash.servedSince })
    hasChanged(crash)
  }

  const removeOldest = (isConfirmed: boolean, maximumCount: number): void => {
    const crashes = [...tracked.values()].filter((crash) => crash.isConfirmed === isConfirmed)
    for (const { target } of crashes.slice(0, Math.max(0, crashes.length - maximumCount))) remove(target)
  }

  const removeOutdated = (): void => {
    const now = clock.now()
    for (const crash of [...tracked.values()]) {
      if (!crash.isConfirmed && crash.wasKnown && !isKnown(crash.target)) confirm(crash)
      const limit = crash.isConfirmed ? MEMORY_MILLISECONDS : CONFIRM_MILLISECONDS
      if (now - crash.at > limit || isRefuted(crash)) remove(crash.target)
    }
    removeOldest(true, MAXIMUM_CONFIRMED_CRASHES)
    removeOldest(false, MAXIMUM_UNCONFIRMED_CRASHES)
  }

  const crashOf = (target: TargetKey, at: Milliseconds): TrackedCrash => {
    const known = tracked.get(target)
    if (known !== undefined) {
      known.at = Math.min(known.at, at)
      return known
    }
    const created: TrackedCrash = { target, service: undefined, wasKnown: isKnown(target), at, isConfirmed: false, servedSince: 0, prompts: new Map(), requests: new Map(), changedAt: -Infinity }
    tracked.set(target, created)
    return created
  }

  /** Adds a suspect, or a newer request of one that is known, in place of one to which the target had not begun to respond. */
  const addSuspect = <Suspect extends TrackedPrompt | TrackedRequest>(crash: TrackedCrash, suspects: Map<string, Suspect>, key: string, suspect: Suspect): void => {
    const known = suspects.get(key)
    const sentAt = Math.min(suspect.sentAt, crash.at)
    if (known !== undefined && sentAt <= known.sentAt + MESSAGE_DELAY_MILLISECONDS && (known.hasBegun || !suspect.hasBegun)) return
    if (known === undefined && suspects.size >= MAXIMUM_SUSPECTS) {
      const replaced = suspect.hasBegun ? [...suspects].find(([, { hasBegun }]) => !hasBegun) : undefined
      if (replaced === undefined) return
      suspects.delete(replaced[0])
    }
    suspects.set(key, { ...suspect, sentAt: Math.max(sentAt, known?.sentAt ?? -Infinity), hasBegun: suspect.hasBegun || known?.hasBegun === true })
    hasChanged(crash)
  }

  const addPrompt = (crash: TrackedCrash, prompt: TrackedPrompt): void => {
    const parts = prompt.parts.slice(0, MAXIMUM_PARTS)
    addSuspect(crash, crash.prompts, parts.join(), { ...prompt, parts })
  }

  const addRequest = (crash: TrackedCrash, request: TrackedRequest): void => addSuspect(crash, crash.requests, request.fingerprint, request)

  const updateOf = (crash: TrackedCrash, prompts: readonly TrackedPrompt[], requests: readonly TrackedRequest[]): CrashUpdate => {
    const now = clock.now()
    const sentAgoMilliseconds = ({ sentAt }: SuspectedPrompt | SuspectedRequest): Milliseconds => Math.round(now - sentAt)
    return {
      target: crash.target,
      service: crash.service,
      ageMilliseconds: Math.round(now - crash.at),
      isConfirmed: crash.isConfirmed,
      servedSince: crash.servedSince,
      prompts: begunFirst(prompts).slice(0, MAXIMUM_GOSSIP_PROMPTS).map((prompt) => ({ parts: prompt.parts, sentAgoMilliseconds: sentAgoMilliseconds(prompt), hasBegun: prompt.hasBegun })),
      requests: repeatedFirst(begunFirst(requests)).slice(0, MAXIMUM_GOSSIP_REQUESTS).map((request) => ({ fingerprint: request.fingerprint, sentAgoMilliseconds: sentAgoMilliseconds(request), hasBegun: request.hasBegun }))
    }
  }

  /** Requests that were at several targets when they crashed come first, because one of them may be the cause. */
  const repeatedFirst = (requests: readonly TrackedRequest[]): readonly TrackedRequest[] => {
    const crashesWith = ({ fingerprint }: TrackedRequest): number => [...tracked.values()].filter((crash) => crash.requests.has(fingerprint)).length
    return requests.map((request) => ({ request, crashes: crashesWith(request) })).sort((one, other) => other.crashes - one.crashes).map(({ request }) => request)
  }

  /** Crashes that show a cause: the newest, each that came before the newest request of the next one was sent, and others. */
  const evidenceOf = (cause: CrashCause, excluded: readonly TrackedCrash[]): readonly CrashUpdate[] => {
    const matches = [...tracked.values()]
      .filter((crash) => !excluded.includes(crash))
      .map((crash) => ({ crash, ...suspectsOf(crash, cause) }))
      .filter(({ prompts, requests }) => prompts.length + requests.length > 0)
      .sort((one, other) => other.crash.at - one.crash.at)
    const consecutive: typeof matches = []
    for (const match of matches) {
      const next = consecutive.at(-1)
      const sentAt = next === undefined ? Infinity : Math.max(...[...next.prompts, ...next.requests].map((suspect) => suspect.sentAt))
      if (match.crash.at <= sentAt) consecutive.push(match)
    }
    return [...consecutive, ...matches.filter((match) => !consecutive.includes(match))]
      .slice(0, MAXIMUM_EVIDENCE_CRASHES)
      .map(({ crash, prompts, requests }) => updateOf(crash, prompts.slice(0, 1), requests))
  }

  return {
    recordLoss: ({ target, service, traits: { parts, fingerprint }, sentAt, hasBegun }) => {
      const crash = crashOf(target, clock.now())
      crash.service = service
      if (parts.length > 0) addPrompt(crash, { parts, sentAt, hasBegun })
      addRequest(crash, { fingerprint, sentAt, hasBegun })
      refreshSuspects()
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
    countServed: (service) => {
      for (const crash of tracked.values()) if ((crash.service ?? service) === service) crash.servedSince++
    },
    applyUpdate: ({ target, service, ageMilliseconds, isConfirmed, servedSince, prompts, requests }) => {
      const at = clock.now() - ageMilliseconds
      if ((answeredSends.get(target) ?? -Infinity) > at) return
      const crash = crashOf(target, at)
      crash.service ??= service
      for (const { parts, sentAgoMilliseconds, hasBegun } of prompts) addPrompt(crash, { parts, sentAt: clock.now() - sentAgoMilliseconds, hasBegun })
      for (const { fingerprint, sentAgoMilliseconds, hasBegun } of requests ?? []) addRequest(crash, { fingerprint, sentAt: clock.now() - sentAgoMilliseconds, hasBegun })
      crash.servedSince = Math.max(crash.servedSince, servedSince)
      if (isConfirmed) confirm(crash)
      refreshSuspects()
      removeOutdated()
    },
    confirmed: () => {
      removeOutdated()
      return [...tracked.values()].filter(({ isConfirmed }) => isConfirmed).map(({ at, prompts, requests, servedSince }) => ({ at, prompts: [...prompts.values()], requests: [...requests.values()], servedSince }))
    },
    isSuspectedPart: (part) => suspectedParts.has(part),
    isSuspectedRequest: (fingerprint) => suspectedRequests.has(fingerprint),
    updates: (causes) => {
      const now = clock.now()
      const recent = [...tracked.values()]
        .sort((one, other) => other.changedAt - one.changedAt)
        .filter(({ changedAt }) => now - changedAt < GOSSIP_MILLISECONDS)
        .slice(0, MAXIMUM_GOSSIP_CRASHES)
      return [...recent.map((crash) => updateOf(crash, [...crash.prompts.values()], [...crash.requests.values()])), ...causes.flatMap((cause) => evidenceOf(cause, recent))]
    },
    revision: () => revision
  }
}

function begunFirst<Suspect extends TrackedPrompt | TrackedRequest> (suspects: readonly Suspect[]): readonly Suspect[] {
  return [...suspects].sort((one, other) => Number(other.hasBegun) - Number(one.hasBegun))
}

/** The suspects of a crash that a cause names. */
function suspectsOf ({ prompts, requests }: TrackedCrash, cause: CrashCause): { readonly prompts: readonly TrackedPrompt[], readonly requests: readonly TrackedRequest[] } {
  switch (cause.kind) {
    case 'prompt':
      return { prompts: [...prompts.values()].filter(({ parts }) => cause.parts.every((part) => parts.includes(part))), requests: [] }
    case 'request':
      return { prompts: [], requests: [...requests.values()].filter(({ fingerprint }) => fingerprint === cause.fingerprint) }
  }
}
