import * as slidingWindow from './SlidingWindow.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/**
 * Share of the fleet's bound that nodes use for retries that they decide on. The rest covers nested calls made in retried
 * runs of another service, which cannot be refused here, and retries that queue at their host and reach the target later
 * than they were allowed.
 */
const USED_SHARE = 0.4

/**
 * Bounds the retries of one service at one node in each position of a sliding window. Each node may send retries up to a
 * ratio of its own first sends in that window plus an equal part of the fleet's slack, so the bound of the whole fleet
 * holds without a shared counter. A process gets no slack until it has run for a whole window, because it does not know
 * how much its predecessor has used, nor while the number of nodes is unknown.
 */
export class RetryAllowance {
  private readonly _firstSends: slidingWindow.SlidingWindow
  private readonly _retries: slidingWindow.SlidingWindow
  private readonly _nestedCalls: slidingWindow.SlidingWindow

  constructor (private readonly _terms: types.RetryTerms, private readonly _nodeCount: () => number | undefined, private readonly _startedAtMs: base.Millis) {
    this._firstSends = new slidingWindow.SlidingWindow(_terms.windowMs, _startedAtMs)
    this._retries = new slidingWindow.SlidingWindow(_terms.windowMs, _startedAtMs)
    this._nestedCalls = new slidingWindow.SlidingWindow(_terms.windowMs, _startedAtMs)
  }

  /** Counts the first send of a call. */
  public recordFirstSend (nowMs: base.Millis): void {
    this._firstSends.add(1, nowMs)
  }

  /** Counts a nested call that a target makes in a retried run. It uses up the bound like a retry, but this node did not decide on it. */
  public recordNestedCall (nowMs: base.Millis): void {
    this._nestedCalls.add(1, nowMs)
  }

  /** Takes one retry. False if none is allowed now. */
  public take (nowMs: base.Millis): boolean {
    const part = this._terms.ratio * this._firstSends.lowerBound(nowMs) + this._slackPart(nowMs)
    const spent = this._retries.upperBound(nowMs) + this._nestedCalls.upperBound(nowMs)
    if (spent + 1 > part * USED_SHARE) return false
    this._retries.add(1, nowMs)
    return true
  }

  public view (nowMs: base.Millis): types.RetryView {
    return {
      firstSends: this._firstSends.lowerBound(nowMs),
      retries: this._retries.upperBound(nowMs),
      callsBelow: this._nestedCalls.upperBound(nowMs),
      nodeCount: this._nodeCount(),
      lifeMs: nowMs - this._startedAtMs
    }
  }

  private _slackPart (nowMs: base.Millis): number {
    const { slack, windowMs } = this._terms
    const nodeCount = this._nodeCount()
    if (nodeCount === undefined || nowMs - this._startedAtMs < windowMs) return 0
    return slack / nodeCount
  }
}
