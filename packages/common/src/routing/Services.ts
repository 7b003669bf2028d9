import type * as base from '../base/Types.js'
import type * as hosting from '../hosting/Types.js'
import type * as messages from '../node/Messages.js'
import type * as types from './Types.js'

/** Calls that entered the mesh at this node: routing, retries and final outcome. */
export interface IEntryCalls {
  readonly inFlight: number
  /** Decides the first step of a call. The call keeps the configuration that is in force when it begins. */
  begin(request: types.EntryRequest, nowMs: base.Millis): types.EntryDecision
  /** Handles the head of an answer. Returns the final answer or another send. */
  handleAnswer(callId: number, from: base.NodeId, answer: messages.AnswerMessage, nowMs: base.Millis): types.EntryDecision | undefined
  /** Handles a send that brought no answer. With `from`, the failure of an earlier send of the call is ignored. */
  handleFailure(callId: number, failure: types.SendFailure, nowMs: base.Millis, from?: base.NodeId): types.EntryDecision | undefined
  /** Handles the disconnect of the caller. Returns the node to which a `cancel` must be sent, if any. */
  cancel(callId: number, nowMs: base.Millis): base.NodeId | undefined
  /** Earliest deadline of a call; infinite without calls. */
  readonly nextDeadlineMs: base.Millis
  /** Returns the final answers of calls whose deadline has passed. */
  expire(nowMs: base.Millis): readonly types.EntryDecision[]
  /** Expires calls, and removes state that is no longer needed. */
  tick(nowMs: base.Millis): readonly types.EntryDecision[]
}

/** Chooses a target for a call. Each `recordSend` must be followed by one `recordResult`. */
export interface ITargetSelector {
  /** Chooses a target of a service of the configuration in force. */
  select(service: string, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): base.NodeId | undefined
  /** Chooses a target for a call that began under an earlier configuration. */
  selectFor(service: types.ServiceTargets, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): base.NodeId | undefined
  /** Records that a call is being sent to the node. */
  recordSend(nodeId: base.NodeId, nowMs: base.Millis): void
  /** Records the end of a call on the node, with the load of its answer if there is one, and the time since it was sent if known. */
  recordResult(nodeId: base.NodeId, result: types.SendResult, load: hosting.LoadReport | undefined, nowMs: base.Millis, elapsedMs?: base.Millis): void
  /** Estimated `(inFlight + queued) / slots` of a node; infinite while it is ejected. */
  utilizationOf(nodeId: base.NodeId, slots: number, nowMs: base.Millis): number
  /** Removes targets that are no longer used. */
  tick(nowMs: base.Millis): void
}
