import type { ConfigurationView, Filter } from './context.js'

/**
 * Refuses requests while the configuration may be out of date. It must be the first filter, because
 * the others look up callers and rules in the configuration.
 *
 * @example
 * const filter = createFreshnessFilter(configuration)
 */
export function createFreshnessFilter (configuration: ConfigurationView): Filter {
  return async (context, next) => {
    const fresh = configuration.checkFresh()
    return fresh.isOk ? await next(context) : { kind: 'problem', error: fresh.error }
  }
}
