import { indexConfiguration, readRule, WILDCARD, type NamedCaller } from '@fuchsiastage/configuration'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { ConfigurationDocument } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import type { ConfigurationView, Filter, Route } from './context.js'

/**
 * Checks that the caller may use the model or service, and that at least one reachable data centre is
 * permitted to run it.
 *
 * @example
 * const filter = createAuthoriseFilter(configuration, ['van-a', 'van-b'])
 */
export function createAuthoriseFilter (configuration: ConfigurationView, dataCentres: readonly string[]): Filter {
  return async (context, next) => {
    if (context.caller === undefined || context.route === undefined) throw new Error('the authorise filter requires a caller and a route; add the identify and parse filters before it')
    const permitted = authorise(configuration.document(), context.caller, context.route, dataCentres)
    return permitted.isOk ? await next(context) : { kind: 'problem', error: permitted.error }
  }
}

/** Returns the data centres in which a configuration document permits a model, adapter or service to run. */
export function permittedDataCentres (document: ConfigurationDocument, route: Pick<Route, 'kind'> & { readonly name: string }): readonly string[] {
  if (route.kind === 'service') return indexConfiguration(document).services.get(route.name)?.dataCentres ?? []
  return readRule(document, route.name)?.dataCentres ?? []
}

export function routeName (route: Route): string {
  return route.kind === 'completion' ? route.model : route.service
}

function authorise (document: ConfigurationDocument, caller: NamedCaller, route: Route, dataCentres: readonly string[]): Result<void, FuchsiastageError> {
  const name = routeName(route)
  const { models, adapters, services } = indexConfiguration(document)
  const exists = route.kind === 'service' ? services.has(name) : models.has(name) || adapters.has(name)
  const allowed = route.kind === 'service' ? caller.services : caller.models
  const kind = route.kind === 'service' ? 'service' : 'model'
  if (!exists) return err(refusal(`${kind}-unknown`, `no ${kind} is named ${name}`, 404))
  if (!allowed.includes(WILDCARD) && !allowed.includes(name)) return err(refusal(`${kind}-not-permitted`, `caller ${caller.name} may not use ${kind} ${name}`, 403))
  const reachable = permittedDataCentres(document, { kind: route.kind, name }).filter((dataCentre) => dataCentres.includes(dataCentre))
  if (reachable.length === 0) return err(refusal('no-permitted-data-centre', `no reachable data centre may run ${kind} ${name}`, 403))
  return ok(undefined)
}

function refusal (code: string, message: string, status: number): FuchsiastageError {
  return createError({ code, message, step: 'authorise', status })
}
