import * as answers from './Answers.js'
import type * as base from '../base/Types.js'
import * as keys from './Keys.js'
import type * as keyTables from './KeyTable.js'
import * as requests from './Requests.js'
import type * as services from './Services.js'
import type * as types from './Types.js'
import type * as windows from './OwnedWindows.js'

/** Time for which a `not-run` refusal holds. Exceeds the time that a send can be in transit (see `requests.MAX_SEND_AGE_MS`). */
export const REFUSAL_RETENTION_MS = 1_500

/** Retry time of a refused key; at least `REFUSAL_RETENTION_MS`. */
export const KEY_RETRY_AFTER_MS = 2_000

export interface KeyCheckOptions {
  readonly table: keyTables.KeyTable
  readonly windows: windows.OwnedWindows
  readonly crashes: services.ICrashTable
  readonly startedAtMs: base.Millis
  readonly retentionMs: () => base.Millis
}

/** State of a known key: its final answer, or the run that its callers wait for. */
export type KnownKey =
  | { readonly kind: 'answer', readonly answer: types.FinalAnswer }
  | { readonly kind: 'running', readonly runId: number }

/** Decides whether a key may be run here, regardless of the state of the target. */
export class KeyCheck {
  constructor (private readonly _options: KeyCheckOptions) {}

  /** Looks the key up in the key table. A refusal is renewed, because it must hold for every send made until now. */
  public findKnown (call: requests.KeyedCall, nowMs: base.Millis): KnownKey | undefined {
    const { table } = this._options
    const entry = table.get(call.key)
    if (entry !== undefined) {
      if (!requests.isSameRequest(entry, call)) return knownAnswer(answers.notRun('key-reused', 0))
      if (entry.state === 'running') return { kind: 'running', runId: entry.runId }
      if (entry.state === 'unknown') return knownAnswer(answers.unknown(entry.reason))
      const stored = entry.answer
      return knownAnswer(stored === undefined ? answers.unknown('answer-not-kept') : answers.answered(stored.status, stored.headers, stored.body))
    }
    const earlier = table.refusal(call.key, nowMs)
    if (earlier === undefined) return undefined
    table.refuse(call.key, { ...earlier, untilMs: nowMs + REFUSAL_RETENTION_MS })
    return knownAnswer(answers.notRun(requests.isSameRequest(earlier, call) ? earlier.reason : 'key-reused', KEY_RETRY_AFTER_MS))
  }

  /** Answer for a key that this process must not run, because it or another process may have run it; never `not-run`. */
  public checkOwnership (call: requests.KeyedCall, keyTimeMs: base.Millis, nowMs: base.Millis): types.FinalAnswer | undefined {
    const { table, windows, crashes, startedAtMs, retentionMs } = this._options
    const ownership = windows.ownershipOf(call.service, call.key, keyTimeMs)
    if (ownership.kind === 'not-own') return answers.unknown('not-owner', ownership.retryAfterMs)
    if (crashes.hasKey(call.key)) return answers.unknown('crashes-target')
    // No key is run until then either, because a send that the predecessor refused as too new may still arrive.
    const guardedUntilMs = startedAtMs + keys.MAX_KEY_AHEAD_MS
    if (Math.min(keyTimeMs, nowMs) <= guardedUntilMs) return answers.unknown('key-before-start')
    const forgottenUntilMs = Math.max(table.forgottenUntilMs, ownership.forgottenUntilMs, nowMs - retentionMs())
    return keyTimeMs <= forgottenUntilMs ? answers.unknown('key-too-old') : undefined
  }

  /** Reason to refuse a key that this process owns, regardless of the target. `isClosed`: new keys are refused. */
  public refusalReason (call: requests.KeyedCall, keyTimeMs: base.Millis, isClosed: boolean, nowMs: base.Millis): types.OutcomeReason | undefined {
    if (keyTimeMs > nowMs + keys.MAX_KEY_AHEAD_MS) return 'key-too-new'
    if (requests.isStale(call, nowMs)) return 'stale-send'
    if (isClosed) return 'draining'
    if (call.remainingMs <= 0) return 'deadline'
    return this._options.crashes.isBlocked(call.key, call.fingerprint, nowMs) ? 'crashes-target' : undefined
  }
}

function knownAnswer (answer: types.FinalAnswer): KnownKey {
  return { kind: 'answer', answer }
}
