import type * as base from '../base/Types.js'

/** The longest remaining time seen on a route expires after one to two windows. */
const WINDOW_MS = 10_000
/** Variation of the remaining time in first requests, caused by the network between caller and node. */
const TOLERANCE_MS = 20

/**
 * Estimates how long a caller that was refused and sends its request again has waited already. First requests of a route
 * arrive with about the same remaining time; a repeated request has less of it left.
 */
export class CallerBudgets {
  private _longestMs = new Map<string, base.Millis>()
  private _previousLongestMs = new Map<string, base.Millis>()
  private _windowEndsAtMs = 0

  /** Time that the caller has spent before this request; 0 for a first request. */
  public spentMs (route: string, remainingMs: base.Millis | undefined, nowMs: base.Millis): base.Millis {
    if (remainingMs === undefined) return 0
    if (nowMs >= this._windowEndsAtMs) {
      this._windowEndsAtMs = nowMs + WINDOW_MS
      this._previousLongestMs = this._longestMs
      this._longestMs = new Map()
    }
    const longestMs = Math.max(remainingMs, this._longestMs.get(route) ?? 0)
    this._longestMs.set(route, longestMs)
    const spentMs = Math.max(longestMs, this._previousLongestMs.get(route) ?? 0) - remainingMs
    return spentMs > TOLERANCE_MS ? spentMs : 0
  }
}
