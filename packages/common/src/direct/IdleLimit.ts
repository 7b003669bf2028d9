import type * as base from '../base/Types.js'

/** Default limit, unless the target closes the connection earlier or sends a keep-alive time of its own. */
export const DEFAULT_LIMIT_MS = 8_000
/** Limit for a target that drops idle connections without closing them. */
const SHORT_MS = 150
/** A reset this soon after the request was written means that the connection was dead already, not that the target failed. */
const DEAD_CONNECTION_MS = 100
/** The default limit applies again after this time without such a reset. */
const RECOVERY_MS = 30_000

/**
 * Limits how long a connection to a target may be idle and still be reused. A request on a connection that the target has
 * dropped fails, and is lost if it must not run twice. After the first such reset, only connections used just before are reused.
 */
export class IdleLimit {
  private _shortUntilMs = -Infinity

  public limitMs (nowMs: base.Millis): base.Millis {
    return nowMs < this._shortUntilMs ? SHORT_MS : DEFAULT_LIMIT_MS
  }

  /** Records that a connection was reset before any answer, `afterMs` after the request was written. */
  public recordReset (afterMs: base.Millis, nowMs: base.Millis): void {
    if (afterMs <= DEAD_CONNECTION_MS) this._shortUntilMs = nowMs + RECOVERY_MS
  }
}
