/** Capacity of the bucket as a multiple of the ratio: 10 retries at the default ratio of 0.1. */
const MAX_SAVED_FIRST_ATTEMPTS = 100
/** Tolerance, because a sum of ratios such as 0.1 can be below the whole number by rounding. */
const ROUNDING_TOLERANCE = 1e-9

/** Token bucket that limits retries to a share of the first attempts. It starts empty, because the previous process may have spent its tokens. */
export class RetryBudget {
  private _tokens = 0

  /** Adds the tokens for one first attempt. */
  public recordFirstAttempt (ratio: number): void {
    this._tokens = Math.min(ratio * MAX_SAVED_FIRST_ATTEMPTS, this._tokens + ratio)
  }

  /** Takes one token. Returns false if no retry is allowed now. */
  public takeToken (): boolean {
    if (this._tokens < 1 - ROUNDING_TOLERANCE) return false
    this._tokens -= 1
    return true
  }
}
