import type * as base from '../base/Types.js'

/**
 * Messages of at least this time are compared. Long enough that a queue of seconds does not count as the usual delay, and
 * short enough that a clock that was suspended is soon compared anew.
 */
const WINDOW_MS = 10_000

/**
 * Measures how long messages of one connection waited on their way, by times of sending on the sender's monotonic clock.
 * The clocks are never compared directly: a delay is what a message took longer than the fastest one of the last windows,
 * so it is never overestimated by the difference of the clocks and never negative.
 */
export class LinkDelay {
  private _leastMs = Infinity
  private _earlierLeastMs = Infinity
  private _windowEndsAtMs = -Infinity
  private _roundTripMs = Infinity

  constructor (private readonly _nowMs: () => base.Millis) {}

  /** Least known round trip on the connection: even the fastest message may have taken so long. Infinity before the first one. */
  public get roundTripMs (): base.Millis {
    return this._roundTripMs
  }

  /** Ignores what is no time: the other side returns the time of the question, and may return anything. */
  public recordRoundTrip (roundTripMs: base.Millis): void {
    if (roundTripMs >= 0) this._roundTripMs = Math.min(this._roundTripMs, roundTripMs)
  }

  /** The longest time that this message can have taken. */
  public measureMost (sentAtMs: base.Millis): base.Millis {
    return this.measure(sentAtMs) + this._roundTripMs
  }

  /** How much longer than the fastest message this one took. */
  public measure (sentAtMs: base.Millis): base.Millis {
    const nowMs = this._nowMs()
    if (nowMs >= this._windowEndsAtMs) {
      this._earlierLeastMs = this._leastMs
      this._leastMs = Infinity
      this._windowEndsAtMs = nowMs + WINDOW_MS
    }
    const tookMs = nowMs - sentAtMs
    this._leastMs = Math.min(this._leastMs, tookMs)
    return tookMs - Math.min(this._leastMs, this._earlierLeastMs)
  }
}
