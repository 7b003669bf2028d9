import type * as base from '../base/Types.js'
import type * as hosting from '../hosting/Types.js'

/** The weight of a report decays linearly to 0 over this time, so that a target reported as busy is tried again. */
const REPORT_AGING_MS = 1_000

/** After a refusal a target counts as full for this time, even if its report shows free slots. */
const REFUSED_MS = 100

/** Entries without calls in flight are removed after this time without a report. */
const RETENTION_MS = 60_000

interface LoadEntry {
  ownInFlight: number
  /** Load caused by other entry nodes at the time of the last report. */
  othersLoad: number
  slots: number
  reportedAtMs: base.Millis
  refusedUntilMs: base.Millis
}

/** Estimated load of targets: the last report of each, weighted by its age, plus this node's own calls in flight. */
export class LoadTable {
  private readonly _entries = new Map<base.NodeId, LoadEntry>()
  private _prunedAtMs: base.Millis = 0

  public get size (): number {
    return this._entries.size
  }

  public recordSend (nodeId: base.NodeId, nowMs: base.Millis): void {
    this._entry(nodeId, nowMs).ownInFlight += 1
  }

  /** Records the end of a call of this node on the target. */
  public recordEnd (nodeId: base.NodeId): void {
    const entry = this._entries.get(nodeId)
    if (entry !== undefined && entry.ownInFlight > 0) entry.ownInFlight -= 1
  }

  /** Records the load carried by an answer. Reports with impossible numbers are ignored. */
  public recordReport (nodeId: base.NodeId, load: hosting.LoadReport, nowMs: base.Millis): void {
    if (!isPlausible(load)) return
    const entry = this._entry(nodeId, nowMs)
    entry.othersLoad = Math.max(0, load.inFlight + load.queued - entry.ownInFlight)
    entry.slots = load.slots
    entry.reportedAtMs = nowMs
  }

  public recordRefusal (nodeId: base.NodeId, nowMs: base.Millis): void {
    this._entry(nodeId, nowMs).refusedUntilMs = nowMs + REFUSED_MS
  }

  /** Estimated `(inFlight + queued) / slots`; at least 1 shortly after a refusal. */
  public utilization (nodeId: base.NodeId, configuredSlots: number, nowMs: base.Millis): number {
    const entry = this._entries.get(nodeId)
    if (entry === undefined) return 0
    const slots = entry.slots > 0 ? entry.slots : configuredSlots
    const freshness = Math.min(1, Math.max(0, 1 - (nowMs - entry.reportedAtMs) / REPORT_AGING_MS))
    const utilization = (entry.ownInFlight + entry.othersLoad * freshness) / Math.max(1, slots)
    return nowMs < entry.refusedUntilMs ? Math.max(1, utilization) : utilization
  }

  /** Removes targets that have not been used for the retention time. */
  public tick (nowMs: base.Millis): void {
    if (nowMs - this._prunedAtMs < RETENTION_MS) return
    this._prunedAtMs = nowMs
    for (const [nodeId, entry] of this._entries) {
      if (entry.ownInFlight === 0 && nowMs - entry.reportedAtMs > RETENTION_MS) this._entries.delete(nodeId)
    }
  }

  private _entry (nodeId: base.NodeId, nowMs: base.Millis): LoadEntry {
    let entry = this._entries.get(nodeId)
    if (entry === undefined) {
      entry = { ownInFlight: 0, othersLoad: 0, slots: 0, reportedAtMs: nowMs, refusedUntilMs: 0 }
      this._entries.set(nodeId, entry)
    }
    return entry
  }
}

function isPlausible (load: hosting.LoadReport): boolean {
  return load.inFlight >= 0 && load.queued >= 0 && load.slots > 0 &&
    Number.isFinite(load.inFlight) && Number.isFinite(load.queued) && Number.isFinite(load.slots)
}
