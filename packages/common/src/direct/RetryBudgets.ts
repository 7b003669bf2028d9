import * as emitter from '../base/Emitter.js'
import * as retryAllowance from './RetryAllowance.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

export interface RetryBudgetsOptions {
  readonly retryTerms: types.RetryTerms
  /** Nodes that share the slack of the fleet; undefined if that is not known. */
  readonly nodeCount: () => number | undefined
  /** Start of this process. */
  readonly startedAtMs: base.Millis
}

/** Retries of this node for each service, and the calls that have to be counted with them. */
export class RetryBudgets {
  public readonly onRetry: base.IEvent<types.RetryDecided>
  private readonly _retry = new emitter.Emitter<types.RetryDecided>()
  private readonly _allowances = new Map<string, retryAllowance.RetryAllowance>()

  constructor (private readonly _options: RetryBudgetsOptions) {
    this.onRetry = this._retry.event
  }

  /** Counts the first send of a call. `belowShare` is the probability that a run which is a retry made the call. */
  public firstSend (service: string, belowShare: number, nowMs: base.Millis): void {
    const allowance = this._allowance(service)
    allowance.firstSend(nowMs)
    if (belowShare > 0) allowance.callBelow(belowShare, nowMs)
  }

  /** Takes one retry. False if none may be made now. */
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
