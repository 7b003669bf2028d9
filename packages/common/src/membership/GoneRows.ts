import * as rules from './RowRules.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

const FORGET_AFTER_MS = 3_600_000
/** Peers forget a row up to some seconds later and still tell it until then. */
const REMEMBER_FORGOTTEN_MS = 60_000

interface ForgottenRow {
  readonly incarnation: base.Incarnation
  readonly atMs: base.Millis
}

/** Members that died or left, until their rows are forgotten. */
export class GoneRows {
  /** Time at which each row died or left, oldest first. */
  private readonly _since = new Map<base.NodeId, base.Millis>()
  /** Rows forgotten lately, oldest first. */
  private readonly _forgotten = new Map<base.NodeId, ForgottenRow>()

  /** The row changed; `isGone` says whether its node is dead or has left. */
  public changed (nodeId: base.NodeId, isGone: boolean, nowMs: base.Millis): void {
    this._since.delete(nodeId)
    if (isGone) this._since.set(nodeId, nowMs)
  }

  /** The row was removed from the table. */
  public forgot (row: types.MemberRow, nowMs: base.Millis): void {
    this._forgotten.delete(row.nodeId)
    this._forgotten.set(row.nodeId, { incarnation: row.incarnation, atMs: nowMs })
  }

  /** Whether the row tells only what this node has just forgotten. */
  public isOldNews (row: types.MemberRow): boolean {
    const forgotten = this._forgotten.get(row.nodeId)
    return forgotten !== undefined && !rules.isProbed(row) && row.incarnation <= forgotten.incarnation
  }

  /** Members whose rows have to be forgotten now. */
  public takeExpired (nowMs: base.Millis): readonly base.NodeId[] {
    this._expireForgotten(nowMs)
    const expired: base.NodeId[] = []
    for (const [nodeId, sinceMs] of this._since) {
      if (nowMs - sinceMs < FORGET_AFTER_MS) break
      this._since.delete(nodeId)
      expired.push(nodeId)
    }
    return expired
  }

  private _expireForgotten (nowMs: base.Millis): void {
    for (const [nodeId, { atMs }] of this._forgotten) {
      if (nowMs - atMs < REMEMBER_FORGOTTEN_MS) break
      this._forgotten.delete(nodeId)
    }
  }
}
