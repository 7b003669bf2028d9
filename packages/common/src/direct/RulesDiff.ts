import type * as types from './Types.js'

/** Routes that differ between two configurations, by host and path prefix. */
export interface RulesDiff {
  readonly added: readonly string[]
  readonly removed: readonly string[]
  readonly changed: readonly string[]
}

/** Compares two configurations. Without a previous one, all routes are new. */
export function diffOf (previous: types.MeshRules | undefined, next: types.MeshRules): RulesDiff {
  const before = byPlace(previous?.routes ?? [])
  const after = byPlace(next.routes)
  const added: string[] = []
  const changed: string[] = []
  for (const [place, text] of after) {
    const earlier = before.get(place)
    if (earlier === undefined) added.push(place)
    else if (earlier !== text) changed.push(place)
  }
  const removed = [...before.keys()].filter(place => !after.has(place))
  return { added, removed, changed }
}

/** Text of each route by its place. The name of a route may change without any effect. */
function byPlace (routes: readonly types.RouteRule[]): Map<string, string> {
  return new Map(routes.map(route => [`${route.host}${route.pathPrefix}`, JSON.stringify({ ...route, name: '' })]))
}
