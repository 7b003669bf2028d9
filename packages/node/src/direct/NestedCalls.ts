import * as nestedCallRate from '@elmpost/common/direct/NestedCallRate.js'
import type * as directCalls from '@elmpost/common/direct/DirectCalls.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** A request that the target beside this node runs. */
interface Run {
  readonly workClass: number
  readonly isRetry: boolean
  readonly customer: direct.RunCustomer
}

/**
 * Connects the runs of the target beside this node with the calls that it makes in them. The nested calls of a retried run
 * are retries at the services that they reach. They cannot be refused there without failing the run, so a retry is not run
 * if its nested calls are not expected to fit into what this node may send.
 */
export class NestedCalls implements services.INestedCalls {
  private readonly _rate = new nestedCallRate.NestedCallRate()
  /** By the id of the request. Callers choose ids, so several requests may have the same one. */
  private readonly _runs = new Map<string, Run[]>()

  constructor (
    private readonly _calls: Pick<directCalls.DirectCalls, 'mayNestRetries'>,
    private readonly _dialect: Pick<services.ICallDialect, 'customerOf'>,
    private readonly _nowMs: () => number
  ) {}

  public beginRun ({ requestId, objectiveMs, isRetry, priority, headers }: types.CallMessage): void {
    const run = { workClass: objectiveMs, isRetry, customer: { name: this._dialect.customerOf(headers), urgency: priority } }
    const others = this._runs.get(requestId)
    if (others === undefined) this._runs.set(requestId, [run])
    else others.push(run)
    this._rate.recordRun(objectiveMs)
  }

  public endRun ({ requestId, headers }: types.CallMessage): void {
    const runs = this._runs.get(requestId) ?? []
    const name = this._dialect.customerOf(headers)
    const at = runs.findIndex(({ customer }) => customer.name === name)
    if (at >= 0) runs.splice(at, 1)
    if (runs.length === 0) this._runs.delete(requestId)
  }

  /** Where a request came from. `parentId`: id of the run in which it was made, if it is a nested call. */
  public originOf (parentId: string | undefined): direct.RequestOrigin {
    if (parentId === undefined) return 'caller'
    return this._runs.get(parentId)?.some(({ isRetry }) => isRetry) === true ? 'retried-run' : 'run'
  }

  public customerOf (parentId: string | undefined): direct.RunCustomer | undefined {
    const [run, ...others] = parentId === undefined ? [] : this._runs.get(parentId) ?? []
    // It cannot be told whose run made the call if two customers use the same id.
    return others.every(({ customer }) => customer.name === run?.customer.name) ? run?.customer : undefined
  }

  public recordCall (parentId: string, service: string): void {
    const [run] = this._runs.get(parentId) ?? []
    if (run !== undefined) this._rate.recordCall(run.workClass, service)
  }

  public mayRun ({ isRetry, objectiveMs }: types.CallMessage): boolean {
    if (!isRetry) return true
    for (const [service, calls] of this._rate.callsPerRun(objectiveMs)) {
      if (!this._calls.mayNestRetries(service, calls * (this._retriesOf(objectiveMs) + 1), this._nowMs())) return false
    }
    return true
  }

  /** Retried runs that may still make their nested calls. */
  private _retriesOf (workClass: number): number {
    let retries = 0
    for (const runs of this._runs.values()) for (const run of runs) if (run.isRetry && run.workClass === workClass) retries += 1
    return retries
  }
}
