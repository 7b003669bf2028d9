import type * as types from './Types.js'

/**
 * Divides the calls of a route among its services by smooth weighted round robin: each service gets its share in any
 * stretch of calls, not only in the long run.
 */
export class SplitRotation {
  /** Credit of each part, by route and parts. */
  private readonly _credits = new Map<string, number[]>()

  public next (route: types.RouteRule): string {
    const [first] = route.parts
    if (route.parts.length <= 1) return first?.service ?? ''
    const credits = this._creditsOf(route)
    let total = 0
    let best = 0
    route.parts.forEach(({ weight }, index) => {
      total += weight
      credits[index] = (credits[index] ?? 0) + weight
      if ((credits[index] ?? 0) > (credits[best] ?? 0)) best = index
    })
    credits[best] = (credits[best] ?? 0) - total
    return route.parts[best]?.service ?? ''
  }

  /** Forgets the state of routes that are not in force any more. */
  public keepOnly (routes: readonly types.RouteRule[]): void {
    const kept = new Set(routes.map(keyOf))
    for (const key of this._credits.keys()) {
      if (!kept.has(key)) this._credits.delete(key)
    }
  }

  private _creditsOf (route: types.RouteRule): number[] {
    const key = keyOf(route)
    let credits = this._credits.get(key)
    if (credits === undefined) {
      credits = route.parts.map(() => 0)
      this._credits.set(key, credits)
    }
    return credits
  }
}

function keyOf (route: types.RouteRule): string {
  return `${route.host}${route.pathPrefix} ${route.parts.map(({ service, weight }) => `${service}=${weight}`).join(' ')}`
}
