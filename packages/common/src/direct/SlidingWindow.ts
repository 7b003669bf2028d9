import type * as base from '../base/Types.js'

/** Number of steps in which a window slides over its whole length. */
const STEPS = 20

/** Bounds on the sum of the amounts added in the last window, in constant space. */
export class SlidingWindow {
  /** Sums of the newest step, which may be incomplete, and of the earlier steps that overlap the window. */
  private readonly _sums = new Float64Array(STEPS + 1)
  private readonly _stepMs: base.Millis
  private _currentStep: number

  constructor (windowMs: base.Millis, nowMs: base.Millis) {
    this._stepMs = windowMs / STEPS
    this._currentStep = Math.floor(nowMs / this._stepMs)
  }

  public add (amount: number, nowMs: base.Millis): void {
    this._advance(nowMs)
    const at = this._currentStep % this._sums.length
    this._sums[at] = (this._sums[at] ?? 0) + amount
  }

  /** Upper bound: the sum of the last window and at most one step before it. */
  public upperBound (nowMs: base.Millis): number {
    this._advance(nowMs)
    return this._sums.reduce((total, sum) => total + sum, 0)
  }

  /** Lower bound: the sum of the last window without at most its oldest step. */
  public lowerBound (nowMs: base.Millis): number {
    const total = this.upperBound(nowMs)
    return total - (this._sums[(this._currentStep + 1) % this._sums.length] ?? 0)
  }

  private _advance (nowMs: base.Millis): void {
    const step = Math.floor(nowMs / this._stepMs)
    const passed = Math.min(step - this._currentStep, this._sums.length)
    for (let back = 0; back < passed; back++) this._sums[(step - back) % this._sums.length] = 0
    this._currentStep = Math.max(this._currentStep, step)
  }
}
