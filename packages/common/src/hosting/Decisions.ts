import type * as admissions from './Admission.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** Retry time when the target or the node cannot take work now. */
export const RETRY_AFTER_MS = 100

/** Whether the target takes a call. */
export type Placement =
  | { readonly kind: 'admitted', readonly limits: admissions.TargetLimits, readonly latestStartMs: base.Millis }
  | { readonly kind: 'refused', readonly reason: types.OutcomeReason, readonly retryAfterMs: base.Millis }

export function answer (final: types.FinalAnswer): types.HostDecision {
  return { kind: 'answer', answer: final }
}

export function refuse (reason: types.OutcomeReason): Placement {
  return { kind: 'refused', reason, retryAfterMs: RETRY_AFTER_MS }
}
