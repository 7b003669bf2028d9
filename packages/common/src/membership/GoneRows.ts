import type * as base from '../base/Types.js'

const FORGET_AFTER_MS = 3_600_000

/** Members that died or left, until their rows are forgotten. */
export class GoneRows {
  /** Time at which each row died or left, oldest first. */
  private readonly _since = new Map<base.NodeId, base.Millis>()

  /** The row changed; `isGone` says whether its node is dead or has left. */
  public changed (nodeId: base.NodeId, isGone: boolean, nowMs: base.Millis): void {
    this._since.delete(nodeId)
    if (isGone) this._since.set(nodeId, nowMs)
  }

  /** Members whose rows have to be forgotten now. */
  public takeExpired (nowMs: base.Millis): readonly base.NodeId[] {
    const expired: base.NodeId[] = []
    for (const [nodeId, sinceMs] of this._since) {
      if (nowMs - sinceMs < FORGET_AFTER_MS) break
      this._since.delete(nodeId)
      expired.push(nodeId)
    }
    return expired
  }
}
