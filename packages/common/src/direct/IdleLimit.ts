import type * as base from '../base/Types.js'

/** Idle connections are kept until the target closes them or tells another time. */
export const USUAL_MS = 8_000
/** Kept for this time by a target that drops idle connections without notice. */
const SHORT_MS = 150
/** A reset that comes this soon after a request was written comes from a connection that was dead already, not from a target at work. */
const DEAD_CONNECTION_MS = 100
/** Connections are kept as long as usual again after this time without such a reset. */
const CAUTIOUS_MS = 30_000

/**
 * Tells how long idle connections to a target may be used again. A request on a connection that the target has dropped is
 * lost if it must not run twice, so after the first such loss only connections that were in use a moment ago are used.
 */
export class IdleLimit {
  private _shortUntilMs = -Infinity

  public limitMs (nowMs: base.Millis): base.Millis {
    return nowMs < this._shortUntilMs ? SHORT_MS : USUAL_MS
  }

  /** The connection of a request was reset before any answer, `afterMs` after the request was written. */
  public reset (afterMs: base.Millis, nowMs: base.Millis): void {
    if (afterMs <= DEAD_CONNECTION_MS) this._shortUntilMs = nowMs + CAUTIOUS_MS
  }
}
