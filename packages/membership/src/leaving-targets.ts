import type { Milliseconds } from '@fuchsiastage/types'
import type { LeavingMarkKind } from './messages.js'

/** Identity of a target whose leaving is asked about; an unknown incarnation matches any. */
export interface TargetIdentity {
  readonly name: string
  readonly address: string
  readonly incarnation?: string
}

export interface LeavingTargets {
  /** Returns true when the mark is new. */
  readonly mark: (name: string, kind: LeavingMarkKind, value: string) => boolean
  readonly has: (target: TargetIdentity) => boolean
  readonly names: () => readonly string[]
  /** Drops the marks of targets that the VM list has not shown for the given time. */
  readonly forgetAbsent: (listed: ReadonlySet<string>, now: Milliseconds, afterMilliseconds: Milliseconds) => void
}

interface Marks {
  readonly address: Set<string>
  readonly incarnation: Set<string>
  absentSince: Milliseconds | undefined
}

/**
 * Creates the set of targets known to be leaving. Marks are never taken back: a replacement under
 * the same name has another address or incarnation and is not affected.
 */
export function createLeavingTargets (): LeavingTargets {
  const targets = new Map<string, Marks>()
  return {
    mark: (name, kind, value) => {
      const marks = targets.get(name) ?? { address: new Set(), incarnation: new Set(), absentSince: undefined }
      targets.set(name, marks)
      if (marks[kind].has(value)) return false
      marks[kind].add(value)
      return true
    },
    has: ({ name, address, incarnation }) => {
      const marks = targets.get(name)
      if (marks === undefined) return false
      return marks.address.has(address) || (incarnation === undefined ? marks.incarnation.size > 0 : marks.incarnation.has(incarnation))
    },
    names: () => [...targets.keys()],
    forgetAbsent: (listed, now, afterMilliseconds) => {
      for (const [name, marks] of targets) {
        if (listed.has(name)) marks.absentSince = undefined
        else if (marks.absentSince === undefined) marks.absentSince = now
        else if (now - marks.absentSince >= afterMilliseconds) targets.delete(name)
      }
    }
  }
}
