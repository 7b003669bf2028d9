import type * as base from '../base/Types.js'
import type * as types from './Types.js'

const NO_HEADERS = {}

export function notRun (reason: types.OutcomeReason, retryAfterMs: base.Millis): types.FinalAnswer {
  return { outcome: 'not-run', reason, status: 0, headers: NO_HEADERS, body: undefined, retryAfterMs }
}

export function unknown (reason: types.OutcomeReason, retryAfterMs: base.Millis = 0): types.FinalAnswer {
  return { outcome: 'unknown', reason, status: 0, headers: NO_HEADERS, body: undefined, retryAfterMs }
}

export function answered (status: number, headers: Readonly<Record<string, string>>, body: Uint8Array | undefined): types.FinalAnswer {
  return { outcome: 'answered', reason: 'ok', status, headers, body, retryAfterMs: 0 }
}

/** Adds the crash records known here, which the node that sent the call needs before it decides on a retry. */
export function withCrashes (final: types.FinalAnswer, crashes: readonly types.CrashRecord[]): types.FinalAnswer {
  return final.outcome === 'answered' || crashes.length === 0 ? final : { ...final, crashes }
}
