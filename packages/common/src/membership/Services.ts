import type * as base from '../base/Types.js'
import type * as messages from '../node/Messages.js'
import type * as types from './Types.js'

/** Tracks the nodes of the mesh and detects failures. */
export interface IMembership {
  /** Fires when a row is added, changed or removed, but not when only a heartbeat version changes. */
  readonly onChange: base.IEvent<types.MemberChange>
  /** Fires when a peer reports the configuration version that it enforces. */
  readonly onPeerVersion: base.IEvent<types.PeerVersion>
  readonly self: types.MemberRow
  get(nodeId: base.NodeId): types.MemberRow | undefined
  all(): Iterable<types.MemberRow>
  /** Highest configuration version that the node is known to enforce; 0 for an unknown node. */
  versionOf(nodeId: base.NodeId): number
  /** Rows with state `ready` and a ready target for the service. Cached until a row of the service changes. */
  targetsOf(service: string): readonly types.MemberRow[]
  /** Live rows (`joining`, `ready` or `draining`) of a zone, sorted by id. */
  liveInZone(zone: string): readonly types.MemberRow[]
  /** Ids of `liveInZone`. The list is updated in place, so callers must not keep it. */
  liveIdsInZone(zone: string): readonly base.NodeId[]
  /** Number of rows of any state, this node's included. */
  readonly size: number
  /** Zones that have live rows, sorted. */
  zones(): readonly string[]
  /** A random live member other than this node. */
  randomPeer(): types.MemberRow | undefined
  /** Highest version that peers have recorded for earlier processes of this node. */
  readonly recordedSelfVersion: number
  /** Whether a peer has answered, or the time to wait for one has passed. */
  readonly isJoined: boolean
  /** Whether the table has not grown for a while after the join, so that choices over all members are meaningful. */
  readonly isSettled: boolean
  announce(change: Partial<Pick<types.MemberRow, 'targetReady' | 'targetReadySinceMs' | 'enforcedVersion'>>, nowMs: base.Millis): void
  setState(state: 'ready' | 'draining' | 'left', nowMs: base.Millis, successor?: base.NodeId): void
  /** Probes a peer at once because the connection to it broke. */
  handleConnectionLost(nodeId: base.NodeId, nowMs: base.Millis): void
  tick(nowMs: base.Millis): void
  receive(from: base.NodeId, message: messages.MembershipMessage, nowMs: base.Millis): void
}
