import type * as base from '../base/Types.js'
import type * as targetTable from './TargetTable.js'

/** Longer than partitions and restarts usually last. A node that comes back later announces itself again. */
const FORGET_AFTER_MS = 120_000

/** Finds nodes that have been out of reach for so long that nothing is kept of them. */
export class NodeExpiry {
  private _lostSinceMs = new Map<base.NodeId, base.Millis>()

  /** Nodes of `rows` to forget now. A node that is left out counts as not looked for, and begins anew later. */
  public expired (rows: Iterable<targetTable.TargetRow>, nowMs: base.Millis): readonly base.NodeId[] {
    const expired: base.NodeId[] = []
    const lostSinceMs = new Map<base.NodeId, base.Millis>()
    for (const { nodeId, isConnected } of rows) {
      if (isConnected) continue
      const sinceMs = this._lostSinceMs.get(nodeId) ?? nowMs
      if (nowMs - sinceMs > FORGET_AFTER_MS) expired.push(nodeId)
      else lostSinceMs.set(nodeId, sinceMs)
    }
    this._lostSinceMs = lostSinceMs
    return expired
  }
}
