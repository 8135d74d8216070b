/**
 * Failure detection between daemons, dissemination of which daemons and targets are leaving, and the
 * choice of the entry daemons of a caller and of the observers of a target.
 */
export { createMembershipController, DEFAULT_MEMBERSHIP_TIMING, ENTRY_ROLE } from './membership-controller.js'
export type { MembershipController, MembershipOptions, MembershipTiming, PayloadExchange, PayloadHook } from './membership-controller.js'
export { chooseEntries, MAXIMUM_ENTRIES_PER_CALLER, observersOf } from './selection.js'
export type { EntryAddress, Member } from './selection.js'
export type { MemberStatus } from './member-records.js'
export type { LeavingMarkKind, MembershipMessage, MembershipTransport, MembershipUpdate } from './messages.js'
export type { TargetIdentity } from './leaving-targets.js'
export { createSeededRandom } from './random.js'
export type { RandomSource } from './random.js'
