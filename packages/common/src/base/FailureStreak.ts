import type * as base from './Types.js'

const FAILURES_TO_EJECT = 5
const FIRST_EJECTION_MS = 1_000
const MAX_EJECTION_MS = 30_000

/** If a target succeeds more than this time after its last ejection, its next ejection has the shortest duration again. */
export const EJECTION_RESET_MS = 30_000

/** Counts consecutive failures of one target and times its ejections. Each ejection lasts twice as long as the previous one, up to 30 s. */
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

  /** Records a failure. Returns whether the target should be ejected now. Failures during an ejection do not count. */
  public recordFailure (nowMs: base.Millis): boolean {
    this._changedAtMs = nowMs
    // These are failures of calls that were in flight when the target was ejected.
    if (this.isEjected(nowMs)) return false
    this._consecutive += 1
    return this._consecutive >= FAILURES_TO_EJECT
  }

  public recordSuccess (nowMs: base.Millis): void {
    this._consecutive = 0
    if (nowMs - this._ejectedUntilMs > EJECTION_RESET_MS) this._ejections = 0
  }

  /** Ejects the target. After the ejection, a single further failure ejects it again. */
  public eject (nowMs: base.Millis): void {
    const durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this._ejections)
    this._ejectedUntilMs = nowMs + durationMs
    this._ejections += 1
  }

  public endEjection (nowMs: base.Millis): void {
    this._ejectedUntilMs = nowMs
  }
}
