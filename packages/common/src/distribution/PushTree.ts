import * as digest from '../base/Digest.js'
import type * as base from '../base/Types.js'

/** A child in the tree and the end of the range of ids that it forwards to. */
export interface Branch {
  readonly headId: base.NodeId
  /** Last id of the child's range; empty if the child is a leaf. */
  readonly untilId: base.NodeId
}

export interface PushTreeOptions {
  /** Live members of the zone, sorted by id. */
  readonly ids: readonly base.NodeId[]
  /** Reader at the root of the tree. */
  readonly rootId: base.NodeId
  readonly fanout: number
}

/**
 * Splits the members of a zone, in circular id order, into ranges that receive the push in parallel.
 * A range is given by its ends, so a member that is missing in the table of one node does not move other members to another range.
 */
export class PushTree {
  private readonly _ids: readonly base.NodeId[]
  private readonly _rootId: base.NodeId
  private readonly _fanout: number

  constructor (options: PushTreeOptions) {
    this._ids = options.ids
    this._rootId = options.rootId
    this._fanout = Math.max(1, options.fanout)
  }

  /** Children of the root. The first id depends on the version, so inner nodes differ between versions. */
  public rootBranches (version: number): readonly Branch[] {
    const count = this._ids.length
    if (count === 0) return []
    return this._split(digest.placementHash(`${this._rootId}/${version}`) % count, count)
  }

  /** Children of a member that forwards to the ids after its own up to `untilId`. */
  public branchesAfter (selfId: base.NodeId, untilId: base.NodeId): readonly Branch[] {
    if (untilId === '' || untilId === selfId) return []
    const start = upperBound(this._ids, selfId)
    const end = upperBound(this._ids, untilId)
    const length = untilId > selfId ? end - start : this._ids.length - start + end
    return this._split(start, length)
  }

  /** Splits `length` ids from index `start` on, in circular order, without the root. */
  private _split (start: number, length: number): readonly Branch[] {
    const range: base.NodeId[] = []
    for (let i = 0; i < length; i++) {
      const id = this._ids[(start + i) % this._ids.length]
      if (id !== undefined && id !== this._rootId) range.push(id)
    }
    const branches: Branch[] = []
    const parts = Math.min(this._fanout, range.length)
    for (let part = 0; part < parts; part++) {
      const first = Math.floor(part * range.length / parts)
      const last = Math.floor((part + 1) * range.length / parts) - 1
      const headId = range[first] ?? ''
      branches.push({ headId, untilId: last > first ? range[last] ?? '' : '' })
    }
    return branches
  }
}

/** First index of the sorted list whose id is above `id`. */
function upperBound (ids: readonly base.NodeId[], id: base.NodeId): number {
  let low = 0
  let high = ids.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((ids[middle] ?? '') <= id) low = middle + 1
    else high = middle
  }
  return low
}
