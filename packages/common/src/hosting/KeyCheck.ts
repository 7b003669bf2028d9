import * as answers from './Answers.js'
import type * as base from '../base/Types.js'
import * as keys from './Keys.js'
import type * as keyTables from './KeyTable.js'
import * as requests from './Requests.js'
import type * as services from './Services.js'
import type * as types from './Types.js'
import type * as windows from './OwnedWindows.js'

/** A `not-run` refusal holds this long, which is longer than a send can be on its way (see `requests.MAX_SEND_AGE_MS`). */
export const REFUSAL_RETENTION_MS = 1_500

/** Retry time of a refused key; not below the refusal memory. */
export const KEY_RETRY_AFTER_MS = 2_000

export interface KeyCheckOptions {
  readonly table: keyTables.KeyTable
  readonly windows: windows.OwnedWindows
  readonly crashes: services.ICrashTable
  readonly startedAtMs: base.Millis
  readonly retentionMs: () => base.Millis
}

/** What is known of a key: its final answer, or the run that its callers wait for. */
export type KnownKey =
  | { readonly kind: 'answer', readonly answer: types.FinalAnswer }
  | { readonly kind: 'running', readonly runId: number }

/** Decides whether a key may be run here, before anything is known of the target. */
export class KeyCheck {
  constructor (private readonly _options: KeyCheckOptions) {}

  /** What the key table says. The refusal is renewed because it speaks for every send made until now. */
  public findKnown (call: requests.KeyedCall, nowMs: base.Millis): KnownKey | undefined {
    const { table } = this._options
    const entry = table.get(call.key)
    if (entry !== undefined) {
      if (!requests.isSameRequest(entry, call)) return known(answers.notRun('key-reused', 0))
      if (entry.state === 'running') return { kind: 'running', runId: entry.runId }
      if (entry.state === 'unknown') return known(answers.unknown(entry.reason))
      const stored = entry.answer
      return known(stored === undefined ? answers.unknown('answer-not-kept') : answers.answered(stored.status, stored.headers, stored.body))
    }
    const refusalReason = table.refusal(call.key, nowMs)
    if (refusalReason === undefined) return undefined
    table.refuse(call.key, { ...refusalReason, untilMs: nowMs + REFUSAL_RETENTION_MS })
    return known(answers.notRun(requests.isSameRequest(refusalReason, call) ? refusalReason.reason : 'key-reused', KEY_RETRY_AFTER_MS))
  }

  /** Another process may have run the key, so these answers are never `not-run`. */
  public checkOwnership (call: requests.KeyedCall, keyTimeMs: base.Millis, nowMs: base.Millis): types.FinalAnswer | undefined {
    const { table, windows, crashes, startedAtMs, retentionMs } = this._options
    const ownership = windows.ownershipOf(call.service, call.key, keyTimeMs)
    if (ownership.kind === 'not-own') return answers.unknown('not-owner', ownership.retryAfterMs)
    if (crashes.hasKey(call.key)) return answers.unknown('crashes-target')
    // No key is run in this time either: a send that the predecessor refused as too new may still arrive.
    const guardedUntilMs = startedAtMs + keys.MAX_KEY_AHEAD_MS
    if (Math.min(keyTimeMs, nowMs) <= guardedUntilMs) return answers.unknown('key-before-start')
    const forgottenUntilMs = Math.max(table.forgottenUntilMs, ownership.forgottenUntilMs, nowMs - retentionMs())
    return keyTimeMs <= forgottenUntilMs ? answers.unknown('key-too-old') : undefined
  }

  /** Why a key that this process owns is not run, whatever the target; `isClosed`: the process stops. */
  public refusal (call: requests.KeyedCall, keyTimeMs: base.Millis, isClosed: boolean, nowMs: base.Millis): types.OutcomeReason | undefined {
    if (keyTimeMs > nowMs + keys.MAX_KEY_AHEAD_MS) return 'key-too-new'
    if (requests.isStale(call, nowMs)) return 'stale-send'
    if (isClosed) return 'draining'
    if (call.remainingMs <= 0) return 'deadline'
    return this._options.crashes.isBlocked(call.key, call.fingerprint, nowMs) ? 'crashes-target' : undefined
  }
}

function known (answer: types.FinalAnswer): KnownKey {
  return { kind: 'answer', answer }
}
