/** HTTP status and remedy of each answer that a node gives in place of a target. */
import type * as direct from '@elmpost/common/direct/Types.js'

interface OwnAnswerText {
  readonly status: number
  readonly remedy: string
}

const OWN_ANSWER_TEXTS: Readonly<Record<direct.RefusalReason | direct.FailureReason, OwnAnswerText>> = {
  'no-configuration': { status: 503, remedy: 'The node does not know a configuration yet. Send the request again after the time in Retry-After.' },
  'no-route': { status: 404, remedy: 'Check the host and the path against the routes of the configuration.' },
  'unknown-key': { status: 401, remedy: 'Send a key that the configuration has for a customer.' },
  'over-limit': { status: 429, remedy: 'The customer sends more requests than its limit allows. Send the request again after the time in Retry-After.' },
  'body-too-large': { status: 413, remedy: 'Send a smaller body, or raise the limit in the configuration.' },
  'body-late': { status: 408, remedy: 'The body had not arrived when the time of the request was over, or nothing more of it came. Send the request again with its whole body.' },
  'no-target': { status: 503, remedy: 'No target of the service is ready. Send the request again after the time in Retry-After.' },
  busy: { status: 503, remedy: 'All targets of the service are busy. Send the request again after the time in Retry-After.' },
  'target-refused': { status: 503, remedy: 'The targets refused the request unrun. Send it again after the time in Retry-After.' },
  deadline: { status: 503, remedy: 'Allow more time.' },
  stopping: { status: 503, remedy: 'The node is stopping. Send the request again, to another node.' },
  'crashes-targets': { status: 503, remedy: 'Targets have ended each time they ran this request. Change it, or ask the operators of the service to look for crashes-targets in the log of the node. It is not tried again before the time in Retry-After.' },
  timeout: { status: 504, remedy: 'The request may have run. Check with the service before you send it again.' },
  'peer-lost': { status: 502, remedy: 'The node beside the target failed. Check with the service whether the request has run.' },
  'target-lost': { status: 502, remedy: 'The target failed while it ran the request. Check with the service whether it has run.' },
  'node-stopped': { status: 502, remedy: 'The node had to stop before the answer came. Check with the service whether the request has run.' },
  'bad-answer': { status: 502, remedy: 'The answer of the target was not valid. Check with the service whether the request has run.' }
}

export function statusOf (answer: direct.OwnAnswer): number {
  return OWN_ANSWER_TEXTS[answer.reason].status
}

/** `not-run` guarantees that the request did not run; after `unknown` it may have run. */
export function outcomeOf (answer: direct.OwnAnswer): 'not-run' | 'unknown' {
  return answer.kind === 'refuse' ? 'not-run' : 'unknown'
}

export function bodyOf (answer: direct.OwnAnswer): Buffer {
  const { remedy } = OWN_ANSWER_TEXTS[answer.reason]
  return Buffer.from(JSON.stringify({ outcome: outcomeOf(answer), reason: answer.reason, remedy }))
}
