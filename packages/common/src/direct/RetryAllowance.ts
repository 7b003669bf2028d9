import * as slidingWindow from './SlidingWindow.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/**
 * Share of the fleet's bound that nodes use for retries that they decide on. The rest covers retries that queue at their host
 * and reach the target later than they were allowed, and nested calls.
 */
const USED_SHARE = 0.4
/** Share of the bound that nested calls of retried runs may use up together with retries. More may be made than were expected. */
const NESTED_SHARE = 0.9

/**
 * Bounds the retries of one service at one node in each position of a sliding window. Each node may send retries up to a
 * ratio of the requests of its callers in that window plus an equal part of the fleet's slack, so the bound of the whole
 * fleet holds without a shared counter. Nested calls of targets are no requests of callers. A process gets no slack until it
 * has run for a whole window, because it does not know how much its predecessor has used, nor while the number of nodes is
 * unknown.
 */
export class RetryAllowance {
  private readonly _requests: slidingWindow.SlidingWindow
  private readonly _retries: slidingWindow.SlidingWindow
  private readonly _nestedCalls: slidingWindow.SlidingWindow

  constructor (private readonly _terms: types.RetryTerms, private readonly _nodeCount: () => number | undefined, private readonly _startedAtMs: base.Millis) {
    this._requests = new slidingWindow.SlidingWindow(_terms.windowMs, _startedAtMs)
    this._retries = new slidingWindow.SlidingWindow(_terms.windowMs, _startedAtMs)
    this._nestedCalls = new slidingWindow.SlidingWindow(_terms.windowMs, _startedAtMs)
  }

  /** Counts a request of a caller. */
  public recordRequest (nowMs: base.Millis): void {
    this._requests.add(1, nowMs)
  }

  /** Counts a nested call that a target makes in a retried run. It uses up the bound like a retry, but this node did not decide on it. */
  public recordNestedCall (nowMs: base.Millis): void {
    this._nestedCalls.add(1, nowMs)
  }

  /** Takes one retry. False if none is allowed now. */
  public take (nowMs: base.Millis): boolean {
    if (this._spent(nowMs) + 1 > this._part(nowMs) * USED_SHARE) return false
    this._retries.add(1, nowMs)
    return true
  }

  /** Whether that many nested calls of retried runs may be sent now. */
  public mayNest (calls: number, nowMs: base.Millis): boolean {
    return this._spent(nowMs) + calls <= this._part(nowMs) * NESTED_SHARE
  }

  public view (nowMs: base.Millis): types.RetryView {
    return {
      firstSends: this._requests.lowerBound(nowMs),
      retries: this._retries.upperBound(nowMs),
      callsBelow: this._nestedCalls.upperBound(nowMs),
      nodeCount: this._nodeCount(),
      lifeMs: nowMs - this._startedAtMs
    }
  }

  private _part (nowMs: base.Millis): number {
    return this._terms.ratio * this._requests.lowerBound(nowMs) + this._slackPart(nowMs)
  }

  private _spent (nowMs: base.Millis): number {
    return this._retries.upperBound(nowMs) + this._nestedCalls.upperBound(nowMs)
  }

  private _slackPart (nowMs: base.Millis): number {
    const { slack, windowMs } = this._terms
    const nodeCount = this._nodeCount()
    if (nodeCount === undefined || nowMs - this._startedAtMs < windowMs) return 0
    return slack / nodeCount
  }
}
