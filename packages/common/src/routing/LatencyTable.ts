import type * as base from '../base/Types.js'

/** Weight of the newest answer in the moving means. */
const MEAN_WEIGHT = 0.05

/** Number of answers of a target from which on its mean is used. */
const MIN_ANSWERS = 10

/** Targets slower than their service by up to this factor count as equal, because calls of one service vary that much by chance. */
const MAX_EQUAL_RATIO = 2

/** The slowness of a target decays linearly to none over this time without an answer, so that the target is tried again. */
const AGING_MS = 5_000

interface TargetLatency {
  meanMs: number
  answers: number
  recordedAtMs: base.Millis
}

/** Mean response times of targets, compared with the mean of their service. */
export class LatencyTable {
  private readonly _targets = new Map<base.NodeId, TargetLatency>()
  private readonly _serviceMeanMs = new Map<string, number>()

  public record (service: string, nodeId: base.NodeId, elapsedMs: number, nowMs: base.Millis): void {
    const serviceMeanMs = this._serviceMeanMs.get(service) ?? elapsedMs
    this._serviceMeanMs.set(service, serviceMeanMs + MEAN_WEIGHT * (elapsedMs - serviceMeanMs))
    const target = this._targets.get(nodeId)
    if (target === undefined) {
      this._targets.set(nodeId, { meanMs: elapsedMs, answers: 1, recordedAtMs: nowMs })
      return
    }
    target.meanMs += Math.max(MEAN_WEIGHT, 1 / (target.answers + 1)) * (elapsedMs - target.meanMs)
    target.answers += 1
    target.recordedAtMs = nowMs
  }

  /** Factor by which a target answers slower than its service; 1 for targets that are not notably slower. */
  public slowness (service: string, nodeId: base.NodeId, nowMs: base.Millis): number {
    const target = this._targets.get(nodeId)
    const serviceMeanMs = this._serviceMeanMs.get(service)
    if (target === undefined || serviceMeanMs === undefined || target.answers < MIN_ANSWERS) return 1
    const ratio = target.meanMs / Math.max(1, serviceMeanMs)
    if (ratio <= MAX_EQUAL_RATIO) return 1
    const freshness = Math.max(0, 1 - (nowMs - target.recordedAtMs) / AGING_MS)
    return 1 + (ratio - 1) * freshness
  }

  /** Removes targets without recent answers. */
  public tick (nowMs: base.Millis): void {
    for (const [nodeId, target] of this._targets) {
      if (nowMs - target.recordedAtMs > 2 * AGING_MS) this._targets.delete(nodeId)
    }
  }
}
