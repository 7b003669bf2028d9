import * as retryBound from '@elmpost/common/direct/testing/RetryBound.js'

/** Stated by the users, and set for the nodes of a soak. */
const TERMS = { ratio: 0.2, slack: 60, windowMs: 10_000 }

/** Requests and arrivals of a soak by service, and which arrivals are retries of the fleet. */
export class RetryLedger {
  private readonly _bound = new retryBound.RetryBound(TERMS)
  private readonly _beganAtMs = performance.now()
  /** Arrivals of each request. Calls that a target makes in a retried run count from one on. */
  private readonly _arrivals = new Map<string, number>()

  /** A caller makes a request, or a target does in the run of a request. */
  public asked (service: string, requestId: string, parentId?: string): void {
    if (parentId !== undefined && (this._arrivals.get(parentId) ?? 0) > 1) this._arrivals.set(requestId, 1)
    else this._bound.recordRequest(service, this._nowMs)
  }

  public arrived (service: string, requestId: string): void {
    const arrivals = (this._arrivals.get(requestId) ?? 0) + 1
    this._arrivals.set(requestId, arrivals)
    if (arrivals > 1) this._bound.recordRetry(service, this._nowMs)
  }

  /** Retries of a service beyond the bound of the fleet, one line at most. */
  public check (): readonly string[] {
    const { service, fromMs, retries, allowed } = this._bound.findWorstWindow()
    return retries <= allowed ? [] : [`${service} got ${retries} retries in the window from ${fromMs} ms, ${Math.round(allowed)} are allowed`]
  }

  private get _nowMs (): number {
    return performance.now() - this._beganAtMs
  }
}
