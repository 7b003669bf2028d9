import * as slidingWindow from './SlidingWindow.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/**
 * Part of the fleet's bound that nodes spend on their own decision. Calls that targets make below retries of another
 * service cannot be refused here, and retries that wait at their host reach the target later than they were allowed.
 */
const USED_SHARE = 0.4

/**
 * Bounds the retries of one service at one node in each position of a sliding window. Each node may make a share of its
 * own first sends in that window, and an equal part of the fleet's slack, so the bound of the whole fleet holds without
 * a shared counter. A process gets no slack before it is a window old, because it does not know what the process
 * before it has spent, nor while it does not know how many nodes share it.
 */
export class RetryAllowance {
  private readonly _firstSends: slidingWindow.SlidingWindow
  private readonly _retries: slidingWindow.SlidingWindow
  private readonly _callsBelow: slidingWindow.SlidingWindow

  constructor (private readonly _terms: types.RetryTerms, private readonly _nodeCount: () => number | undefined, private readonly _startedAtMs: base.Millis) {
    this._firstSends = new slidingWindow.SlidingWindow(_terms.windowMs, _startedAtMs)
    this._retries = new slidingWindow.SlidingWindow(_terms.windowMs, _startedAtMs)
    this._callsBelow = new slidingWindow.SlidingWindow(_terms.windowMs, _startedAtMs)
  }

  /** Counts the first send of a call. */
  public firstSend (nowMs: base.Millis): void {
    this._firstSends.add(1, nowMs)
  }

  /** Counts a call that a target makes in a run that is a retry. It is one for the bound, but nobody here decided on it. */
  public callBelow (nowMs: base.Millis): void {
    this._callsBelow.add(1, nowMs)
  }

  /** Takes one retry. False if none may be made now. */
  public take (nowMs: base.Millis): boolean {
    const part = this._terms.ratio * this._firstSends.atLeast(nowMs) + this._slackPart(nowMs)
    const spent = this._retries.atMost(nowMs) + this._callsBelow.atMost(nowMs)
    if (spent + 1 > part * USED_SHARE) return false
    this._retries.add(1, nowMs)
    return true
  }

  public view (nowMs: base.Millis): types.RetryView {
    return {
      firstSends: this._firstSends.atLeast(nowMs),
      retries: this._retries.atMost(nowMs),
      callsBelow: this._callsBelow.atMost(nowMs),
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
