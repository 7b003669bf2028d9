/** Routes and configurations for tests. */
import type * as types from '../Types.js'

export function route (change: Partial<types.RouteRule> = {}): types.RouteRule {
  return {
    name: 'price',
    host: 'booth.example',
    pathPrefix: '/price/',
    kind: 'idempotent',
    parts: [{ service: 'till', weight: 1 }],
    timeoutMs: 800,
    objectiveMs: 200,
    maxAttempts: 2,
    priority: 2,
    ...change
  }
}

export function rules (routes: readonly types.RouteRule[], version = 1): types.MeshRules {
  return { version, routes, services: [], limits: { maxBodyBytes: 65_536, idleTimeoutMs: 15_000 } }
}
