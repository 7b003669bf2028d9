import type * as base from '../base/Types.js'
import * as hashes from './RowHash.js'
import * as rules from './RowRules.js'
import type * as types from './Types.js'
import * as wires from './WireRow.js'

/** Number of buckets that are maintained; hashes of fewer buckets are folded from them. */
export const MAX_BUCKETS = 256

/** Rows of all known nodes, with the indexes that routing, repair and reader selection need. */
export class MemberTable {
  private _rows = new Map<base.NodeId, types.MemberRow>()
  /** Versions above those in the rows. They are kept apart because heartbeats raise them often, while rows are shared and have cached hashes and wire forms. */
  private _versions = new Map<base.NodeId, number>()
  private _bucketIds: base.NodeId[][] = Array.from({ length: MAX_BUCKETS }, () => [])
  private _bucketHashes = new Uint32Array(MAX_BUCKETS)
  private _liveIds = new Map<string, base.NodeId[]>()
  private readonly _liveRows = new Map<string, readonly types.MemberRow[]>()
  /** Built on the first query for a service, because a node routes to few services. */
  private readonly _serviceIds = new Map<string, Set<base.NodeId>>()
  private readonly _targets = new Map<string, readonly types.MemberRow[]>()
  private _zones: readonly string[] | undefined
  /** Rows and indexes are shared with another table and copied before a change. */
  private _isShared = false

  public get size (): number {
    return this._rows.size
  }

  public get (nodeId: base.NodeId): types.MemberRow | undefined {
    return this._rows.get(nodeId)
  }

  public all (): Iterable<types.MemberRow> {
    return this._rows.values()
  }

  /** A copy-on-write copy, which saves memory when one process runs many nodes. */
  public copy (): MemberTable {
    const copy = new MemberTable()
    copy._rows = this._rows
    copy._versions = new Map(this._versions)
    copy._bucketIds = this._bucketIds
    copy._bucketHashes = this._bucketHashes
    copy._liveIds = this._liveIds
    this._isShared = true
    copy._isShared = true
    return copy
  }

  /** Stores the row if it takes precedence over the known one. */
  public merge (row: types.MemberRow): types.MemberChange | undefined {
    const previous = this._rows.get(row.nodeId)
    if (previous !== undefined && !rules.isNewer(row, previous)) return undefined
    this._detach()
    this._keepVersion(row)
    this._rows.set(row.nodeId, row)
    this._updateBucket(previous, row)
    this._updateZone(previous, row)
    this._updateService(previous, row)
    return { previous, current: row, forgotten: false }
  }

  /** Highest version that the node is known to enforce; 0 for an unknown node. */
  public versionOf (nodeId: base.NodeId): number {
    return this._versions.get(nodeId) ?? this._rows.get(nodeId)?.enforcedVersion ?? 0
  }

  /** Records a higher version of a node. The row itself does not change. */
  public recordVersion (nodeId: base.NodeId, version: number): void {
    if (version > this.versionOf(nodeId) && this._rows.has(nodeId)) this._versions.set(nodeId, version)
  }

  /** Wire form of the row, with the highest known version of its node. */
  public toWire (row: types.MemberRow): types.WireRow {
    return wires.toWireWithVersion(row, Math.max(row.enforcedVersion, this.versionOf(row.nodeId)))
  }

  /** Removes the row of a node. */
  public remove (nodeId: base.NodeId): types.MemberChange | undefined {
    const row = this._rows.get(nodeId)
    if (row === undefined) return undefined
    this._detach()
    this._rows.delete(nodeId)
    this._versions.delete(nodeId)
    this._removeFromBucket(row)
    if (rules.isLive(row)) this._removeLive(row)
    this._serviceIds.get(row.service)?.delete(nodeId)
    this._targets.delete(row.service)
    return { previous: row, current: row, forgotten: true }
  }

  public isLive (nodeId: base.NodeId): boolean {
    const row = this._rows.get(nodeId)
    return row !== undefined && rules.isLive(row)
  }

  /** Ids of the live rows of a zone, sorted. The list is updated in place. */
  public liveIdsInZone (zone: string): readonly base.NodeId[] {
    return this._liveIds.get(zone) ?? []
  }

  public liveInZone (zone: string): readonly types.MemberRow[] {
    const known = this._liveRows.get(zone)
    if (known !== undefined) return known
    const rows = this.liveIdsInZone(zone).flatMap(id => this._rows.get(id) ?? [])
    this._liveRows.set(zone, rows)
    return rows
  }

  public zones (): readonly string[] {
    this._zones ??= [...this._liveIds.keys()].sort()
    return this._zones
  }

