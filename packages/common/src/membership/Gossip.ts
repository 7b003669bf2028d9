import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** Each update is sent this many times log2 of the number of members, as in SWIM. */
const RETRANSMIT_FACTOR = 3
/** Peers that have to tell a row back to this node before it stops to tell it: the row is widely known then. */
const MAX_DUPLICATES = 2
/** Rows that wait for heartbeats. In a mass event the oldest are left to the table repair, which sends no duplicates. */
const MAX_BACKLOG = 256
/** Rows that wait to be sent ahead of the heartbeats. More changes than that at once travel on heartbeats. */
const MAX_URGENT = 512

/** Rows that changed lately and are piggybacked on messages, each a bounded number of times. */
export class Gossip {
  private readonly _fresh = new Set<base.NodeId>()
  private readonly _sent = new Map<base.NodeId, number>()
  private _urgent: base.NodeId[] = []

  constructor (private readonly _row: (nodeId: base.NodeId) => types.MemberRow | undefined) {}

  public get backlog (): number {
    return this._fresh.size + this._sent.size
  }

  public get hasUrgent (): boolean {
    return this._urgent.length > 0
  }

  /** Starts over with the row of this node. An urgent one is told to a few members at once, ahead of the heartbeats. */
  public add (nodeId: base.NodeId, isUrgent: boolean): void {
    this._sent.delete(nodeId)
    this._fresh.add(nodeId)
    if (isUrgent && this._urgent.length < MAX_URGENT) this._urgent.push(nodeId)
    if (this.backlog > MAX_BACKLOG) this._dropOldest()
  }

  /** A peer told the same row. The row is then told less often. */
  public heard (nodeId: base.NodeId, memberCount: number): void {
    if (!this._sent.has(nodeId)) return
    const maxSends = retransmitLimit(memberCount)
    this._countSend(nodeId, maxSends / MAX_DUPLICATES, maxSends)
  }

  /** Rows for one message, never-sent rows first. */
  public take (limit: number, memberCount: number): types.MemberRow[] {
    if (this.backlog === 0) return []
    const maxSends = retransmitLimit(memberCount)
    const ids = firstOf(this._fresh, limit)
    ids.push(...firstOf(this._sent.keys(), limit - ids.length))
    const rows: types.MemberRow[] = []
    for (const id of ids) {
      const row = this._row(id)
      if (row !== undefined) rows.push(row)
      this._countSend(id, row === undefined ? maxSends : 1, maxSends)
    }
    return rows
  }

  /** Rows to send at once to a few members; each is handed out once per change. */
  public takeUrgent (limit: number): types.MemberRow[] {
    const ids = new Set(this._urgent.splice(0, limit))
    const rows: types.MemberRow[] = []
    for (const id of ids) {
      const row = this._row(id)
      if (row !== undefined) rows.push(row)
    }
    return rows
  }

  private _dropOldest (): void {
    const [oldest] = this._sent.size > 0 ? this._sent.keys() : this._fresh
    if (oldest === undefined) return
    this._sent.delete(oldest)
    this._fresh.delete(oldest)
  }

  private _countSend (id: base.NodeId, sends: number, maxSends: number): void {
    const count = (this._sent.get(id) ?? 0) + sends
    this._fresh.delete(id)
    this._sent.delete(id)
    if (count < maxSends) this._sent.set(id, count)
  }
}

/** How often a row is piggybacked in a mesh of this size. */
export function retransmitLimit (memberCount: number): number {
  return Math.max(RETRANSMIT_FACTOR, Math.ceil(RETRANSMIT_FACTOR * Math.log2(memberCount + 1)))
}

function firstOf (ids: Iterable<base.NodeId>, limit: number): base.NodeId[] {
  const first: base.NodeId[] = []
  if (limit <= 0) return first
  for (const id of ids) {
    first.push(id)
    if (first.length === limit) break
  }
  return first
}
