import * as digest from '../base/Digest.js'
import type * as base from '../base/Types.js'
import type * as membership from '../membership/Types.js'

/**
 * Maximum number of targets of a service that one entry node uses. Without this limit, each target of a larger service
 * would receive a connection from every node, of which there are up to 6,900.
 */
export const SUBSET_SIZE = 24

export interface SubsetOptions {
  /** Node for which the subset is chosen. */
  readonly nodeId: base.NodeId
  /** Zone of that node; half of the subset comes from it if it has enough targets. */
  readonly zone: string
  readonly size?: number
}

interface ScoredRow {
  readonly row: membership.MemberRow
  readonly score: number
}

/**
 * Chooses the targets of a service that one entry node uses, by rendezvous hashing. Targets are
 * scored independently: a target that leaves changes only the subsets that contain it, by one member.
 */
export class Subset {
  private readonly _options: SubsetOptions
  private readonly _size: number

  constructor (options: SubsetOptions) {
    this._options = options
    this._size = options.size ?? SUBSET_SIZE
  }

  public choose (rows: readonly membership.MemberRow[]): readonly membership.MemberRow[] {
    if (rows.length <= this._size) return rows
    const near = this._ranked(rows.filter(row => row.zone === this._options.zone))
    const far = this._ranked(rows.filter(row => row.zone !== this._options.zone))
    const half = Math.ceil(this._size / 2)
    const nearCount = Math.min(near.length, Math.max(half, this._size - far.length))
    return [...near.slice(0, nearCount), ...far.slice(0, this._size - nearCount)]
  }

  private _ranked (rows: readonly membership.MemberRow[]): membership.MemberRow[] {
    const scored: ScoredRow[] = rows.map(row => ({
      row,
      score: digest.placementHash(`${row.nodeId}|${this._options.nodeId}`)
    }))
    scored.sort((a, b) => b.score - a.score || (a.row.nodeId < b.row.nodeId ? -1 : 1))
    return scored.map(entry => entry.row)
  }
}
