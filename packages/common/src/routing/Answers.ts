import type * as base from '../base/Types.js'
import * as keys from '../hosting/Keys.js'
import * as targetStatus from '../hosting/TargetStatus.js'
import type * as hosting from '../hosting/Types.js'
import type * as messages from '../node/Messages.js'
import type * as types from './Types.js'

/** Time after which a caller may try again when nothing better is known. */
const DEFAULT_RETRY_AFTER_MS = 1_000

/** HTTP status of answers that the mesh itself gives, by reason. */
const statusByReason: Partial<Record<hosting.OutcomeReason, number>> = {
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

/** Failures of the target, as its host saw them. */
const targetFailures: ReadonlySet<hosting.OutcomeReason> = new Set<hosting.OutcomeReason>(['target-lost', 'no-target'])

/** Refusals that say that the host takes no calls at the moment. */
const hostRefusals: ReadonlySet<hosting.OutcomeReason> = new Set<hosting.OutcomeReason>(['overloaded', 'draining'])

/** Final answer of a call that brought no answer of a target. */
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

/** Refusal by the entry node before the owner of the key was asked. An earlier send of the key may have run. */
export function atEntry (reason: hosting.OutcomeReason, key: string | undefined): hosting.FinalAnswer {
  return withoutAnswer(key !== undefined && keys.isKey(key) ? 'unknown' : 'not-run', reason)
}

/** Final answer taken over from a host node. */
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

/** Adds the idempotency key, so that a caller without its own can send the call again. */
export function withKey (answer: hosting.FinalAnswer, key: string): hosting.FinalAnswer {
  return { ...answer, headers: { ...answer.headers, 'idempotency-key': key } }
}

/** What an answer says about its target. */
export function resultOf (answer: Pick<messages.AnswerMessage, 'outcome' | 'reason' | 'status'>): types.SendResult {
  if (answer.outcome === 'answered') {
    if (targetStatus.isShedding(answer.status)) return 'refused'
    return targetStatus.isFailure(answer.status) ? 'failure' : 'success'
  }
  if (targetFailures.has(answer.reason)) return 'failure'
  return hostRefusals.has(answer.reason) ? 'refused' : 'neutral'
}

function statusOf (reason: hosting.OutcomeReason): number {
  return statusByReason[reason] ?? DEFAULT_STATUS
}
