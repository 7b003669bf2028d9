import type * as base from '../base/Types.js'
import type * as messages from '../node/Messages.js'
import type * as types from './Types.js'

/** Knows the nodes of the mesh and detects failures. */
export interface IMembership {
  readonly onChange: base.IEvent<types.MemberChange>
  readonly self: types.MemberRow
  get(nodeId: base.NodeId): types.MemberRow | undefined
  all(): Iterable<types.MemberRow>
  /** Rows with state `ready` and a ready target for the service. Cached until a row of the service changes. */
  targetsOf(service: string): readonly types.MemberRow[]
  /** Live rows (`joining`, `ready` or `draining`) of a zone, sorted by id. */
  liveInZone(zone: string): readonly types.MemberRow[]
  announce(change: Partial<Pick<types.MemberRow, 'targetReady' | 'targetReadySinceMs' | 'enforcedVersion'>>, nowMs: base.Millis): void
  setState(state: 'ready' | 'draining' | 'left', nowMs: base.Millis, successor?: base.NodeId): void
  /** The connection to a peer broke; it is probed at once. */
  connectionLost(nodeId: base.NodeId, nowMs: base.Millis): void
  tick(nowMs: base.Millis): void
  receive(from: base.NodeId, message: messages.MembershipMessage, nowMs: base.Millis): void
}
