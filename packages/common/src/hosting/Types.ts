/** Types of the host side: outcomes, load, ownership of idempotency keys, crash records. */
import type * as base from '../base/Types.js'

/** The three outcomes that a caller can get. */
export type Outcome = 'answered' | 'not-run' | 'unknown'

export type OutcomeReason =
  | 'ok'
  | 'no-route'
  | 'no-target'
  | 'no-configuration'
  | 'bad-key'
  | 'key-reused'
  | 'key-too-old'
  | 'stale-send'
  | 'key-too-new'
  | 'key-before-start'
  | 'not-owner'
  | 'owner-unreachable'
  | 'overloaded'
  | 'deadline'
  | 'canceled'
  | 'draining'
  | 'crashes-target'
  | 'target-lost'
  | 'peer-lost'
  | 'body-too-large'
  | 'too-deep'
  | 'answer-not-kept'
  | 'bad-request'
  | 'running'

/** Load of a target, carried on every answer of its host node. */
export interface LoadReport {
  readonly inFlight: number
  readonly queued: number
  readonly slots: number
}

/** A range of key issue times, `fromMs` inclusive, `untilMs` exclusive. */
export interface KeyWindow {
  readonly fromMs: base.Millis
  readonly untilMs: base.Millis
}

export interface PartitionOwner {
  readonly nodeId: base.NodeId
  readonly incarnation: base.Incarnation
}

/** Keys issued at or after `startsAtMs` belong to `owner`, until a later entry of the same partition starts. */
export interface PartitionEntry {
  readonly service: string
  readonly partition: number
  readonly startsAtMs: base.Millis
  readonly owner: PartitionOwner
}

/**
 * Windows of one service in a compact form: the whole table of a large fleet has to fit into one log record.
 * Each group holds the entries with the same start as pairs `partition, index into owners`.
 */
export interface ServiceWindows {
  readonly service: string
  readonly owners: readonly PartitionOwner[]
  readonly groups: readonly WindowGroup[]
}

export interface WindowGroup {
  readonly startsAtMs: base.Millis
  readonly pairs: readonly number[]
}

export interface HorizonRecord {
  readonly kind: 'horizon'
  readonly untilMs: base.Millis
}

export interface PartitionsRecord {
  readonly kind: 'partitions'
  /** Version of the table that the change was computed on; a record on another version is ignored. */
  readonly baseTableVersion: number
  readonly startsAtMs: base.Millis
  readonly services: readonly ServiceWindows[]
}

/**
 * The process has handed its windows to a successor. A later process at its address must not adopt them.
 * Only the owner itself appends it, after it has stopped running keys.
 */
export interface ReleaseRecord extends Release {
  readonly kind: 'release'
}

export interface Release {
  readonly owner: PartitionOwner
  readonly successor: PartitionOwner
}

/** The whole table, re-appended before the log drops the records that made it. */
export interface TableSnapshotRecord extends OwnershipUpdate {
  readonly kind: 'table-snapshot'
}

/**
 * Starts the table anew after the log has dropped every record and no peer holds the table.
 * `floorMs` is not below any horizon that a lost table can have had.
 */
export interface TableResetRecord {
  readonly kind: 'table-reset'
  readonly asOfOffset: number
  readonly floorMs: base.Millis
}

export type OwnershipRecord = HorizonRecord | PartitionsRecord | ReleaseRecord | TableSnapshotRecord | TableResetRecord

/** State of the ownership table as sent between nodes. */
export interface OwnershipUpdate {
  /** Offset of the first log record that the state does not include. Orders all states of the table. */
  readonly asOfOffset: number
  /** Offset of the last record that changed the owners, plus 1. */
  readonly tableVersion: number
  readonly horizonMs: base.Millis
  /** No window starts earlier. */
  readonly floorMs: base.Millis
  /** Newest start of a window that moved. */
  readonly lastChangeMs: base.Millis
  /** Offset after the last record that was not a snapshot. */
  readonly lastChangeOffset: number
  /** Processes that handed over their windows, at most one per node. */
  readonly released: readonly Release[]
  /** `services` holds the services that changed since this version, each whole; all of them if it is 0. */
  readonly sinceVersion: number
  readonly services: readonly ServiceWindows[]
}

