import type * as base from '../base/Types.js'

/** Ticks come every 100 ms. After a longer gap than this, the process counts as stalled: suspended or starved of processor time. */
const STALL_MS = 300

export interface StallWatchOptions {
  /** Monotonic clock, which may not count the time during which the VM was suspended. */
  readonly nowMs: () => base.Millis
  /** Time of day, which counts that time but may be set forward or back. */
  readonly timeOfDayMs: () => base.Millis
}

/**
 * Measures how long the process was stalled. Data read just after a stall may have waited for as long. The event loop
 * delivers arrived data before the next tick, so `suspectedMs` also covers the time since the last tick.
 */
export class StallWatch {
  private readonly _options: StallWatchOptions
  private _tickedAtMs: base.Millis
  private _tickedAtTimeOfDayMs: base.Millis
  private _stalledMs: base.Millis = 0
  private _suspectedMs: base.Millis = 0
  private _uncountedMs: base.Millis = 0

  constructor (options: StallWatchOptions) {
    this._options = options
    this._tickedAtMs = options.nowMs()
    this._tickedAtTimeOfDayMs = options.timeOfDayMs()
  }

  /** Stall before the last tick, by the monotonic clock. */
  public get stalledMs (): base.Millis {
    return this._stalledMs
  }

  /** Stall before the last tick or since then, by either clock. Too large if the time of day was set forward, so not a proof of a stall. */
  public get suspectedMs (): base.Millis {
    return Math.max(this._suspectedMs, this._excessMs(this._options.nowMs(), this._options.timeOfDayMs()))
  }

  /** Time since the start that the monotonic clock may not have counted because the VM was suspended. Never decreases. */
  public get uncountedMs (): base.Millis {
    return this._uncountedMs + this._uncountedSinceTickMs(this._options.nowMs(), this._options.timeOfDayMs())
  }

  public tick (): void {
    const nowMs = this._options.nowMs()
    const timeOfDayMs = this._options.timeOfDayMs()
    this._uncountedMs += this._uncountedSinceTickMs(nowMs, timeOfDayMs)
    this._stalledMs = Math.max(0, nowMs - this._tickedAtMs - STALL_MS)
    this._suspectedMs = this._excessMs(nowMs, timeOfDayMs)
    this._tickedAtMs = nowMs
    this._tickedAtTimeOfDayMs = timeOfDayMs
  }

  private _uncountedSinceTickMs (nowMs: base.Millis, timeOfDayMs: base.Millis): base.Millis {
    const aheadMs = (timeOfDayMs - this._tickedAtTimeOfDayMs) - (nowMs - this._tickedAtMs)
    return aheadMs > STALL_MS ? aheadMs : 0
  }

  private _excessMs (nowMs: base.Millis, timeOfDayMs: base.Millis): base.Millis {
    return Math.max(0, nowMs - this._tickedAtMs - STALL_MS, timeOfDayMs - this._tickedAtTimeOfDayMs - STALL_MS)
  }
}
