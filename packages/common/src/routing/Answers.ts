import type * as base from '../base/Types.js'
import * as keys from '../hosting/Keys.js'
import * as targetStatus from '../hosting/TargetStatus.js'
import type * as hosting from '../hosting/Types.js'
import type * as messages from '../node/Messages.js'
import type * as types from './Types.js'

/** Time after which a caller may retry if the refusal gives none. */
const DEFAULT_RETRY_AFTER_MS = 1_000

/** HTTP status of answers that come from the mesh and not from a target, by reason. */
const STATUS_BY_REASON: Partial<Record<hosting.OutcomeReason, number>> = {
  'no-route': 404,
  'bad-key': 400,
  'key-reused': 422,
  'body-too-large': 413,
  'too-deep': 508,
  deadline: 504,
  'owner-unreachable': 502,
  'peer-lost': 502,
  'target-lost': 502
}

const DEFAULT_STATUS = 503

/** Reasons by which a host node reports a failure of its target. */
const TARGET_FAILURES: ReadonlySet<hosting.OutcomeReason> = new Set<hosting.OutcomeReason>(['target-lost', 'no-target'])

/** Refusals of a host node that accepts no calls at the moment. */
const HOST_REFUSALS: ReadonlySet<hosting.OutcomeReason> = new Set<hosting.OutcomeReason>(['overloaded', 'draining'])

/** Final answer to a call that no target answered. */
export function withoutAnswer (outcome: 'not-run' | 'unknown', reason: hosting.OutcomeReason, retryAfterMs: base.Millis = DEFAULT_RETRY_AFTER_MS): hosting.FinalAnswer {
  return {
    outcome,
    reason,
    status: statusOf(reason),
    headers: {},
    body: undefined,
    retryAfterMs: retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_AFTER_MS
  }
}

/** Refusal by the entry node without asking the owner of the key. With a valid key the outcome is `unknown`, because an earlier send of the key may have run. */
export function refusalAtEntry (reason: hosting.OutcomeReason, key: string | undefined): hosting.FinalAnswer {
  return withoutAnswer(key !== undefined && keys.isKey(key) ? 'unknown' : 'not-run', reason)
}

/** Final answer to the caller, from the answer of a host node. */
export function fromHost (answer: messages.AnswerMessage): hosting.FinalAnswer {
  return {
    outcome: answer.outcome,
    reason: answer.reason,
    status: answer.status > 0 ? answer.status : statusOf(answer.reason),
    headers: answer.headers,
    body: answer.body,
    retryAfterMs: answer.outcome === 'answered' || answer.retryAfterMs > 0 ? answer.retryAfterMs : DEFAULT_RETRY_AFTER_MS
  }
}

/** Adds the idempotency key, so that a caller that supplied none can retry the call. */
export function withKey (answer: hosting.FinalAnswer, key: string): hosting.FinalAnswer {
  return { ...answer, headers: { ...answer.headers, 'idempotency-key': key } }
}

/** Classifies an answer for the load and ejection of its target. */
export function sendResultOf (answer: Pick<messages.AnswerMessage, 'outcome' | 'reason' | 'status'>): types.SendResult {
  if (answer.outcome === 'answered') {
    if (targetStatus.isShedding(answer.status)) return 'refused'
    return targetStatus.isFailure(answer.status) ? 'failure' : 'success'
  }
  if (TARGET_FAILURES.has(answer.reason)) return 'failure'
  return HOST_REFUSALS.has(answer.reason) ? 'refused' : 'neutral'
}

function statusOf (reason: hosting.OutcomeReason): number {
  return STATUS_BY_REASON[reason] ?? DEFAULT_STATUS
}
