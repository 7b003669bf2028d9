import type * as base from '../base/Types.js'
import type * as hosting from '../hosting/Types.js'
import type * as messages from '../node/Messages.js'
import type * as types from './Types.js'

/** Calls that entered the mesh at this node: routing, retries and final outcome. */
export interface IEntryCalls {
  readonly inFlight: number
  /** Decides the first step of a call. The call keeps the configuration that is in force now. */
  begin(request: types.EntryRequest, nowMs: base.Millis): types.EntryDecision
  /** Head of an answer arrived. Gives the final answer, or another send. */
  answered(callId: number, from: base.NodeId, answer: messages.AnswerMessage, nowMs: base.Millis): types.EntryDecision | undefined
  /** A send brought no answer. With `from`, a failure of an earlier send of the call is ignored. */
  failed(callId: number, failure: types.SendFailure, nowMs: base.Millis, from?: base.NodeId): types.EntryDecision | undefined
  /** The caller is gone. Returns the node that has to be told, if any. */
  cancel(callId: number, nowMs: base.Millis): base.NodeId | undefined
  /** Earliest deadline of a call; infinite without calls. */
  readonly nextDeadlineMs: base.Millis
  /** Returns the final answers of calls whose deadline has passed. */
  expire(nowMs: base.Millis): readonly types.EntryDecision[]
  /** Expires calls, and forgets what is no longer needed. */
  tick(nowMs: base.Millis): readonly types.EntryDecision[]
}

/** Chooses a target for a call. Every `sent` must be followed by one `observe`. */
export interface ITargetSelector {
  /** Chooses a target of a service of the configuration in force. */
  select(service: string, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): base.NodeId | undefined
  /** Chooses a target for a call that began under an earlier configuration. */
  selectFor(service: types.ServiceTargets, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): base.NodeId | undefined
  /** A call was handed out for sending to the node. */
  sent(nodeId: base.NodeId, nowMs: base.Millis): void
  /** The call on the node ended, with the load of its answer if there was one, and the time since it was sent if known. */
  observe(nodeId: base.NodeId, result: types.SendResult, load: hosting.LoadReport | undefined, nowMs: base.Millis, elapsedMs?: base.Millis): void
  /** Estimated `(inFlight + queued) / slots` of a node; infinite while it is ejected. */
  utilizationOf(nodeId: base.NodeId, slots: number, nowMs: base.Millis): number
  /** Forgets targets that are no longer used. */
  tick(nowMs: base.Millis): void
}
