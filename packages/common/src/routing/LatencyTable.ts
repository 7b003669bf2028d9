import type * as base from '../base/Types.js'

/** Weight of the newest answer in the moving means. */
const MEAN_WEIGHT = 0.05

/** Answers of a target before its mean is used. */
const FEWEST_ANSWERS = 10

/** Targets up to this much slower than their service count as equal; calls of one service differ that much by chance. */
const LARGEST_EQUAL_RATIO = 2

/** A target that was slow is tried again after this time without an answer. */
const AGING_MS = 5_000

interface TargetLatency {
  meanMs: number
  answers: number
  recordedAtMs: base.Millis
}

/** Response times of targets, compared with those of their service. */
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

  /** How many times slower than its service a target answers; 1 for targets that are not notably slower. */
  public slowness (service: string, nodeId: base.NodeId, nowMs: base.Millis): number {
    const target = this._targets.get(nodeId)
    const serviceMeanMs = this._serviceMeanMs.get(service)
    if (target === undefined || serviceMeanMs === undefined || target.answers < FEWEST_ANSWERS) return 1
    const ratio = target.meanMs / Math.max(1, serviceMeanMs)
    if (ratio <= LARGEST_EQUAL_RATIO) return 1
    const freshness = Math.max(0, 1 - (nowMs - target.recordedAtMs) / AGING_MS)
    return 1 + (ratio - 1) * freshness
  }

  /** Forgets targets without recent answers. */
  public tick (nowMs: base.Millis): void {
    for (const [nodeId, target] of this._targets) {
      if (nowMs - target.recordedAtMs > 2 * AGING_MS) this._targets.delete(nodeId)
    }
  }
}
