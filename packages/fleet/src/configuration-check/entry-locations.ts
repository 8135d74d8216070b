import type { ServingCustomer, ServingRoute } from '../serving-configuration.js'
import type { EntryLocation } from './findings.js'

export function routeLocation ({ name, host, prefix }: ServingRoute, position: number): EntryLocation {
  return { kind: 'route', position, name, host, prefix }
}

export function serviceLocation (name: string): EntryLocation {
  return { kind: 'service', name }
}

export function modelLocation (service: string, name: string): EntryLocation {
  return { kind: 'model', service, name }
}

export function customerLocation ({ name }: ServingCustomer, position: number): EntryLocation {
  return { kind: 'customer', position, name }
}
