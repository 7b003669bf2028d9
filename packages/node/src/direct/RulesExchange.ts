import type * as base from '@elmpost/common/base/Types.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'

/** A node that has heard from the store within this time is taken as a source of new versions. */
const FRESH_MS = 3_500
/** Wait for a version that was asked for, before another node is asked. */
const REQUEST_TIMEOUT_MS = 300

export interface RulesExchangeOptions {
  readonly selfId: base.NodeId
  readonly zone: string
  readonly table: targetTable.TargetTable
  readonly nowMs: () => base.Millis
  /** Version in force on this node. */
  readonly version: () => number
  readonly request: (nodeId: base.NodeId) => void
}

/**
 * Passes configurations from node to node. One node of each zone follows the store; the others ask a node that has a
 * newer version than their own. A node that sees no other one with a working store follows the store itself.
 */
export class RulesExchange {
  /** The configuration in force, as it was stored. */
  public bytes: Uint8Array | undefined
  private readonly _versions = new Map<base.NodeId, number>()
  private _askedAtMs = -Infinity

  constructor (private readonly _options: RulesExchangeOptions) {}

  /** The first node of the zone by id, or any node without a fresh one in its zone, reads the store. */
  public get isReader (): boolean {
    const { table, selfId, zone } = this._options
    for (const row of table.all()) {
      if (row.nodeId < selfId && row.zone === zone && row.isConnected && row.storeAgeMs < FRESH_MS) return false
    }
    return true
  }

  /** Whether this node acts for the fleet: it has the lowest id of those that it can reach. */
  public get isFirst (): boolean {
    for (const row of this._options.table.all()) {
      if (row.nodeId < this._options.selfId && row.isConnected) return false
    }
    return true
  }

  /** A node has told the version that it enforces. */
  public heard (nodeId: base.NodeId, version: number): void {
    this._versions.set(nodeId, version)
    if (version > this._options.version()) this._ask()
  }

  /** Asks again if a version that exists elsewhere has not come. */
  public tick (): void {
    for (const [nodeId, version] of this._versions) {
      if (this._options.table.get(nodeId)?.isConnected !== true) this._versions.delete(nodeId)
      else if (version > this._options.version()) this._ask()
    }
  }

  private _ask (): void {
    const { nowMs, version, table, zone, request } = this._options
    if (nowMs() - this._askedAtMs < REQUEST_TIMEOUT_MS) return
    let best: base.NodeId | undefined
    for (const [nodeId, known] of this._versions) {
      const row = table.get(nodeId)
      if (known <= version() || row?.isConnected !== true) continue
      if (best === undefined || row.zone === zone) best = nodeId
    }
    if (best === undefined) return
    this._askedAtMs = nowMs()
    request(best)
  }
}
