/** Types of the member table, which has one row per node. */
import type * as base from '../base/Types.js'

export type MemberState = 'joining' | 'ready' | 'draining' | 'left' | 'suspect' | 'dead'

export interface MemberRow {
  readonly nodeId: base.NodeId
  readonly incarnation: base.Incarnation
  readonly state: MemberState
  /** `host:port` of the peer endpoint. */
  readonly peerAddress: string
  /** `host:port` of the callers' endpoint. */
  readonly callerAddress: string
  readonly zone: string
  /** Service of the target beside the node, or empty if it has none. */
  readonly service: string
  /** Whether the target beside the node is up. Routing uses rows that are `ready` with a ready target. */
  readonly targetReady: boolean
  /** Time at which the target became ready, for slow start. */
  readonly targetReadySinceMs: base.Millis
  /** Configuration version that arrived with the row. `IMembership.versionOf` returns the highest one known. */
  readonly enforcedVersion: number
  /** `host:port` of the administration endpoint. */
  readonly adminAddress: string
  /** Incremented when other fields change within one incarnation and state. */
  readonly revision: number
  /** Node that took over the key windows of a row that has left; empty if none. */
  readonly successor: string
}

/**
 * A row in a message: nodeId, incarnation, state, peerAddress, callerAddress, adminAddress, zone, service,
 * targetReady, targetReadySinceMs, enforcedVersion, revision, successor.
 */
export type WireRow = readonly [
  base.NodeId, base.Incarnation, MemberState, string, string, string, string, string,
  boolean, base.Millis, number, number, string
]

/** Fields that a node announces about itself. */
export type SelfAnnouncement = Omit<MemberRow, 'state' | 'revision' | 'successor'>

export interface MemberChange {
  readonly previous: MemberRow | undefined
  /** The new row; for a removed row, the last one. */
  readonly current: MemberRow
  /** Whether the row was removed from the table. */
  readonly forgotten: boolean
}

export interface PeerVersion {
  readonly nodeId: base.NodeId
  readonly version: number
  /** Length of the `ownership` stream that the peer's table includes. */
  readonly ownershipOffset: number
}
