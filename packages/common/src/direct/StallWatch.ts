import type * as base from '../base/Types.js'

/** Ticks come each 100 ms; a process that has not ticked for longer than this has stood still or is short of processor time. */
const STALL_MS = 300

export interface StallWatchOptions {
  /** Steady clock, which may leave out the time in which the VM was suspended. */
  readonly nowMs: () => base.Millis
  /** Time of day, which counts that time but may also be set. */
  readonly timeOfDayMs: () => base.Millis
}

/**
 * How long a process stood still. What it reads just after that may have waited for as long. What has arrived for one turn
 * of the event loop is handed out before the next tick, so a reader that comes before that tick sees the stall as well.
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

  /** Before the last tick, by the steady clock. */
  public get stalledMs (): base.Millis {
    return this._stalledMs
  }

  /** Before the last tick or since then, by either clock. Larger than the truth when the time of day was set forward, so a reason for doubt only. */
  public get suspectedMs (): base.Millis {
    return Math.max(this._suspectedMs, this._excessMs(this._options.nowMs(), this._options.timeOfDayMs()))
  }

  /** Time since the start that the steady clock may not have counted, because the VM was suspended. It never falls. */
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
