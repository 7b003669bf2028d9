/** Shapes of the distribution of configuration between nodes. */
import type * as base from '../base/Types.js'

export type ReadinessReason =
  | 'ready'
  | 'no-configuration-known'
  | 'behind-version-in-force'
  | 'joining'
  | 'target-not-ready'
  | 'draining'

export interface Readiness {
  readonly ready: boolean
  readonly reason: ReadinessReason
  /** Lowest version that the node may enforce, from what it, its peers and the log know. */
  readonly floorVersion: number
  readonly enforcedVersion: number
}

export interface VersionEnforced {
  readonly version: number
  readonly digest: string
  readonly atMs: base.Millis
}
