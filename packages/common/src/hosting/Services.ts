import type * as results from 'ts-results-es'
import type * as base from '../base/Types.js'
import type * as membership from '../membership/Services.js'
import type * as messages from '../node/Messages.js'
import type * as types from './Types.js'

/** The part of the membership that the host side uses. */
export type HostMembership = Pick<membership.IMembership, 'onChange' | 'self' | 'get' | 'all' | 'targetsOf' | 'setState'>

export type OwnerLookup =
  /** Calls go to `sendTo`: the owner, or the node that took over its windows. */
  | { readonly kind: 'owner', readonly owner: types.PartitionOwner, readonly sendTo: base.NodeId }
  /**
   * This node knows no owner for keys issued at this time. Another node may know more, so only a key that was never
   * sent before is certainly not run; for a key that the caller sends again the outcome is `unknown`.
   */
  | { readonly kind: 'beyond-horizon', readonly retryAfterMs: base.Millis }
  /** No table is known for the service, or the key was issued before its first window. */
  | { readonly kind: 'no-table' }

/** Maps idempotency keys to their owners by key issue time. */
export interface IOwnershipTable {
  /** Offset of the first record of the `ownership` stream that the table does not include. */
  readonly asOfOffset: number
  readonly tableVersion: number
  readonly horizonMs: base.Millis
  readonly floorMs: base.Millis
  readonly lastChangeMs: base.Millis
  ownerOf(service: string, key: string): results.Result<OwnerLookup, Error>
  /** Whether the process handed its windows over, so that a later process at its address must not adopt them. */
  isReleased(owner: types.PartitionOwner): boolean
  /** Owners of the newest windows by partition; empty without a table. */
  newestOwners(service: string): readonly (types.PartitionOwner | undefined)[]
  /** Folds a record of the `ownership` stream. Returns whether it changed the table. */
  apply(record: types.OwnershipRecord, offset: number): boolean
  /** Passes over a record that cannot be decoded. */
  skip(offset: number): void
  /** Takes an update from a peer. Returns whether it changed the table. */
  merge(update: types.OwnershipUpdate): boolean
  updateSince(tableVersion: number): types.OwnershipUpdate
}

/** Reads the `ownership` stream, and appends to it when this node is a reader. */
export interface IOwnershipLog {
  /** Whether the stream was read to its end after this process started. */
  readonly isCaughtUp: boolean
  tick(nowMs: base.Millis, isReader: boolean): void
  logRead(result: messages.LogReadResult, nowMs: base.Millis): void
  logAppended(result: messages.LogAppendResult, nowMs: base.Millis): void
}

/** Finds a less loaded node of the service that may run a call for this owner. */
export interface IDelegateSelector {
  /** Chooses a node and counts a call as sent to it. `ended` must follow. */
  select(service: string, nowMs: base.Millis): DelegateChoice | undefined
  /** A delegated call has ended, with the load of the delegate if it answered. */
  recordEnd(nodeId: base.NodeId, answer: types.FinalAnswer, load: types.LoadReport | undefined, nowMs: base.Millis): void
}

export interface DelegateChoice {
  readonly nodeId: base.NodeId
  readonly address: string
}

/** Remembers which requests crashed targets. */
export interface ICrashTable {
  /** A record of this node or of a peer that was not known before. */
  readonly onRecorded: base.IEvent<types.CrashRecord>
  /** Whether the call must be refused as `crashes-target`. */
  isBlocked(key: string | undefined, fingerprint: string, nowMs: base.Millis): boolean
  /** Whether the key itself ran on a crashed target. Such a call is never answered `not-run`. */
  hasKey(key: string): boolean
  /** Whether the fingerprint ran on enough crashed targets to be run apart from other suspects. */
  isSuspect(fingerprint: string, nowMs: base.Millis): boolean
  /** A run with the fingerprint was answered: on this node it is no suspect until the next crash. */
  clearSuspicion(fingerprint: string): void
  record(record: types.CrashRecord, nowMs: base.Millis): boolean
  /** Takes the records that a message carries, if any. */
  recordAll(records: readonly types.CrashRecord[] | undefined, nowMs: base.Millis): void
  /** Newest records of the fingerprint, those that block it first; enough of them for a peer to decide as this node does. */
  recordsOf(fingerprint: string): readonly types.CrashRecord[]
  /** Records that peers may not know yet; each is handed out a bounded number of times. */
  pending(limit: number): readonly types.CrashRecord[]
  tick(nowMs: base.Millis): void
}

