import { createHash } from 'node:crypto'
import { readCaller } from '@fuchsiastage/configuration'
import { createError } from '@fuchsiastage/errors'
import type { ConfigurationView, Filter } from './context.js'

const BEARER = /^Bearer (\S+)$/i

/**
 * Identifies the caller by its bearer token and refuses requests with an unknown one.
 *
 * @example
 * const filter = createIdentifyFilter(configuration)
 */
export function createIdentifyFilter (configuration: ConfigurationView): Filter {
  return async (context, next) => {
    const token = BEARER.exec(String(context.incoming.headers.authorization ?? ''))?.[1]
    const caller = token === undefined
      ? undefined
      : readCaller(configuration.document(), createHash('sha256').update(token).digest('hex'))
    if (caller === undefined) {
      return { kind: 'problem', error: createError({ code: 'caller-unknown', message: 'the bearer token is missing or does not belong to any caller', step: 'identify', status: 401 }) }
    }
    return await next({ ...context, caller, logger: context.logger.child({ caller: caller.name }) })
  }
}
