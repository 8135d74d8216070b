import type { Logger } from '@fuchsiastage/logger'
import Emittery from 'emittery'
import type { ServingConfiguration } from './serving-configuration.js'

export interface ConfigurationHolder {
  readonly events: Emittery<{ readonly changed: ServingConfiguration }>
  /** Activates the configuration if its version is higher than the active one; returns whether it did. */
  readonly apply: (configuration: ServingConfiguration, source: string) => boolean
  readonly current: () => ServingConfiguration | undefined
}

/**
 * Creates the holder of the active configuration, whose version only increases.
 *
 * @example
 * const holder = createConfigurationHolder(logger)
 * holder.apply(configuration, 'log')
 */
export function createConfigurationHolder (logger: Logger): ConfigurationHolder {
  const events = new Emittery<{ readonly changed: ServingConfiguration }>()
  let current: ServingConfiguration | undefined

  const apply = (configuration: ServingConfiguration, source: string): boolean => {
    if (current !== undefined && configuration.version <= current.version) return false
    current = configuration
    logger.info('activated a new configuration version', { event: 'configuration-applied', version: configuration.version, source, routes: configuration.routes.length })
    void events.emit('changed', configuration)
    return true
  }

  return { events, apply, current: () => current }
}
