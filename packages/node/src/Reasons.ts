/** HTTP status and remedy of each reason for a refusal or an unknown outcome. */
import type * as hosting from '@elmpost/common/hosting/Types.js'

const NOT_RUN_STATUS = 503
const UNKNOWN_STATUS = 502

/** Statuses of refusals that the caller caused. */
const STATUSES: Partial<Record<hosting.OutcomeReason, number>> = {
  'no-route': 404,
  'bad-key': 400,
  'bad-request': 400,
  'key-too-new': 400,
  'too-deep': 400,
  'key-reused': 409,
  'body-too-large': 413
}

const REMEDIES: Record<hosting.OutcomeReason, string> = {
  ok: '',
  'no-route': 'Check the method and the path against the routes of the configuration.',
  'no-target': 'No target of the service is ready. Try again after the time in Retry-After.',
  'no-configuration': 'The node does not know a configuration yet. Try again, or use another node.',
  'bad-key': 'Send a new UUIDv7 in Idempotency-Key.',
  'bad-request': 'Correct the request headers.',
  'key-reused': 'The key belongs to another request. Send a new UUIDv7 in Idempotency-Key.',
  'key-too-old': 'The outcome is no longer kept. Check with the service whether the request was run.',
  'key-too-new': 'Synchronize the clock that the key was made with, and send a new UUIDv7.',
  'key-before-start': 'The node restarted after the key was issued. Check with the service whether the request was run.',
  'stale-send': 'The request was delayed on its way and not run. Try again with the same key.',
  'not-owner': 'Try again with the same key after the time in Retry-After.',
  'owner-unreachable': 'Try again with the same key later, or check with the service whether the request was run.',
  overloaded: 'Try again with the same key after the time in Retry-After.',
  deadline: 'Allow more time, or check with the service whether the request was run.',
  canceled: 'The caller ended the request.',
  draining: 'Try again with the same key; another node will run the request.',
  'crashes-target': 'Requests like this one crashed targets. Change the request or report it to the service.',
  'target-lost': 'The target failed while it ran the request. Check with the service, or try again with the same key.',
  'peer-lost': 'The host node failed while it ran the request. Check with the service, or try again with the same key.',
  'body-too-large': 'Send a smaller body, or raise maxBodyBytes of the route.',
  'too-deep': 'More than 16 calls are nested. Check for a loop between services.',
  'answer-not-kept': 'The request was run, but its answer was too large to keep. Check with the service.',
  running: 'The request is running. Try again with the same key after the time in Retry-After.'
}

export function statusOf (outcome: hosting.Outcome, reason: hosting.OutcomeReason): number {
  if (outcome === 'unknown') return reason === 'deadline' ? 504 : UNKNOWN_STATUS
  return STATUSES[reason] ?? NOT_RUN_STATUS
}

/** Body of an answer that does not come from the target. */
export function bodyOf (outcome: hosting.Outcome, reason: hosting.OutcomeReason): Buffer {
  return Buffer.from(JSON.stringify({ outcome, reason, remedy: REMEDIES[reason] ?? '' }))
}
