import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** Each update is sent up to this number times log2 of the number of members, as in SWIM. */
const RETRANSMIT_FACTOR = 3
/** Duplicates of a row from peers after which it is no longer sent, because it is widely known by then. */
const MAX_DUPLICATES = 2
/** Rows that wait for heartbeats. In a mass event the oldest are dropped and left to the table repair, which sends no duplicates. */
const MAX_BACKLOG = 256
/** Rows that wait to be sent ahead of the heartbeats. Further changes travel on heartbeats only. */
const MAX_URGENT = 512

/** Recently changed rows, piggybacked on messages a bounded number of times each. */
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

  /** Queues the changed row of a node and resets its send count. An urgent row is also sent to a few members ahead of the heartbeats. */
  public add (nodeId: base.NodeId, isUrgent: boolean): void {
    this._sent.delete(nodeId)
    this._fresh.add(nodeId)
    if (isUrgent && this._urgent.length < MAX_URGENT) this._urgent.push(nodeId)
    if (this.backlog > MAX_BACKLOG) this._dropOldest()
  }

  /** Records that a peer sent the same row, which is then sent fewer times. */
  public recordDuplicate (nodeId: base.NodeId, memberCount: number): void {
    if (!this._sent.has(nodeId)) return
    const maxSends = retransmitLimit(memberCount)
    this._countSend(nodeId, maxSends / MAX_DUPLICATES, maxSends)
  }

  /** Takes up to `limit` rows for one message, never-sent rows first. */
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

  /** Takes up to `limit` rows to send to a few members at once; each is returned once per change. */
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

/** Maximum number of sends of a row in a mesh of this size. */
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
