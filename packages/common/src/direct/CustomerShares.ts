import * as decayingSum from './DecayingSum.js'
import type * as base from '../base/Types.js'

const HALF_LIFE_MS = 2_000
/** Customers that have been idle for this time are forgotten. */
const FORGOTTEN_MS = 30_000

/** Customer for whom a call is made, and the part of a target that it is entitled to, relative to that of others. */
export interface WeightedCustomer {
  readonly name: string
  readonly weight: number
}

interface Share {
  readonly work: decayingSum.DecayingSum
  weight: number
  usedAtMs: base.Millis
}

/** What a target has lately run for each customer, compared with what the customer is entitled to. */
export class CustomerShares {
  private readonly _shares = new Map<string, Share>()
  private readonly _allWork = new decayingSum.DecayingSum(HALF_LIFE_MS)
  private _allWeight = 0
  private _cleanedAtMs: base.Millis = 0

  public recordRun ({ name, weight }: WeightedCustomer, workMs: base.Millis, nowMs: base.Millis): void {
    let share = this._shares.get(name)
    if (share === undefined) {
      share = { work: new decayingSum.DecayingSum(HALF_LIFE_MS), weight: 0, usedAtMs: nowMs }
      this._shares.set(name, share)
    }
    this._allWeight += weight - share.weight
    share.weight = weight
    share.usedAtMs = nowMs
    share.work.add(workMs, nowMs)
    this._allWork.add(workMs, nowMs)
    this._forgetIdle(nowMs)
  }

  /** Rank of a customer's next call: 0 if it has used no more than its part, 1 if up to twice as much, 2 up to four times as much, and so on. */
  public rankOf ({ name, weight }: WeightedCustomer, meanMs: base.Millis, nowMs: base.Millis): number {
    const share = this._shares.get(name)
    if (share === undefined) return 0
    // A customer with few calls gets to a target so seldom that a single call is far more than its part.
    const entitledMs = this._allWork.at(nowMs) * weight / this._allWeight + meanMs
    const excess = share.work.at(nowMs) / entitledMs
    return excess > 1 ? 1 + Math.floor(Math.log2(excess)) : 0
  }

  private _forgetIdle (nowMs: base.Millis): void {
    if (nowMs - this._cleanedAtMs < FORGOTTEN_MS) return
    this._cleanedAtMs = nowMs
    for (const [name, { usedAtMs, weight }] of this._shares) {
      if (nowMs - usedAtMs <= FORGOTTEN_MS) continue
      this._shares.delete(name)
      this._allWeight -= weight
    }
  }
}
