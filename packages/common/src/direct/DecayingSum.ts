import type * as base from '../base/Types.js'

/** Sum of amounts, each of which counts less the older it is. */
export class DecayingSum {
  private _sum = 0
  private _updatedAtMs: base.Millis = 0

  constructor (private readonly _halfLifeMs: base.Millis) {}

  public add (amount: number, nowMs: base.Millis): void {
    this._sum = this.at(nowMs) + amount
    this._updatedAtMs = nowMs
  }

  public at (nowMs: base.Millis): number {
    return this._sum * 0.5 ** (Math.max(0, nowMs - this._updatedAtMs) / this._halfLifeMs)
  }
}
