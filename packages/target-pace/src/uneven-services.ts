/** Services whose targets state how long work takes on their machines, so they differ and change in speed. */
export interface UnevenServices {
  /** Records that a target of the service has stated how long work takes. */
  readonly record: (service: string) => void
  readonly has: (service: string) => boolean
}

/**
 * Creates the record of the services to which learned speeds, the spread of choices and the pace of new
 * targets apply. Services whose targets state no relative work time are served as if all targets were equal.
 *
 * @example
 * const unevenServices = createUnevenServices()
 * if (load.relativeWorkTime !== undefined) unevenServices.record('drafter')
 */
export function createUnevenServices (): UnevenServices {
  const services = new Set<string>()
  return {
    record: (service) => { services.add(service) },
    has: (service) => services.has(service)
  }
}
