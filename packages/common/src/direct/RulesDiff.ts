import type * as types from './Types.js'

/** Routes that differ between two configurations, by host and path prefix. */
export interface RulesDiff {
  readonly added: readonly string[]
  readonly removed: readonly string[]
  readonly changed: readonly string[]
}

/** Compares two configurations. Without a previous one, all routes are new. */
export function diffOf (previous: types.MeshRules | undefined, next: types.MeshRules): RulesDiff {
  const before = textsByLocation(previous?.routes ?? [])
  const after = textsByLocation(next.routes)
  const added: string[] = []
  const changed: string[] = []
  for (const [location, text] of after) {
    const earlier = before.get(location)
    if (earlier === undefined) added.push(location)
    else if (earlier !== text) changed.push(location)
  }
  const removed = [...before.keys()].filter(location => !after.has(location))
  return { added, removed, changed }
}

/** Serialised routes by host and path prefix. The name is left out, because renaming a route has no effect. */
function textsByLocation (routes: readonly types.RouteRule[]): Map<string, string> {
  return new Map(routes.map(route => [`${route.host}${route.pathPrefix}`, JSON.stringify({ ...route, name: '' })]))
}
