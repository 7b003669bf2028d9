import type * as base from '@elmpost/common/base/Types.js'

/** Largest delay of one timer; a later deadline is looked at again then. */
const MAX_DELAY_MS = 60_000

export interface DeadlineTimerOptions {
  readonly nowMs: () => base.Millis
  /** Ends what is due, and returns the next deadline. */
  readonly expire: () => base.Millis
}

/**
 * Wakes the process at the earliest deadline of its calls, so that an answer need not wait for the next tick.
 * Most calls end before their deadlines. The timer is not moved then, which costs less than moving it with each call.
 */
export class DeadlineTimer implements base.IDisposable {
  private _timer: NodeJS.Timeout | undefined
  private _atMs = Infinity
  private _isDisposed = false

  constructor (private readonly _options: DeadlineTimerOptions) {}

  /** Wakes the process at the deadline, if it does not wake earlier. */
  public arm (deadlineAtMs: base.Millis): void {
    if (deadlineAtMs >= this._atMs || this._isDisposed) return
    this._atMs = deadlineAtMs
    clearTimeout(this._timer)
    // A timer of Node.js may fire a fraction of a millisecond early.
    const delayMs = Math.min(Math.max(0, Math.ceil(deadlineAtMs - this._options.nowMs())) + 1, MAX_DELAY_MS)
    this._timer = setTimeout(() => { this._due() }, delayMs)
  }

  public dispose (): void {
    this._isDisposed = true
    clearTimeout(this._timer)
  }

  private _due (): void {
    this._atMs = Infinity
    this.arm(this._options.expire())
  }
}
