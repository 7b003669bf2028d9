import type * as config from '../config/Types.js'
import type * as types from './Types.js'

/** A route and its service from one configuration document. */
export interface ResolvedRoute {
  readonly route: config.RouteConfig
  readonly service: types.ServiceTargets
}

const tables = new WeakMap<config.AcceptedState, RouteTable>()

/**
 * Routes of one accepted state, compiled for lookup by method and path.
 * A prefix matches whole path segments: `/till/charge` matches `/till/charge/7` but not `/till/chargeback`.
 */
export class RouteTable {
  private readonly _byPrefix = new Map<string, Map<string, ResolvedRoute>>()
  private readonly _services = new Map<string, types.ServiceTargets>()

  constructor (document: config.ConfigDocument) {
    const zonesOf = zonesByService(document.targets)
    for (const service of document.services) this._addService(service, zonesOf.get(service.name), document.terms.zonePreference)
    for (const route of document.routes) this._addRoute(route)
  }

  /** Returns the table of a state, which is compiled once and shared by all cores of a process. */
  public static of (state: config.AcceptedState): RouteTable {
    let table = tables.get(state)
    if (table === undefined) {
      table = new RouteTable(state.document)
      tables.set(state, table)
    }
    return table
  }

  public service (name: string): types.ServiceTargets | undefined {
    return this._services.get(name)
  }

  /** Finds the route with the longest matching prefix; an exact method takes precedence over `*` on the same prefix. */
  public find (method: string, path: string): ResolvedRoute | undefined {
    let prefix = withoutQuery(path)
    for (;;) {
      const byMethod = this._byPrefix.get(prefix)
      const found = byMethod?.get(method) ?? byMethod?.get('*')
      if (found !== undefined) return found
      if (prefix === '') return undefined
      prefix = prefix.slice(0, Math.max(0, prefix.lastIndexOf('/')))
    }
  }

  private _addService (service: config.ServiceConfig, zones: ReadonlySet<string> | undefined, zonePreference: config.ZonePreference): void {
    this._services.set(service.name, { config: service, zones: zones ?? new Set(), zonePreference })
  }

  private _addRoute (route: config.RouteConfig): void {
    const service = this._services.get(route.service)
    if (service === undefined) return
    const prefix = route.match.pathPrefix.replace(/\/+$/, '')
    const byMethod = this._byPrefix.get(prefix) ?? new Map<string, ResolvedRoute>()
    if (!byMethod.has(route.match.method)) byMethod.set(route.match.method, { route, service })
    this._byPrefix.set(prefix, byMethod)
  }
}

/** Zones of all rules of each service, in one pass: a pass per service dominates the time at 810 services. */
function zonesByService (rules: readonly config.TargetRule[]): ReadonlyMap<string, ReadonlySet<string>> {
  const zonesOf = new Map<string, Set<string>>()
  for (const rule of rules) {
    const zones = zonesOf.get(rule.service) ?? new Set()
    for (const zone of rule.zones) zones.add(zone)
    zonesOf.set(rule.service, zones)
  }
  return zonesOf
}

function withoutQuery (path: string): string {
  const end = path.search(/[?#]/)
  return end < 0 ? path : path.slice(0, end)
}
