import * as retryBound from '@elmpost/common/direct/testing/RetryBound.js'

/** Bound that the users require; the nodes of a soak are configured with it. */
const TERMS = { ratio: 0.2, slack: 60, windowMs: 10_000 }

/** Counts the requests and arrivals of a soak for each service, and which arrivals are retries by the fleet. */
export class RetryLedger {
  private readonly _bound = new retryBound.RetryBound(TERMS)
  private readonly _startedAtMs = performance.now()
  /** Arrivals of each request. Nested calls of a retried run start at 1, so that their first arrival counts as a retry. */
  private readonly _arrivals = new Map<string, number>()

  /** Records a request of a caller, or a nested call that a target makes while it runs the request `parentId`. Only the former allow retries. */
  public recordRequest (service: string, requestId: string, parentId?: string): void {
    if (parentId === undefined) this._bound.recordRequest(service, this._nowMs)
    else if ((this._arrivals.get(parentId) ?? 0) > 1) this._arrivals.set(requestId, 1)
  }

  public recordArrival (service: string, requestId: string): void {
    const arrivals = (this._arrivals.get(requestId) ?? 0) + 1
    this._arrivals.set(requestId, arrivals)
    if (arrivals > 1) this._bound.recordRetry(service, this._nowMs)
  }

  /** Describes the worst service if its retries exceed the bound of the fleet; at most one line. */
  public check (): readonly string[] {
    const { service, fromMs, retries, allowed } = this._bound.findWorstWindow()
    return retries <= allowed ? [] : [`${service} got ${retries} retries in the window from ${fromMs} ms, ${Math.round(allowed)} are allowed`]
  }

  private get _nowMs (): number {
    return performance.now() - this._startedAtMs
  }
}
