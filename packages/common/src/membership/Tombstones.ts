import * as rules from './RowRules.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

const ROW_RETENTION_MS = 3_600_000
/** Peers may remove a row some seconds later than this node and gossip it until then. */
const REMOVED_RETENTION_MS = 60_000

interface RemovedRow {
  readonly incarnation: base.Incarnation
  readonly atMs: base.Millis
}

/** Tracks members that died or left until their rows are removed, and for a while the removed rows themselves. */
export class Tombstones {
  /** Time at which each row died or left, oldest first. */
  private readonly _since = new Map<base.NodeId, base.Millis>()
  /** Recently removed rows, oldest first. */
  private readonly _removed = new Map<base.NodeId, RemovedRow>()

  /** Records a change of a row. `isGone`: the node is dead or has left. */
  public handleRowChange (nodeId: base.NodeId, isGone: boolean, nowMs: base.Millis): void {
    this._since.delete(nodeId)
    if (isGone) this._since.set(nodeId, nowMs)
  }

  /** Records that a row was removed from the table. */
  public recordRemoved (row: types.MemberRow, nowMs: base.Millis): void {
    this._removed.delete(row.nodeId)
    this._removed.set(row.nodeId, { incarnation: row.incarnation, atMs: nowMs })
  }

  /** Whether the row is no newer than one that was removed recently. */
  public isRemoved (row: types.MemberRow): boolean {
    const removed = this._removed.get(row.nodeId)
    return removed !== undefined && !rules.isProbed(row) && row.incarnation <= removed.incarnation
  }

  /** Returns the members whose rows have to be removed now. */
  public takeExpired (nowMs: base.Millis): readonly base.NodeId[] {
    this._expireRemoved(nowMs)
    const expired: base.NodeId[] = []
    for (const [nodeId, sinceMs] of this._since) {
      if (nowMs - sinceMs < ROW_RETENTION_MS) break
      this._since.delete(nodeId)
      expired.push(nodeId)
    }
    return expired
  }

  private _expireRemoved (nowMs: base.Millis): void {
    for (const [nodeId, { atMs }] of this._removed) {
      if (nowMs - atMs < REMOVED_RETENTION_MS) break
      this._removed.delete(nodeId)
    }
  }
}
