import type { ConfigurationView, Filter } from './context.js'

/**
 * Refuses requests while the configuration may be out of date. It is the first filter, because
 * callers and rules are looked up in the configuration.
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
