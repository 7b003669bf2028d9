import type * as base from '../base/Types.js'
import * as failureStreak from '../base/FailureStreak.js'

/** At most one in this number of targets is ejected; more ejections would concentrate the load on too few targets. */
const TARGETS_PER_EJECTION = 3

/** Excludes targets with consecutive failures from routing, for a time that doubles with each ejection. */
export class Ejection {
  private readonly _streaks = new Map<base.NodeId, failureStreak.FailureStreak>()
  /** Candidates of each service: the targets from which this node may choose. */
  private readonly _candidates = new Map<string, readonly base.NodeId[]>()
  private readonly _serviceOf = new Map<base.NodeId, string>()

  public isEjected (nodeId: base.NodeId, nowMs: base.Millis): boolean {
    return this._streaks.get(nodeId)?.isEjected(nowMs) === true
  }

  /** Replaces the candidates of a service. Ejections beyond the maxEjections for the new number of candidates end at once, starting with those that have the least time left. */
  public setCandidates (service: string, nodeIds: readonly base.NodeId[], nowMs: base.Millis): void {
    for (const nodeId of this._candidates.get(service) ?? []) {
      if (this._serviceOf.get(nodeId) === service) this._serviceOf.delete(nodeId)
    }
    for (const nodeId of nodeIds) this._serviceOf.set(nodeId, service)
    this._candidates.set(service, nodeIds)
    const ejected = this._ejectedStreaks(service, nowMs)
    const ending = ejected.sort((a, b) => a.ejectedUntilMs - b.ejectedUntilMs)
    ending.splice(Math.max(0, ending.length - maxEjections(nodeIds.length)))
    for (const streak of ending) streak.endEjection(nowMs)
  }

  public recordSuccess (nodeId: base.NodeId, nowMs: base.Millis): void {
    this._streaks.get(nodeId)?.recordSuccess(nowMs)
  }

  public recordFailure (nodeId: base.NodeId, nowMs: base.Millis): void {
    const streak = this._streaks.get(nodeId) ?? new failureStreak.FailureStreak()
    this._streaks.set(nodeId, streak)
    if (!streak.recordFailure(nowMs)) return
    const service = this._serviceOf.get(nodeId)
    if (service === undefined) return
    const size = this._candidates.get(service)?.length ?? 0
    if (this._ejectedStreaks(service, nowMs).length < maxEjections(size)) streak.eject(nowMs)
  }

  /** Removes targets without a recent failure. */
  public tick (nowMs: base.Millis): void {
    for (const [nodeId, streak] of this._streaks) {
      if (nowMs - streak.lastChangeMs > 2 * failureStreak.EJECTION_RESET_MS) this._streaks.delete(nodeId)
    }
  }

  private _ejectedStreaks (service: string, nowMs: base.Millis): failureStreak.FailureStreak[] {
    const ejected: failureStreak.FailureStreak[] = []
    for (const nodeId of this._candidates.get(service) ?? []) {
      const streak = this._streaks.get(nodeId)
      if (streak?.isEjected(nowMs) === true) ejected.push(streak)
    }
    return ejected
  }
}

function maxEjections (size: number): number {
  return Math.floor(size / TARGETS_PER_EJECTION)
}
