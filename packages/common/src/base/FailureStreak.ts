import type * as base from './Types.js'

const FAILURES_TO_EJECT = 5
const FIRST_EJECTION_MS = 1_000
const LONGEST_EJECTION_MS = 30_000

/** A target without an ejection for this long starts again with the shortest one. */
export const FORGIVE_AFTER_MS = 30_000

/** Consecutive failures of one target, and the ejections they led to, each twice as long as the one before. */
export class FailureStreak {
  private _consecutive = 0
  private _ejections = 0
  private _ejectedUntilMs: base.Millis = 0
  private _changedAtMs: base.Millis = 0

  public get ejectedUntilMs (): base.Millis {
    return this._ejectedUntilMs
  }

  /** Time of the last failure or of the end of the last ejection. */
  public get lastChangeMs (): base.Millis {
    return Math.max(this._changedAtMs, this._ejectedUntilMs)
  }

  public isEjected (nowMs: base.Millis): boolean {
    return nowMs < this._ejectedUntilMs
  }

  /** Whether the streak is long enough for an ejection now. Failures during an ejection do not count. */
  public failed (nowMs: base.Millis): boolean {
    this._changedAtMs = nowMs
    // Calls that were in flight when the target was ejected tell nothing new.
    if (this.isEjected(nowMs)) return false
    this._consecutive += 1
    return this._consecutive >= FAILURES_TO_EJECT
  }

  public succeeded (nowMs: base.Millis): void {
    this._consecutive = 0
    if (nowMs - this._ejectedUntilMs > FORGIVE_AFTER_MS) this._ejections = 0
  }

  /** Ejects the target. After the ejection one more failure ejects it again. */
  public eject (nowMs: base.Millis): void {
    const durationMs = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this._ejections)
    this._ejectedUntilMs = nowMs + durationMs
    this._ejections += 1
  }

  public endEjection (nowMs: base.Millis): void {
    this._ejectedUntilMs = nowMs
  }
}
