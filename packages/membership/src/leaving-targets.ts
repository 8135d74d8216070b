import type { Milliseconds } from '@fuchsiastage/types'
import type { LeavingMarkKind } from './messages.js'

/** A target whose marks are looked up. If the incarnation is not known, a mark of any incarnation matches. */
export interface TargetIdentity {
  readonly name: string
  readonly address: string
  readonly incarnation?: string
}

export interface LeavingTargets {
  /** Adds a mark; returns true when it is new. */
  readonly mark: (name: string, kind: LeavingMarkKind, value: string) => boolean
  readonly has: (target: TargetIdentity) => boolean
  readonly names: () => readonly string[]
  /** Removes the marks of targets that have been missing from the VM list for the given time. */
  readonly removeAbsent: (listed: ReadonlySet<string>, now: Milliseconds, afterMilliseconds: Milliseconds) => void
}

interface Marks {
  readonly address: Set<string>
  readonly incarnation: Set<string>
  absentSince: Milliseconds | undefined
}

/**
 * Creates the set of targets that are known to be leaving. A mark is never withdrawn while the VM list
 * contains the target: a replacement with the same name has another address or incarnation, so the
 * mark does not match it.
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
    removeAbsent: (listed, now, afterMilliseconds) => {
      for (const [name, marks] of targets) {
        if (listed.has(name)) marks.absentSince = undefined
        else if (marks.absentSince === undefined) marks.absentSince = now
        else if (now - marks.absentSince >= afterMilliseconds) targets.delete(name)
      }
    }
  }
}
