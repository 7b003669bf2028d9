import type * as results from 'ts-results-es'
import type * as base from '../base/Types.js'
import type * as messages from '../node/Messages.js'
import type * as types from './Types.js'

export type OwnerLookup =
  | { readonly kind: 'owner', readonly owner: types.PartitionOwner }
  /** Nobody owns keys issued at this time yet; the call is certainly not run. */
  | { readonly kind: 'beyond-horizon', readonly retryAfterMs: base.Millis }
  /** No table is known for the service. */
  | { readonly kind: 'no-table' }

/** Maps idempotency keys to their owners by key issue time. */
export interface IOwnershipTable {
  readonly tableVersion: number
  readonly horizonMs: base.Millis
  ownerOf(service: string, key: string): results.Result<OwnerLookup, Error>
  /** Folds a record of the `ownership` stream. Returns whether it changed the table. */
  apply(record: types.OwnershipRecord): boolean
  /** Takes an update from a peer. Returns whether it changed the table. */
  merge(update: types.OwnershipUpdate): boolean
  updateSince(tableVersion: number): types.OwnershipUpdate
}

/** Appends horizon and partition records when this node is a reader. */
export interface IOwnershipLog {
  tick(nowMs: base.Millis, isReader: boolean): void
  logRead(result: messages.LogReadResult, nowMs: base.Millis): void
  logAppended(result: messages.LogAppendResult, nowMs: base.Millis): void
}

/** Remembers which requests crashed targets. */
export interface ICrashTable {
  /** Whether the call must be refused as `crashes-target`. */
  isBlocked(key: string | undefined, fingerprint: string, nowMs: base.Millis): boolean
  record(record: types.CrashRecord, nowMs: base.Millis): boolean
  /** Records that peers may not know yet; each is handed out a bounded number of times. */
  pending(limit: number): readonly types.CrashRecord[]
  tick(nowMs: base.Millis): void
}

/** Calls that run on the target beside this node. */
export interface IHostCalls {
  readonly load: types.LoadReport
  /** Decides at once what happens to a call. */
  accept(from: base.NodeId, call: messages.CallMessage, nowMs: base.Millis): types.HostDecision
  /** Must be called right before the request is written to the target. False: drop it as `not-started`. */
  start(runId: number, nowMs: base.Millis): boolean
  /** Ends a run and returns the answer for everyone who waits for it. */
  finish(runId: number, result: types.RunResult, nowMs: base.Millis): types.FinalAnswer
  /** The caller is gone. Returns whether the run must be aborted; owners of keys let a started run finish. */
  cancel(runId: number, nowMs: base.Millis): boolean
  tick(nowMs: base.Millis): void
}

/** Drain and planned stop of this node. */
export interface ILifecycle {
  readonly isDraining: boolean
  beginDrain(nowMs: base.Millis): void
  /** Takes work again after a drain that was not followed by a stop. */
  endDrain?(nowMs: base.Millis): void
  /** True when nothing is queued or running, the key table is handed over or the drain time is over. */
  canExit(nowMs: base.Millis): boolean
  receive(from: base.NodeId, message: messages.HandoverMessage | messages.HandoverAckMessage, nowMs: base.Millis): void
  tick(nowMs: base.Millis): void
}
