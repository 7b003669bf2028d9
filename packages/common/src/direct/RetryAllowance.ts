import * as slidingWindow from './SlidingWindow.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/**
 * Part of the fleet's retries that nodes use. The rest is for calls that a repeated call makes in turn, which count as
 * retries at the service that they reach, and for nodes that others do not know yet.
 */
const USED_SHARE = 0.7

/**
 * Bounds the retries of one service at one node. Each node earns a share of its own first sends, and an equal part of
 * the fleet's slack, so the bound of the whole fleet holds without a shared counter.
 */
export class RetryAllowance {
  private _earned = 0
  private _slack: number
  private _updatedAtMs: base.Millis
  private readonly _beganAtMs: base.Millis
  private readonly _firstSends: slidingWindow.SlidingWindow
  private readonly _retries: slidingWindow.SlidingWindow
  private readonly _callsBelow: slidingWindow.SlidingWindow

  constructor (private readonly _terms: types.RetryTerms, private readonly _nodeCount: () => number, nowMs: base.Millis) {
    this._slack = this._slackCapacity
    this._updatedAtMs = nowMs
    this._beganAtMs = nowMs
    this._firstSends = new slidingWindow.SlidingWindow(_terms.windowMs, nowMs)
    this._retries = new slidingWindow.SlidingWindow(_terms.windowMs, nowMs)
    this._callsBelow = new slidingWindow.SlidingWindow(_terms.windowMs, nowMs)
  }

  private get _slackCapacity (): number {
    return this._terms.slack * USED_SHARE / Math.max(1, this._nodeCount())
  }

  /** Counts the first send of a call. */
  public firstSend (nowMs: base.Millis): void {
    this._firstSends.add(1, nowMs)
    this._refill(nowMs)
    this._earned = Math.min(this._earned + this._terms.ratio * USED_SHARE, this._slackCapacity + 1)
  }

  /** Counts a call that a target made with this probability in a run that was a retry. */
  public callBelow (probability: number, nowMs: base.Millis): void {
    this._callsBelow.add(probability, nowMs)
  }

  /** Takes one retry. False if none may be made now. */
  public take (nowMs: base.Millis): boolean {
    const isAllowed = this._take(nowMs)
    if (isAllowed) this._retries.add(1, nowMs)
    return isAllowed
  }

  public view (nowMs: base.Millis): types.RetryView {
    return {
      firstSends: this._firstSends.atLeast(nowMs),
      retries: this._retries.atMost(nowMs),
      callsBelow: this._callsBelow.atMost(nowMs),
      nodeCount: this._nodeCount(),
      lifeMs: nowMs - this._beganAtMs
    }
  }

  private _take (nowMs: base.Millis): boolean {
    this._refill(nowMs)
    if (this._earned >= 1) {
      this._earned -= 1
      return true
    }
    if (this._earned + this._slack < 1) return false
    this._slack -= 1 - this._earned
    this._earned = 0
    return true
  }

  private _refill (nowMs: base.Millis): void {
    const elapsedMs = Math.max(0, nowMs - this._updatedAtMs)
    this._updatedAtMs = nowMs
    this._slack = Math.min(this._slackCapacity, this._slack + this._slackCapacity * elapsedMs / this._terms.windowMs)
  }
}
