import * as emitter from '../base/Emitter.js'
import * as retryAllowance from './RetryAllowance.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

export interface RetryAllowancesOptions {
  readonly retryTerms: types.RetryTerms
  /** Number of nodes that share the slack of the fleet; undefined if not known. */
  readonly nodeCount: () => number | undefined
  /** Start of this process. */
  readonly startedAtMs: base.Millis
}

/** Retry allowances of this node, one for each service. */
export class RetryAllowances {
  public readonly onRetry: base.IEvent<types.RetryDecided>
  private readonly _retry = new emitter.Emitter<types.RetryDecided>()
  private readonly _allowances = new Map<string, retryAllowance.RetryAllowance>()

  constructor (private readonly _options: RetryAllowancesOptions) {
    this.onRetry = this._retry.event
  }

  /** Counts a request of a caller. */
  public recordRequest (service: string, nowMs: base.Millis): void {
    this._allowance(service).recordRequest(nowMs)
  }

  /** Counts a nested call that a target makes in a retried run. */
  public recordNestedCall (service: string, nowMs: base.Millis): void {
    this._allowance(service).recordNestedCall(nowMs)
  }

  /** Whether that many nested calls of retried runs may be sent now. */
  public mayNest (service: string, calls: number, nowMs: base.Millis): boolean {
    return this._allowance(service).mayNest(calls, nowMs)
  }

  /** Takes one retry. False if none is allowed now. */
  public take (call: Pick<types.RetryDecided, 'callId' | 'service' | 'route' | 'cause'>, nowMs: base.Millis): boolean {
    const allowance = this._allowance(call.service)
    const isAllowed = allowance.take(nowMs)
    this._retry.fire({ ...call, isAllowed, view: allowance.view(nowMs) })
    return isAllowed
  }

  private _allowance (service: string): retryAllowance.RetryAllowance {
    let allowance = this._allowances.get(service)
    if (allowance === undefined) {
      const { retryTerms, nodeCount, startedAtMs } = this._options
      allowance = new retryAllowance.RetryAllowance(retryTerms, nodeCount, startedAtMs)
      this._allowances.set(service, allowance)
    }
    return allowance
  }
}
