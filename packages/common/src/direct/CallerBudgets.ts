import type * as base from '../base/Types.js'

/** The longest remaining time seen on a route expires after one to two windows. */
const WINDOW_MS = 10_000
/** Variation of the remaining time in first requests, caused by the network between caller and node. */
const TOLERANCE_MS = 20
/** Weight of the newest end in the moving average of unserved requests. */
const NEWEST_WEIGHT = 0.02
/** Callers come back up to twice, so of the requests at a node about this many times the share that is not served have come back. */
const RETURNS_PER_UNSERVED = 2

/**
 * Estimates how long a caller that was refused and sends its request again has waited already. A repeated request has less
 * time left, but so has a first one of a caller with little patience. What a request lacks to the longest remaining time of
 * its route counts only as far as callers are refused, because otherwise none comes back.
 */
export class CallerBudgets {
  /** Moving averages, by route, of the share of requests that were refused or failed. */
  private readonly _unservedShares = new Map<string, number>()
  private _longestMs = new Map<string, base.Millis>()
  private _previousLongestMs = new Map<string, base.Millis>()
  private _windowEndsAtMs = 0

  /** Expected time that the caller has spent before this request. */
  public spentMs (route: string, remainingMs: base.Millis | undefined, nowMs: base.Millis): base.Millis {
    if (remainingMs === undefined) return 0
    if (nowMs >= this._windowEndsAtMs) {
      this._windowEndsAtMs = nowMs + WINDOW_MS
      this._previousLongestMs = this._longestMs
      this._longestMs = new Map()
    }
    const longestMs = Math.max(remainingMs, this._longestMs.get(route) ?? 0)
    this._longestMs.set(route, longestMs)
    const lackingMs = Math.max(longestMs, this._previousLongestMs.get(route) ?? 0) - remainingMs
    const unservedShare = this._unservedShares.get(route) ?? 0
    return lackingMs > TOLERANCE_MS ? lackingMs * Math.min(1, unservedShare * RETURNS_PER_UNSERVED) : 0
  }

  /** Records the end of a request. Callers come back after a refusal, and after a failure if the route is idempotent. */
  public recordEnd (route: string, isServed: boolean): void {
    const share = this._unservedShares.get(route) ?? 0
    this._unservedShares.set(route, share + NEWEST_WEIGHT * ((isServed ? 0 : 1) - share))
  }
}
