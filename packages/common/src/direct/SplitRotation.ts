import type * as types from './Types.js'

/**
 * Distributes the calls of a route over its services by smooth weighted round robin: each service gets its share also of
 * any short sequence of calls, not only in the long run.
 */
export class SplitRotation {
  /** Current weight of each part, by route and its parts. */
  private readonly _currentWeights = new Map<string, number[]>()

  public next (route: types.RouteRule): string {
    const [first] = route.parts
    if (route.parts.length <= 1) return first?.service ?? ''
    const currentWeights = this._currentWeightsOf(route)
    let total = 0
    let best = 0
    route.parts.forEach(({ weight }, index) => {
      total += weight
      currentWeights[index] = (currentWeights[index] ?? 0) + weight
      if ((currentWeights[index] ?? 0) > (currentWeights[best] ?? 0)) best = index
    })
    currentWeights[best] = (currentWeights[best] ?? 0) - total
    return route.parts[best]?.service ?? ''
  }

  /** Removes the state of routes that are no longer in force. */
  public keepOnly (routes: readonly types.RouteRule[]): void {
    const kept = new Set(routes.map(keyOf))
    for (const key of this._currentWeights.keys()) {
      if (!kept.has(key)) this._currentWeights.delete(key)
    }
  }

  private _currentWeightsOf (route: types.RouteRule): number[] {
    const key = keyOf(route)
    let currentWeights = this._currentWeights.get(key)
    if (currentWeights === undefined) {
      currentWeights = route.parts.map(() => 0)
      this._currentWeights.set(key, currentWeights)
    }
    return currentWeights
  }
}

function keyOf (route: types.RouteRule): string {
  return `${route.host}${route.pathPrefix} ${route.parts.map(({ service, weight }) => `${service}=${weight}`).join(' ')}`
}