/** Calls that run on the target beside this node. */
export interface IHostCalls {
  readonly load: types.LoadReport
  /** True when nothing is queued, running or delegated. */
  readonly isIdle: boolean
  /** Whether no call is on the target or waits for it. Calls that this node has delegated do not count. */
  readonly isTargetIdle: boolean
  /** Refuses new keys as `draining` until `endDrain`, so that delegated calls come to an end. */
  close(): void
  /** Decides at once what happens to a call. */
  accept(from: base.NodeId, call: messages.CallMessage, nowMs: base.Millis): types.HostDecision
  /** Must be called right before the request is written to the target. False: drop it as `not-started`. */
  start(runId: number, nowMs: base.Millis): boolean
  /**
   * Ends a run and returns the answer for everyone who waits for it. A streamed answer went to one caller only; the
   * others get what is returned here. `load` is that of the delegate that answered.
   */
  finish(runId: number, result: types.RunResult, nowMs: base.Millis, load?: types.LoadReport): types.FinalAnswer
  /** The target has sent a part of an answer. */
  handleProgress(nowMs: base.Millis): void
  /** The caller is gone. Returns whether the run must be aborted; owners of keys let a started run finish. */
  cancel(runId: number, nowMs: base.Millis): boolean
  /** Takes no new work for the target. Returns what becomes of the queued calls. */
  beginDrain(nowMs: base.Millis): readonly types.HostUpdate[]
  /** Takes new work again. */
  endDrain(): void
  /** Stops running keyed calls for good and returns the key table for the successor. */
  release(to: types.PartitionOwner, nowMs: base.Millis): types.Handover
  /** No process has taken the keys, and none will: they stay here and are refused as `draining`. */
  retain(): void
  /** Windows that this process has taken over. */
  readonly inherited: readonly types.InheritedWindows[]
  /** Takes over the key table of an owner that stops. Without `takesNew`, only a repetition or confirmation is taken. */
  inherit(handover: types.Handover, takesNew: boolean, nowMs: base.Millis): types.InheritResult
  /** Time at which `expire` may have something to do for a queued call; infinite without one. */
  readonly nextDeadlineMs: base.Millis
  /** Returns what becomes of queued calls that can no longer start, and of all queued calls if the target hangs. */
  expire(nowMs: base.Millis): readonly types.HostUpdate[]
  /** Forgets what is no longer needed, and expires queued calls. */
  tick(nowMs: base.Millis): readonly types.HostUpdate[]
}

/** Drain and planned stop of this node. */
export interface ILifecycle {
  /** Also true while the node stops and after it has left. */
  readonly isDraining: boolean
  /** Takes no new work, but keeps the keys. Returns what becomes of the queued calls. */
  beginDrain(nowMs: base.Millis): readonly types.HostUpdate[]
  /** Drains, hands the keys over and leaves. Returns what becomes of the queued calls. */
  beginStop(nowMs: base.Millis): readonly types.HostUpdate[]
  /** Takes work again. Fails after a stop has begun. */
  undrain(nowMs: base.Millis): results.Result<void, Error>
  /** True after a stop: nothing is queued or running and the key table is handed over, or the drain time is over. */
  canExit(nowMs: base.Millis): boolean
  receive(from: base.NodeId, message: messages.LifecycleMessage, nowMs: base.Millis): void
  /** Result of the append of the `release` record. */
  logAppended(result: messages.LogAppendResult, nowMs: base.Millis): void
  tick(nowMs: base.Millis): void
}
