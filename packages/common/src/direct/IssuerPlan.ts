import * as digest from '../base/Digest.js'
import type * as base from '../base/Types.js'
import type * as targetTable from './TargetTable.js'

/** Least number of issuers. With more of them the bucket of a small customer is divided so finely that its calls are refused below its limit. */
const MIN_ISSUERS = 3

export interface IssuerPlanOptions {
  readonly selfId: base.NodeId
  readonly table: targetTable.TargetTable
}

/**
 * Chooses the nodes that issue grants: the one of each zone with the fastest link that has not announced that it leaves, or
 * more in a fleet of few zones. Nodes may disagree about them for a while, because each node divides its own share of the limits among the issuers that it uses.
 */
export class IssuerPlan {
  private readonly _options: IssuerPlanOptions
  private _revision = -1
  private _maxCount = 0
  private _issuers: readonly base.NodeId[] = []

  constructor (options: IssuerPlanOptions) {
    this._options = options
  }

  /** At most `maxCount` issuers: this node first, then those of its zone, then the rest in an order that differs between nodes. */
  public choose (maxCount: number): readonly base.NodeId[] {
    const { table } = this._options
    if (this._revision !== table.revision || this._maxCount !== maxCount) {
      this._revision = table.revision
      this._maxCount = maxCount
      this._issuers = this._choose(maxCount)
    }
    return this._issuers
  }

  private _choose (maxCount: number): readonly base.NodeId[] {
    const { selfId, table } = this._options
    const zones = new Map<string, targetTable.TargetRow[]>()
    for (const row of table.all()) {
      if (row.hasAnnouncedLeaving) continue
      const best = zones.get(row.zone) ?? []
      best.push(row)
      best.sort(byRank).splice(MIN_ISSUERS)
      zones.set(row.zone, best)
    }
    const ranked = Array.from({ length: MIN_ISSUERS }, (_, rank) => [...zones.values()].flatMap(best => best[rank] ?? []).sort(byRank)).flat()
    const zone = table.get(selfId)?.zone
    const distanceOf = (row: targetTable.TargetRow): number => row.nodeId === selfId ? 0 : row.zone === zone ? 1 : 2
    const scoreOf = ({ nodeId }: targetTable.TargetRow): number => digest.placementHash(`${nodeId}|${selfId}`)
    return ranked.slice(0, Math.min(maxCount, Math.max(MIN_ISSUERS, zones.size))).sort((one, other) => distanceOf(one) - distanceOf(other) || scoreOf(one) - scoreOf(other)).map(({ nodeId }) => nodeId)
  }
}

function byRank (one: targetTable.TargetRow, other: targetTable.TargetRow): number {
  return other.linkMbps - one.linkMbps || (one.nodeId < other.nodeId ? -1 : 1)
}
