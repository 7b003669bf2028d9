import type * as base from '../base/Types.js'

const FAILURES_TO_EJECT = 5
const FIRST_EJECTION_MS = 1_000
const LONGEST_EJECTION_MS = 30_000

/** A target without an ejection for this long starts again with the shortest one. */
const FORGIVE_AFTER_MS = 30_000

/** At most one target in this many is ejected; more would move the load onto too few targets. */
const TARGETS_PER_EJECTION = 3

interface FailureRecord {
  consecutive: number
  ejections: number
  ejectedUntilMs: base.Millis
  changedAtMs: base.Millis
}

/** Takes targets with consecutive failures out of routing for a time that doubles with each ejection. */
export class Ejection {
  private readonly _records = new Map<base.NodeId, FailureRecord>()
  /** Targets of each service that this node may choose from. */
  private readonly _services = new Map<string, readonly base.NodeId[]>()
  private readonly _serviceOf = new Map<base.NodeId, string>()

  public isEjected (nodeId: base.NodeId, nowMs: base.Millis): boolean {
    const record = this._records.get(nodeId)
    return record !== undefined && nowMs < record.ejectedUntilMs
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
    for (const record of ending) record.ejectedUntilMs = nowMs
  }

  public succeeded (nodeId: base.NodeId, nowMs: base.Millis): void {
    const record = this._records.get(nodeId)
    if (record === undefined) return
    record.consecutive = 0
    if (nowMs - record.ejectedUntilMs > FORGIVE_AFTER_MS) this._records.delete(nodeId)
  }

  public failed (nodeId: base.NodeId, nowMs: base.Millis): void {
    const record = this._records.get(nodeId) ?? { consecutive: 0, ejections: 0, ejectedUntilMs: 0, changedAtMs: nowMs }
    this._records.set(nodeId, record)
    record.changedAtMs = nowMs
    // Calls that were in flight when the target was ejected tell nothing new.
    if (nowMs < record.ejectedUntilMs) return
    record.consecutive += 1
    if (record.consecutive < FAILURES_TO_EJECT) return
    const service = this._serviceOf.get(nodeId)
    if (service === undefined) return
    const size = this._services.get(service)?.length ?? 0
    if (this._ejected(service, nowMs).length >= cap(size)) return
    eject(record, nowMs)
  }

  /** Forgets targets without a recent failure. */
  public tick (nowMs: base.Millis): void {
    for (const [nodeId, record] of this._records) {
      const lastMs = Math.max(record.changedAtMs, record.ejectedUntilMs)
      if (nowMs - lastMs > 2 * FORGIVE_AFTER_MS) this._records.delete(nodeId)
    }
  }

  private _ejected (service: string, nowMs: base.Millis): FailureRecord[] {
    const ejected: FailureRecord[] = []
    for (const nodeId of this._services.get(service) ?? []) {
      const record = this._records.get(nodeId)
      if (record !== undefined && nowMs < record.ejectedUntilMs) ejected.push(record)
    }
    return ejected
  }
}

function cap (size: number): number {
  return Math.floor(size / TARGETS_PER_EJECTION)
}

function eject (record: FailureRecord, nowMs: base.Millis): void {
  const durationMs = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** record.ejections)
  record.ejectedUntilMs = nowMs + durationMs
  record.ejections += 1
}
