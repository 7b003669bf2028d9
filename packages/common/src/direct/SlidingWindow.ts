import type * as base from '../base/Types.js'

/** A window slides in steps of this part of its length. */
const STEPS = 20

/** Sums of what was counted in the last window, in constant space. */
export class SlidingWindow {
  /** The newest step, which may be incomplete, and those that can still touch the window. */
  private readonly _sums = new Float64Array(STEPS + 1)
  private readonly _stepMs: base.Millis
  private _step: number

  constructor (windowMs: base.Millis, nowMs: base.Millis) {
    this._stepMs = windowMs / STEPS
    this._step = Math.floor(nowMs / this._stepMs)
  }

  public add (amount: number, nowMs: base.Millis): void {
    this._advance(nowMs)
    const at = this._step % this._sums.length
    this._sums[at] = (this._sums[at] ?? 0) + amount
  }

  /** Everything in the last window, and at most one step more. */
  public atMost (nowMs: base.Millis): number {
    this._advance(nowMs)
    return this._sums.reduce((total, sum) => total + sum, 0)
  }

  /** Nothing from before the last window, and at most one step less. */
  public atLeast (nowMs: base.Millis): number {
    const total = this.atMost(nowMs)
    return total - (this._sums[(this._step + 1) % this._sums.length] ?? 0)
  }

  private _advance (nowMs: base.Millis): void {
    const step = Math.floor(nowMs / this._stepMs)
    const passed = Math.min(step - this._step, this._sums.length)
    for (let back = 0; back < passed; back++) this._sums[(step - back) % this._sums.length] = 0
    this._step = Math.max(this._step, step)
  }
}
