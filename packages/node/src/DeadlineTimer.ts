import type * as base from '@elmpost/common/base/Types.js'

/** Longest delay of one timer. For a later deadline the timer is set again when it fires. */
const MAX_DELAY_MS = 60_000

export interface DeadlineTimerOptions {
  readonly nowMs: () => base.Millis
  /** Ends the calls that are due and returns the next deadline. */
  readonly expire: () => base.Millis
}

/**
 * Wakes the process at the earliest deadline of its calls, so that an answer need not wait for the next tick.
 * Most calls end before their deadlines; the timer is then left as it is, which costs less than resetting it for each call.
 */
export class DeadlineTimer implements base.IDisposable {
  private _timer: NodeJS.Timeout | undefined
  private _atMs = Infinity
  private _isDisposed = false

  constructor (private readonly _options: DeadlineTimerOptions) {}

  /** Sets the timer to the deadline unless it already fires earlier. */
  public arm (deadlineAtMs: base.Millis): void {
    if (deadlineAtMs >= this._atMs || this._isDisposed) return
    this._atMs = deadlineAtMs
    clearTimeout(this._timer)
    // A timer of Node.js may fire a fraction of a millisecond early.
    const delayMs = Math.min(Math.max(0, Math.ceil(deadlineAtMs - this._options.nowMs())) + 1, MAX_DELAY_MS)
    this._timer = setTimeout(() => { this._handleTimer() }, delayMs)
  }

  public dispose (): void {
    this._isDisposed = true
    clearTimeout(this._timer)
  }

  private _handleTimer (): void {
    this._atMs = Infinity
    this.arm(this._options.expire())
  }
}
