import type * as base from '../base/Types.js'

/** Limits how many whole states are sent at once. */
export class SnapshotSlots {
  private _sentAtMs: base.Millis[] = []

  constructor (private readonly _slots: number, private readonly _holdMs: base.Millis) {}

  /** Takes a slot for `_holdMs`. Returns false if none is free. */
  public take (nowMs: base.Millis): boolean {
    this._sentAtMs = this._sentAtMs.filter(atMs => nowMs - atMs < this._holdMs)
    if (this._sentAtMs.length >= this._slots) return false
    this._sentAtMs.push(nowMs)
    return true
  }
}
