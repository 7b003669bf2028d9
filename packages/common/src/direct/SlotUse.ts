import type * as base from '../base/Types.js'

/** What the time of a slot was used for: a run that was answered on time or late, that the target answered with an error, or that has no answer. */
export type SlotPurpose = 'on-time' | 'late' | 'error' | 'lost'

/** Times that slots were used for, and that they were free, summed over the slots. */
export type SlotTimes = Readonly<Record<SlotPurpose | 'free', base.Millis>>

/** Accounts for the time of a target's slots. The time of a run is added when it ends. */
export class SlotUse {
  private readonly _times = { 'on-time': 0, late: 0, error: 0, lost: 0, free: 0 }
  private _slots = 0
  private _running = 0
  private _sinceMs: base.Millis = 0

  public times (nowMs: base.Millis): SlotTimes {
    this._advance(nowMs)
    return { ...this._times }
  }

  /** Sets the slots that can be used; 0 while the target takes no calls. */
  public setSlots (slots: number, nowMs: base.Millis): void {
    this._advance(nowMs)
    this._slots = slots
  }

  public begin (nowMs: base.Millis): void {
    this._advance(nowMs)
    this._running += 1
  }

  public end (purpose: SlotPurpose, tookMs: base.Millis, nowMs: base.Millis): void {
    this._advance(nowMs)
    this._running -= 1
    this._times[purpose] += tookMs
  }

  private _advance (nowMs: base.Millis): void {
    this._times.free += Math.max(0, this._slots - this._running) * (nowMs - this._sinceMs)
    this._sinceMs = nowMs
  }
}
