import * as digests from '../base/Digest.js'
import * as tables from './MemberTable.js'
import type * as base from '../base/Types.js'

/** Bounds the lists into which ids are inserted to about 100 ids at 6,900 members. */
const BUCKETS = 64

/** The probed members except this node, in an order that does not depend on the node. */
export class ProbeRing {
  private readonly _buckets: base.NodeId[][] = Array.from({ length: BUCKETS }, () => [])
  private _size = 0

  public get size (): number {
    return this._size
  }

  /** Adds an id. `hash` is its `placementHash`, which a caller passes if it is already computed. */
  public add (nodeId: base.NodeId, hash = digests.placementHash(nodeId)): void {
    const ids = this._bucketOf(nodeId, hash)
    const at = tables.lowerBound(ids, nodeId)
    if (ids[at] === nodeId) return
    ids.splice(at, 0, nodeId)
    this._size++
  }

  public remove (nodeId: base.NodeId): void {
    const ids = this._bucketOf(nodeId)
    const at = tables.lowerBound(ids, nodeId)
    if (ids[at] !== nodeId) return
    ids.splice(at, 1)
    this._size--
  }

  public has (nodeId: base.NodeId): boolean {
    const ids = this._bucketOf(nodeId)
    return ids[tables.lowerBound(ids, nodeId)] === nodeId
  }

  public at (index: number): base.NodeId | undefined {
    let rest = index
    for (const ids of this._buckets) {
      if (rest < ids.length) return ids[rest]
      rest -= ids.length
    }
    return undefined
  }

  /** Number of members before the id in ring order. The id need not be in the ring. */
  public rankOf (nodeId: base.NodeId): number {
    const own = this._bucketOf(nodeId)
    let rank = tables.lowerBound(own, nodeId)
    for (const ids of this._buckets) {
      if (ids === own) break
      rank += ids.length
    }
    return rank
  }

  private _bucketOf (nodeId: base.NodeId, hash = digests.placementHash(nodeId)): base.NodeId[] {
    return this._buckets[hash % BUCKETS] ?? []
  }
}
