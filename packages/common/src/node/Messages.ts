/**
 * Messages between nodes, and the effects that the core asks its process to carry out.
 * Every message is a plain map with a `kind`, encoded by `msgpackr`.
 */
import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as hosting from '../hosting/Types.js'
import type * as membership from '../membership/Types.js'

/** First message in both directions on a new connection. */
export interface HelloMessage {
  readonly kind: 'hello'
  readonly nodeId: base.NodeId
  readonly incarnation: base.Incarnation
  readonly zone: string
  readonly version: number
  /** Sender's clock, used to check the clock difference. */
  readonly sentAtMs: base.Millis
  /** Frame encodings that the sender accepts in addition to plain MessagePack. */
  readonly encodings?: readonly string[]
}

/**
 * Asks a seed for rows. Sent with an empty `to`, because only the address of a seed is known;
 * the process delivers it after the `hello` exchange. Answered by `table-rows`.
 */
export interface JoinMessage {
  readonly kind: 'join'
  readonly row: membership.WireRow
  /** True if the sender knows few rows and asks for a page of them. */
  readonly wantsRows: boolean
}

/** Sends new rows to a few random members without waiting for the next heartbeats. */
export interface GossipMessage {
  readonly kind: 'gossip'
  readonly version: number
  /** Length of the `ownership` stream that the sender's table includes. */
  readonly ownershipOffset: number
  readonly updates: readonly membership.WireRow[]
  readonly crashes: readonly hosting.CrashRecord[]
}

export interface ProbeMessage {
  readonly kind: 'probe'
  readonly sequence: number
  readonly version: number
  /** Length of the `ownership` stream that the sender's table includes. */
  readonly ownershipOffset: number
  readonly updates: readonly membership.WireRow[]
  readonly crashes: readonly hosting.CrashRecord[]
}

export interface ProbeRequestMessage {
  readonly kind: 'probe-request'
  readonly sequence: number
  readonly target: base.NodeId
}

export interface ProbeAckMessage {
  readonly kind: 'probe-ack'
  readonly sequence: number
  /** The probed node; differs from the sender for indirect probes. */
  readonly target: base.NodeId
  readonly version: number
  /** Length of the `ownership` stream that the sender's table includes. */
  readonly ownershipOffset: number
  readonly updates: readonly membership.WireRow[]
  readonly crashes: readonly hosting.CrashRecord[]
}

export interface TableDigestMessage {
  readonly kind: 'table-digest'
  /** One hash per bucket of the member table; the length is a power of two. */
  readonly buckets: readonly number[]
}

export interface TableRowsMessage {
  readonly kind: 'table-rows'
  /** At most one page of rows. */
  readonly rows: readonly membership.WireRow[]
  /** Buckets whose rows the sender wants in return. */
  readonly wantedBuckets: readonly number[]
  /** Number of buckets that `wantedBuckets` refers to; 0 if it is empty. */
  readonly bucketCount: number
}

export type MembershipMessage =
  | JoinMessage
  | GossipMessage
  | ProbeMessage
  | ProbeRequestMessage
  | ProbeAckMessage
  | TableDigestMessage
  | TableRowsMessage

/**
 * Distributes a new version or a change of the ownership table down the push tree.
 * At most one of `delta` and `state` is present; neither if only the ownership table changed.
 */
export interface PushMessage {
  readonly kind: 'push'
  readonly version: number
  /** Reader at the root of the tree. */
  readonly rootId: base.NodeId
  /** Sequence number of the push at the root. */
  readonly sequence: number
  /** The receiver forwards the push to the members of its zone that follow it, up to this id in circular id order; empty for a leaf. */
  readonly untilId: base.NodeId
  /** Time since the root last read the log to its end; -1 if not known. */
  readonly logCheckedAgoMs: base.Millis
  readonly delta?: config.ConfigDeltaMessage
  readonly state?: config.AcceptedState
  readonly ownership?: hosting.OwnershipUpdate
}

/** Answer to a push: a receipt (`final` is false), and later the summary of the subtree. */
export interface PushAckMessage {
  readonly kind: 'push-ack'
  readonly rootId: base.NodeId
  readonly sequence: number
  readonly final: boolean
  /** Nodes of the subtree that enforce the version. */
  readonly count: number
  readonly firstAtMs: base.Millis
  readonly lastAtMs: base.Millis
}

export interface PullMessage {
  readonly kind: 'pull'
  /** The answer holds only a newer version. A starting node sends `Number.MAX_SAFE_INTEGER` to learn only the version number. */
  readonly haveVersion: number
  readonly haveDigest: string
  readonly haveOwnershipVersion: number
  /** The answer holds the table only if it includes more of the `ownership` stream. */
  readonly haveOwnershipOffset: number
}

/** Versions known to the sender; part of each answer to `pull`. */
export interface VersionEvidence {
  /** Version that the sender enforces; 0 if none. */
  readonly version: number
  /** Highest version that the sender has seen the receiver, or an earlier process of it, enforce. */
  readonly recordedVersion: number
  /** Time since the sender, or the node from which it received its state, last read the log to its end; -1 if not known. */
  readonly logCheckedAgoMs: base.Millis
}

