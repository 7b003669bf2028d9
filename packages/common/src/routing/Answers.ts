import type * as base from '../base/Types.js'
import type * as hosting from '../hosting/Types.js'
import type * as messages from '../node/Messages.js'

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

/** Final answer of a call that brought no answer of a target. */
export function withoutAnswer (outcome: 'not-run' | 'unknown', reason: hosting.OutcomeReason, retryAfterMs: base.Millis = DEFAULT_RETRY_AFTER_MS): hosting.FinalAnswer {
  return {
    outcome,
    reason,
    status: statusByReason[reason] ?? DEFAULT_STATUS,
    headers: {},
    body: undefined,
    retryAfterMs: retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_AFTER_MS
  }
}

/** Final answer taken over from a host node. */
export function fromHost (answer: messages.AnswerMessage): hosting.FinalAnswer {
  return {
    outcome: answer.outcome,
    reason: answer.reason,
    status: answer.status,
    headers: answer.headers,
    body: answer.body,
    retryAfterMs: answer.outcome === 'answered' || answer.retryAfterMs > 0 ? answer.retryAfterMs : DEFAULT_RETRY_AFTER_MS
  }
}

/** Adds the idempotency key, so that a caller without its own can send the call again. */
export function withKey (answer: hosting.FinalAnswer, key: string): hosting.FinalAnswer {
  return { ...answer, headers: { ...answer.headers, 'idempotency-key': key } }
}
