/** Types of the distribution of configuration between nodes. */
import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'

export type ReadinessReason =
  | 'ready'
  | 'no-configuration-known'
  | 'behind-version-in-force'
  | 'joining'
  | 'target-not-ready'
  | 'draining'
  /** No owner of idempotency keys is known for a service that has targets; keyed calls would end `unknown`. */
  | 'no-key-owners'
  /** The log holds a version that this software cannot read. The node keeps the version that it enforces. */
  | 'upgrade-needed'

export interface Readiness {
  readonly ready: boolean
  readonly reason: ReadinessReason
  /** Lowest version that the node may enforce, as known to it, its peers and the log. */
  readonly floorVersion: number
  readonly enforcedVersion: number
  /** Why a later version in the log cannot be read, with the remedy; absent if there is none. */
  readonly upgradeReason?: string
}

export interface VersionEnforced {
  readonly version: number
  readonly digest: string
  readonly atMs: base.Millis
}

/** Records of the stream `audit`. */
export type AuditRecord =
  | { readonly kind: 'proposed', readonly proposalId: string, readonly version: number, readonly author: string, readonly atMs: base.Millis }
  | { readonly kind: 'accepted' | 'rejected', readonly proposalId: string, readonly version: number, readonly verdict: config.VerdictKind, readonly reason: string, readonly offset: number, readonly atMs: base.Millis }
  | { readonly kind: 'enforced', readonly zone: string, readonly version: number, readonly count: number, readonly firstAtMs: base.Millis, readonly lastAtMs: base.Millis }

/**
 * How versions are distributed between nodes. Nodes use `hybrid`; the others exist for comparison in the benchmark:
 * `tree` never pulls once the restart evidence is complete, `gossip` never pushes.
 */
export type DistributionStrategy = 'hybrid' | 'tree' | 'gossip'
