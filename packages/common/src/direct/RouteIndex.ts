import type * as types from './Types.js'

/** Finds the route of a request: of the routes of its host, the one with the longest path prefix. */
export class RouteIndex {
  private readonly _hosts = new Map<string, Map<string, types.RouteRule>>()

  constructor (routes: readonly types.RouteRule[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase()
      let prefixes = this._hosts.get(host)
      if (prefixes === undefined) {
        prefixes = new Map()
        this._hosts.set(host, prefixes)
      }
      prefixes.set(route.pathPrefix, route)
    }
  }

  public find (host: string, path: string): types.RouteRule | undefined {
    const prefixes = this._hosts.get(hostName(host))
    if (prefixes === undefined) return undefined
    const query = path.indexOf('?')
    const end = query < 0 ? path.length : query
    // Every prefix ends with a slash, so only leading parts of the path that end with one can match.
    for (let slash = path.lastIndexOf('/', end - 1); slash >= 0; slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1)) {
      const found = prefixes.get(path.slice(0, slash + 1))
      if (found !== undefined) return found
    }
    return undefined
  }
}

/** The host name in a `Host` header, without the port. */
function hostName (host: string): string {
  const colon = host.lastIndexOf(':')
  const name = colon > host.lastIndexOf(']') ? host.slice(0, colon) : host
  return name.toLowerCase()
}
