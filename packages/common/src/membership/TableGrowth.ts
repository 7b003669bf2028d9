import type * as base from '../base/Types.js'

/** The table counts as settled when it has not grown for this time. */
const SETTLE_MS = 1_000
/** Upper bound of the wait, for a fleet that never stops growing. */
const MAX_SETTLE_MS = 15_000

/** Decides whether the member table of a joined node is complete enough for choices over all members. */
export class TableGrowth {
  private _startedAtMs: base.Millis | undefined
  private _grownAtMs = 0

  public start (nowMs: base.Millis): void {
    if (this._startedAtMs !== undefined) return
    this._startedAtMs = nowMs
    this._grownAtMs = nowMs
  }

  public recordGrowth (nowMs: base.Millis): void {
    this._grownAtMs = nowMs
  }

  public isSettled (nowMs: base.Millis): boolean {
    if (this._startedAtMs === undefined) return false
    return nowMs - this._grownAtMs >= SETTLE_MS || nowMs - this._startedAtMs >= MAX_SETTLE_MS
  }
}