/** A request that was running when its target crashed. */
export interface CrashRecord {
  readonly key: string
  readonly fingerprint: string
  readonly nodeId: base.NodeId
  readonly atMs: base.Millis
  /** Calls that ran on the target at that moment; 1 if the crash is attributed to this request. */
  readonly concurrent: number
}

export type KeyState = 'running' | 'answered' | 'refused' | 'unknown'

/** Windows that a node took over from an owner that stopped. */
export interface InheritedWindows {
  readonly from: PartitionOwner
  /**
   * False: the successor owns keys issued up to `atMs` + 2 s; a later process of the owner refuses exactly these.
   * True: the `release` record is in the log, so no later process of the owner adopts its windows, and the successor
   * owns them entirely.
   */
  readonly released: boolean
  readonly atMs: base.Millis
  /** Keys issued up to this time may have been run although `keys` does not hold them. */
  readonly forgottenUntilMs: base.Millis
}

/**
 * `stopping`: this process hands over its own keys and accepts no others. `other-process`: the addressed process has
 * ended, so it is not known whether it took the handover. `returned`: this process took the handover, leaves without a
 * successor, and runs no more keys; it may have run some.
 */
export type HandoverRefusal = 'stopping' | 'other-process' | 'returned'

export type InheritResult = 'taken' | 'stopping' | 'other-process'

/** What a stopping owner passes to its successor. */
export interface Handover extends InheritedWindows {
  readonly to: PartitionOwner
  /** Windows that the stopping owner itself took over earlier. */
  readonly inherited: readonly InheritedWindows[]
  readonly keys: readonly HandoverKey[]
}

export interface HandoverKey {
  readonly key: string
  readonly service: string
  /** 53 bits of the fingerprint. */
  readonly fingerprint: number
  readonly state: KeyState
  readonly reason: OutcomeReason
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | undefined
}

/** What the host does with a call that has arrived. */
export type HostDecision =
  /** Put into the target's queue; it must not start after `latestStartMs`. */
  | { readonly kind: 'run', readonly runId: number, readonly latestStartMs: base.Millis }
  /** Ask another node to run it once. */
  | { readonly kind: 'delegate', readonly runId: number, readonly to: base.NodeId, readonly address: string }
  /** Wait for the running call with the same key; the answer goes to both. */
  | { readonly kind: 'join', readonly runId: number }
  /** Final answer: a stored one or a refusal. */
  | { readonly kind: 'answer', readonly answer: FinalAnswer }

export interface FinalAnswer {
  /** Node that has taken over the keys of this one; only with reason `not-owner`. */
  readonly successor?: base.NodeId
  /** Crash records of the fingerprint that the host knows, for the node that sent the call. */
  readonly crashes?: readonly CrashRecord[]
  readonly outcome: Outcome
  readonly reason: OutcomeReason
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | undefined
  readonly retryAfterMs: base.Millis
}

/** How the run on the target ended. */
export type RunResult =
  | { readonly kind: 'answered', readonly status: number, readonly headers: Readonly<Record<string, string>>, readonly body: Uint8Array | undefined, readonly streamed: boolean, readonly serviceMs: base.Millis }
  /** The request was never written to the target. */
  | { readonly kind: 'not-started', readonly reason: OutcomeReason, /** Records that the delegate knows. */ readonly crashes?: readonly CrashRecord[] }
  /** The request reached the target, but no complete answer came back. */
  | { readonly kind: 'lost', readonly reason: OutcomeReason, readonly targetDied: boolean, /** Records that the delegate knows. */ readonly crashes?: readonly CrashRecord[] }

/** A change of a call that was accepted earlier: its final answer, or a new place to run it. */
export type HostUpdate =
  | { readonly kind: 'answer', readonly runId: number, readonly answer: FinalAnswer }
  /** The waiters of `runId` wait for `delegateRunId` from now on. */
  | { readonly kind: 'delegate', readonly runId: number, readonly delegateRunId: number, readonly to: base.NodeId, readonly address: string }
