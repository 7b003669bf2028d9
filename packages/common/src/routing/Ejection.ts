import type * as base from '../base/Types.js'
import * as failureStreak from '../base/FailureStreak.js'

/** At most one target in this many is ejected; more would move the load onto too few targets. */
const TARGETS_PER_EJECTION = 3

/** Takes targets with consecutive failures out of routing for a time that doubles with each ejection. */
export class Ejection {
  private readonly _records = new Map<base.NodeId, failureStreak.FailureStreak>()
  /** Targets of each service that this node may choose from. */
  private readonly _services = new Map<string, readonly base.NodeId[]>()
  private readonly _serviceOf = new Map<base.NodeId, string>()

  public isEjected (nodeId: base.NodeId, nowMs: base.Millis): boolean {
    return this._records.get(nodeId)?.isEjected(nowMs) === true
  }

  /** Replaces the candidates of a service. Ejections above the cap of the new number end, the oldest first. */
  public setCandidates (service: string, nodeIds: readonly base.NodeId[], nowMs: base.Millis): void {
    for (const nodeId of this._services.get(service) ?? []) {
      if (this._serviceOf.get(nodeId) === service) this._serviceOf.delete(nodeId)
    }
    for (const nodeId of nodeIds) this._serviceOf.set(nodeId, service)
    this._services.set(service, nodeIds)
    const ejected = this._ejected(service, nowMs)
    const ending = ejected.sort((a, b) => a.ejectedUntilMs - b.ejectedUntilMs)
    ending.splice(Math.max(0, ending.length - cap(nodeIds.length)))
    for (const record of ending) record.endEjection(nowMs)
  }

  public succeeded (nodeId: base.NodeId, nowMs: base.Millis): void {
    this._records.get(nodeId)?.succeeded(nowMs)
  }

  public failed (nodeId: base.NodeId, nowMs: base.Millis): void {
    const record = this._records.get(nodeId) ?? new failureStreak.FailureStreak()
    this._records.set(nodeId, record)
    if (!record.failed(nowMs)) return
    const service = this._serviceOf.get(nodeId)
    if (service === undefined) return
    const size = this._services.get(service)?.length ?? 0
    if (this._ejected(service, nowMs).length < cap(size)) record.eject(nowMs)
  }

  /** Forgets targets without a recent failure. */
  public tick (nowMs: base.Millis): void {
    for (const [nodeId, record] of this._records) {
      if (nowMs - record.lastChangeMs > 2 * failureStreak.FORGIVE_AFTER_MS) this._records.delete(nodeId)
    }
  }

  private _ejected (service: string, nowMs: base.Millis): failureStreak.FailureStreak[] {
    const ejected: failureStreak.FailureStreak[] = []
    for (const nodeId of this._services.get(service) ?? []) {
      const record = this._records.get(nodeId)
      if (record?.isEjected(nowMs) === true) ejected.push(record)
    }
    return ejected
  }
}

function cap (size: number): number {
  return Math.floor(size / TARGETS_PER_EJECTION)
}
