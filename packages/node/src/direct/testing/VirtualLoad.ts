import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'

/** Load and work of one route. */
export interface VirtualRoute {
  readonly rule: direct.RouteRule
  /** Calls of callers to the whole fleet, without nested calls. */
  readonly callsPerS: number
  readonly workMs: base.Millis
  /** Route of the nested call that a target makes in a share of its runs. */
  readonly below?: { readonly path: string, readonly share: number, readonly remainingMs?: base.Millis }
}

/** A customer, whose name is its key, and how much of the calls of callers are its own. */
export interface VirtualCustomer {
  readonly rule: direct.CustomerRule
  /** Relative to the weights of the others. */
  readonly weightAt: (nowMs: base.Millis) => number
}

/** Places of the nodes and the ways between them. */
export interface VirtualTopology {
  /** Nodes are placed in the zones in turn. */
  readonly zones: number
  /** One way between nodes. */
  readonly sameZoneMs: base.Millis
  readonly otherZoneMs: base.Millis
}
