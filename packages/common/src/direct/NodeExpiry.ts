import type * as base from '../base/Types.js'
import type * as targetTable from './TargetTable.js'

/** Longer than partitions and restarts usually last. A node that comes back later announces itself again. */
const FORGET_AFTER_MS = 120_000

/** Finds nodes that have been out of reach for so long that nothing is kept of them. */
export class NodeExpiry {
  private readonly _lostSinceMs = new Map<base.NodeId, base.Millis>()

  /** Nodes to forget now. */
  public expired (rows: Iterable<targetTable.TargetRow>, nowMs: base.Millis): readonly base.NodeId[] {
    const expired: base.NodeId[] = []
    for (const { nodeId, isConnected } of rows) {
      const sinceMs = this._lostSinceMs.get(nodeId)
      if (isConnected) {
        this._lostSinceMs.delete(nodeId)
      } else if (sinceMs === undefined) {
        this._lostSinceMs.set(nodeId, nowMs)
      } else if (nowMs - sinceMs > FORGET_AFTER_MS) {
        this._lostSinceMs.delete(nodeId)
        expired.push(nodeId)
      }
    }
    return expired
  }
}