  public targetsOf (service: string): readonly types.MemberRow[] {
    const known = this._targets.get(service)
    if (known !== undefined) return known
    const ids = this._serviceIds.get(service) ?? this._indexService(service)
    const rows = [...ids].sort().flatMap(id => this._rows.get(id) ?? []).filter(row => row.state === 'ready' && row.targetReady)
    this._targets.set(service, rows)
    return rows
  }

  /** Hash of the rows of each bucket, for `count` buckets (a power of two). */
  public bucketHashes (count: number): number[] {
    const folded = new Uint32Array(count)
    for (let i = 0; i < MAX_BUCKETS; i++) folded[i % count] = (folded[i % count] ?? 0) ^ (this._bucketHashes[i] ?? 0)
    return Array.from(folded)
  }

  /** Rows of one of `count` buckets. */
  public rowsInBucket (bucket: number, count: number): types.MemberRow[] {
    const rows: types.MemberRow[] = []
    for (let i = bucket; i < MAX_BUCKETS; i += count) {
      for (const id of this._bucketIds[i] ?? []) {
        const row = this._rows.get(id)
        if (row !== undefined) rows.push(row)
      }
    }
    return rows
  }

  private _detach (): void {
    if (!this._isShared) return
    this._isShared = false
    this._rows = new Map(this._rows)
    this._bucketIds = this._bucketIds.map(ids => ids.slice())
    this._bucketHashes = this._bucketHashes.slice()
    this._liveIds = new Map(Array.from(this._liveIds, ([zone, ids]) => [zone, ids.slice()]))
  }

  /** Keeps the highest version, which never decreases. It is not hashed, because each peer learns versions independently. */
  private _keepVersion (row: types.MemberRow): void {
    const known = this.versionOf(row.nodeId)
    if (known > row.enforcedVersion) this._versions.set(row.nodeId, known)
    else this._versions.delete(row.nodeId)
  }

  private _updateBucket (previous: types.MemberRow | undefined, current: types.MemberRow): void {
    const { bucketHash, hash } = hashes.rowHash(current)
    const bucket = bucketHash % MAX_BUCKETS
    if (previous === undefined) this._bucketIds[bucket]?.push(current.nodeId)
    const removed = previous === undefined ? 0 : hashes.rowHash(previous).hash
    this._bucketHashes[bucket] = (this._bucketHashes[bucket] ?? 0) ^ removed ^ hash
  }

  private _removeFromBucket (row: types.MemberRow): void {
    const { bucketHash, hash } = hashes.rowHash(row)
    const bucket = bucketHash % MAX_BUCKETS
    this._bucketHashes[bucket] = (this._bucketHashes[bucket] ?? 0) ^ hash
    const ids = this._bucketIds[bucket]
    if (ids !== undefined) ids.splice(ids.indexOf(row.nodeId), 1)
  }

  private _updateZone (previous: types.MemberRow | undefined, current: types.MemberRow): void {
    const wasLive = previous !== undefined && rules.isLive(previous)
    const isLive = rules.isLive(current)
    if (wasLive && (!isLive || previous.zone !== current.zone)) this._removeLive(previous)
    if (isLive && (!wasLive || previous.zone !== current.zone)) this._addLive(current)
    this._liveRows.delete(current.zone)
  }

  private _addLive (row: types.MemberRow): void {
    let ids = this._liveIds.get(row.zone)
    if (ids === undefined) {
      ids = []
      this._liveIds.set(row.zone, ids)
      this._zones = undefined
    }
    ids.splice(lowerBound(ids, row.nodeId), 0, row.nodeId)
  }

  private _removeLive (row: types.MemberRow): void {
    this._liveRows.delete(row.zone)
    const ids = this._liveIds.get(row.zone)
    if (ids === undefined) return
    ids.splice(lowerBound(ids, row.nodeId), 1)
    if (ids.length > 0) return
    this._liveIds.delete(row.zone)
    this._zones = undefined
  }

  private _indexService (service: string): Set<base.NodeId> {
    const ids = new Set<base.NodeId>()
    for (const row of this._rows.values()) if (row.service === service) ids.add(row.nodeId)
    this._serviceIds.set(service, ids)
    return ids
  }

  private _updateService (previous: types.MemberRow | undefined, current: types.MemberRow): void {
    if (previous !== undefined && previous.service !== current.service) {
      this._serviceIds.get(previous.service)?.delete(current.nodeId)
      this._targets.delete(previous.service)
    }
    this._serviceIds.get(current.service)?.add(current.nodeId)
    this._targets.delete(current.service)
  }
}

/** First index of the sorted list whose id is not below `id`. */
export function lowerBound (ids: readonly base.NodeId[], id: base.NodeId): number {
  let low = 0
  let high = ids.length
  const last = ids[high - 1]
  if (last !== undefined && last < id) return high
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((ids[middle] ?? '') < id) low = middle + 1
    else high = middle
  }
  return low
}
