import type * as base from '../base/Types.js'

const MAX_DOUBLINGS = 16

export interface BackoffOptions {
  readonly random: base.IRandom
  readonly firstMs: base.Millis
  readonly maxMs: base.Millis
}

/** Exponential backoff with full jitter: a random delay below a ceiling that doubles with each failure. */
export class Backoff {
  private readonly _options: BackoffOptions
  private _failures = 0

  constructor (options: BackoffOptions) {
    this._options = options
  }

  public recordSuccess (): void {
    this._failures = 0
  }

  /** Records a failure and returns the delay before the next attempt. */
  public recordFailure (): base.Millis {
    const ceilingMs = Math.min(this._options.maxMs, this._options.firstMs * 2 ** Math.min(this._failures, MAX_DOUBLINGS))
    this._failures++
    return this._options.random.nextInt(ceilingMs)
  }
}
