import type * as base from '../base/Types.js'
import type * as targetTable from './TargetTable.js'

/** Longer than network partitions and restarts usually last. A node that returns later announces itself again. */
const EXPIRY_MS = 120_000

/** Finds nodes that have been unreachable for so long that they are removed from the table. */
export class NodeExpiry {
  private _unreachableSinceMs = new Map<base.NodeId, base.Millis>()

  /** Nodes of `rows` to remove now. If a node is absent from `rows`, its time starts again from zero. */
  public findExpired (rows: Iterable<targetTable.TargetRow>, nowMs: base.Millis): readonly base.NodeId[] {
    const expired: base.NodeId[] = []
    const unreachableSinceMs = new Map<base.NodeId, base.Millis>()
    for (const { nodeId, isConnected } of rows) {
      if (isConnected) continue
      const sinceMs = this._unreachableSinceMs.get(nodeId) ?? nowMs
      if (nowMs - sinceMs > EXPIRY_MS) expired.push(nodeId)
      else unreachableSinceMs.set(nodeId, sinceMs)
    }
    this._unreachableSinceMs = unreachableSinceMs
    return expired
  }
}
