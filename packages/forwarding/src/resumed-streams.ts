import type { ServingService } from '@fuchsiastage/fleet'
import type { StreamOrigins, StreamResumption } from '@fuchsiastage/stream-origins'
import type { DispatchProgress } from './dispatch-progress.js'
import type { ForwardContext, InboundRequest } from './request.js'

/** Digits of a caller's digest that are recorded; they only tell callers apart. */
const CALLER_DIGITS = 16

/** Identifies the caller of a request without its credentials; empty if the request states none. */
function callerOf ({ description: { credentials } }: InboundRequest): string {
  return credentials?.slice(0, CALLER_DIGITS) ?? ''
}

/**
 * Whether a target of a software version may send the response, or the rest of it.
 *
 * @example
 * const candidates = targets.filter(({ entry }) => isOfRequiredVersion(progress, entry.softwareVersion))
 */
export function isOfRequiredVersion ({ requiredVersion }: Pick<DispatchProgress, 'requiredVersion'>, softwareVersion: string | undefined): boolean {
  switch (requiredVersion.kind) {
    case 'any':
      return true
    case 'exactly':
      return softwareVersion === requiredVersion.softwareVersion
    case 'unknown':
      return false
  }
}

/**
 * Records which software version has begun a stream that its client may take up again. A request that takes
 * one up brings no first event.
 *
 * @example
 * recordOrigin(streamOrigins, context, target.entry.softwareVersion)
 */
export function recordOrigin (streamOrigins: Pick<StreamOrigins, 'begin'>, { request, route, service }: ForwardContext, softwareVersion: string | undefined): void {
  if (service === undefined || route?.requestKind.kind !== 'stream' || !route.requestKind.isResumable) return
  if (request.description.lastEventId !== undefined || request.handover?.progress.lastEventId !== undefined) return
  streamOrigins.begin({ request: request.description.id, service: service.name, softwareVersion, caller: callerOf(request) })
}

/**
 * Returns the stream that a request takes up, if it is not known yet which software version began it.
 *
 * @example
 * const resumption = resumptionOf(context, service, progress)
 */
export function resumptionOf ({ request, route }: ForwardContext, service: ServingService, progress: DispatchProgress): StreamResumption | undefined {
  if (route?.requestKind.kind !== 'stream' || progress.lastEventId === undefined || progress.requiredVersion.kind === 'exactly') return undefined
  const { id, resumes } = request.description
  // A peer may have begun the stream of this request itself.
  const begunBy = resumes ?? (request.handover === undefined ? undefined : id)
  return { request: id, begunBy, service: service.name, caller: callerOf(request) }
}