/** Answer to `pull`. Without `delta` and `state`, the sender has no newer version. */
export interface StateMessage extends VersionEvidence {
  readonly kind: 'state'
  readonly delta?: config.ConfigDeltaMessage
  readonly state?: config.AcceptedState
  readonly ownership?: hosting.OwnershipUpdate
}

/** Answer to `pull` while the sender is already sending too many whole states. */
export interface BusyMessage extends VersionEvidence {
  readonly kind: 'busy'
  readonly retryAfterMs: base.Millis
}

export type DistributionMessage = PushMessage | PushAckMessage | PullMessage | StateMessage | BusyMessage

export interface HandoverMessage {
  readonly kind: 'handover'
  readonly handover: hosting.Handover
}

export interface HandoverAckMessage {
  readonly kind: 'handover-ack'
  readonly fromNodeId: base.NodeId
  readonly incarnation: base.Incarnation
  /** Copy of this field of the acknowledged handover. */
  readonly released: boolean
}

/** The sender of this message rejects the handover for its lifetime, or gives the windows back. */
export interface HandoverRefusalMessage {
  readonly kind: 'handover-refusal'
  readonly fromNodeId: base.NodeId
  readonly incarnation: base.Incarnation
  readonly reason: hosting.HandoverRefusal
}

export type LifecycleMessage = HandoverMessage | HandoverAckMessage | HandoverRefusalMessage

/** A call from an entry node to a host node, or from an owner to its delegate. */
export interface CallMessage {
  readonly kind: 'call'
  /** Unique per entry node incarnation; never reused. */
  readonly callId: number
  readonly route: string
  readonly service: string
  readonly version: number
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | undefined
  readonly remainingMs: base.Millis
  /**
   * Time by the entry node's clock at which the call arrived from its caller, unchanged when the same key is sent again; by
   * the owner's clock for a delegated call. Owners refuse old sends, so that no delayed send of a call that was refused as
   * `not-run` can run.
   */
  readonly sentAtMs: base.Millis
  readonly key: string | undefined
  readonly fingerprint: string
  readonly depth: number
  readonly attempt: number
  /** Owner of the key, present if it delegates the call to this node for one run. */
  readonly delegatedBy?: base.NodeId
  /** Crash records of the fingerprint that the sender knows; absent if there are none. */
  readonly crashes?: readonly hosting.CrashRecord[]
}

export interface CancelMessage {
  readonly kind: 'cancel'
  readonly callId: number
}

/** Head of an answer. `body` is the whole body if `last` is true; otherwise `chunk` messages follow. */
export interface AnswerMessage {
  readonly kind: 'answer'
  readonly callId: number
  readonly outcome: hosting.Outcome
  readonly reason: hosting.OutcomeReason
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | undefined
  readonly last: boolean
  readonly retryAfterMs: base.Millis
  readonly load: hosting.LoadReport
  /** Node that has taken over the keys of the sender; only with reason `not-owner`. */
  readonly successor?: base.NodeId
  /** Time from writing the request to the target until its answer was complete. */
  readonly targetMs?: base.Millis
  /** Crash records of the call's fingerprint that the sender knows; absent if there are none, and on an answer of the target. */
  readonly crashes?: readonly hosting.CrashRecord[]
}

export interface ChunkMessage {
  readonly kind: 'chunk'
  readonly callId: number
  readonly sequence: number
  readonly body: Uint8Array | undefined
  readonly last: boolean
  /** The answer cannot be completed; the entry node destroys the caller's connection. */
  readonly failed: boolean
}

/** The caller has received the chunks up to `sequence`; the host sends only a bounded number of further chunks. */
export interface ChunkCreditMessage {
  readonly kind: 'chunk-credit'
  readonly callId: number
  readonly sequence: number
}

export type CallPathMessage = CallMessage | CancelMessage | AnswerMessage | ChunkMessage | ChunkCreditMessage

export type ControlMessage =
  | MembershipMessage
  | DistributionMessage
  | LifecycleMessage

export type PeerMessage = HelloMessage | ControlMessage | CallPathMessage

export type StreamName = 'config' | 'ownership' | 'audit'

/** An action that the core requests from its process. */
export type Effect =
  /** An empty `to` means any node that answers at `address`; an empty `address` means the open connection to `to`. */
  | { readonly kind: 'send', readonly to: base.NodeId, readonly address: string, readonly message: ControlMessage }
  | { readonly kind: 'read-log', readonly stream: StreamName, readonly fromOffset: number, readonly limit: number, readonly waitMs: base.Millis }
  | { readonly kind: 'append-log', readonly stream: StreamName, readonly requestId: string, readonly data: unknown }

/** Collects effects. The process drains them after each call into the core. */
export interface IEffects {
  push(effect: Effect): void
}

export interface LogReadResult {
  readonly stream: StreamName
  readonly ok: boolean
  readonly records: readonly config.LogRecord[]
  /** Oldest offset still kept by the log. */
  readonly firstOffset: number
  readonly nextOffset: number
  /** Time for which the log keeps a record, if the log reports it. */
  readonly retentionMs: base.Millis
}

/** `unknown` means that the append may have taken effect. */
export interface LogAppendResult {
  readonly stream: StreamName
  readonly requestId: string
  readonly status: 'appended' | 'refused' | 'unknown'
  readonly offset: number
}
