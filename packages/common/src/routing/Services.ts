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
  failed(callId: number, failure: types.SendFailure, nowMs: base.Millis): types.EntryDecision | undefined
  /** The caller is gone. Returns the node that has to be told, if any. */
  cancel(callId: number, nowMs: base.Millis): base.NodeId | undefined
  /** Expires calls whose deadline has passed and returns their final answers. */
  tick(nowMs: base.Millis): readonly types.EntryDecision[]
}

/** Chooses a target for a call. */
export interface ITargetSelector {
  select(service: string, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): base.NodeId | undefined
  /** Load and success of an answer, or a failure to get one. */
  observe(nodeId: base.NodeId, result: 'success' | 'failure' | 'refused', load: hosting.LoadReport | undefined, nowMs: base.Millis): void
}
