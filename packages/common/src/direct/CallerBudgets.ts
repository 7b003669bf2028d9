import type * as base from '../base/Types.js'

/** The longest wait of the callers of a route is forgotten after one to two of these. */
const WINDOW_MS = 10_000
/** Variation of the time that callers tell, by their way to the node. */
const TOLERANCE_MS = 20

/**
 * Tells how long callers have waited before, who were refused and have come back. First requests of a route come with
 * about the same time to wait; a caller that comes back has less of it left.
 */
export class CallerBudgets {
  private _longest = new Map<string, base.Millis>()
  private _previous = new Map<string, base.Millis>()
  private _windowEndsAtMs = 0

  /** Time that the caller has spent before this request; 0 for a first one. */
  public spentMs (route: string, remainingMs: base.Millis | undefined, nowMs: base.Millis): base.Millis {
    if (remainingMs === undefined) return 0
    if (nowMs >= this._windowEndsAtMs) {
      this._windowEndsAtMs = nowMs + WINDOW_MS
      this._previous = this._longest
      this._longest = new Map()
    }
    const longestMs = Math.max(remainingMs, this._longest.get(route) ?? 0)
    this._longest.set(route, longestMs)
    const spentMs = Math.max(longestMs, this._previous.get(route) ?? 0) - remainingMs
    return spentMs > TOLERANCE_MS ? spentMs : 0
  }
}
