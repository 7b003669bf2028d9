/** Tokens that may be saved up, as a multiple of the ratio: 10 retries at the default ratio of 0.1. */
const SAVED_FIRST_ATTEMPTS = 100

/** Token bucket that bounds retries to a share of the first attempts. */
export class RetryBudget {
  private _tokens: number | undefined

  /** Adds the share of a first attempt. */
  public firstAttempt (ratio: number): void {
    const capacity = ratio * SAVED_FIRST_ATTEMPTS
    this._tokens = Math.min(capacity, (this._tokens ?? capacity) + ratio)
  }

  /** Takes one token. False if no retry may be made now. */
  public take (): boolean {
    if (this._tokens === undefined || this._tokens < 1) return false
    this._tokens -= 1
    return true
  }
}
