import * as frameCompression from '../FrameCompression.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'

/**
 * Least time between two requests for a version. It lets a slow node skip versions that follow in quick succession,
 * and is the wait before another node is asked.
 */
const REQUEST_INTERVAL_MS = 500
/** A version should cross into a zone once: nodes other than the one that fetches it wait this long for a copy in their own zone. */
const OTHER_ZONE_WAIT_MS = 600

export interface RulesExchangeOptions {
  readonly zone: string
  readonly table: targetTable.TargetTable
  readonly nowMs: () => base.Millis
  /** Version in force on this node. */
  readonly version: () => number
  readonly request: (nodeId: base.NodeId) => void
  /** Another node enforces a newer version than this one, for the first time since this one enforced its own. */
  readonly onBehind: (newerVersion: number, nodeId: base.NodeId) => void
  /** Whether this node fetches new versions from other zones. */
  readonly isZoneFirst: () => boolean
}

/** Distributes configurations between nodes: a node that does not read the store requests a newer version from another node. */
export class RulesExchange {
  private readonly _versions = new Map<base.NodeId, number>()
  private _requestedAtMs = -Infinity
  /** Time since which a version newer than the one in force is known. */
  private _behindSinceMs: base.Millis | undefined
  private _bytes: Uint8Array | undefined
  private _packed: Uint8Array | undefined

  constructor (private readonly _options: RulesExchangeOptions) {}

  /** The configuration in force, compressed, because this node may send it to many others. */
  public get packed (): Uint8Array | undefined {
    if (this._packed === undefined && this._bytes !== undefined) this._packed = frameCompression.compress(Buffer.from(this._bytes))
    return this._packed
  }

  /** Sets the configuration in force, as it was stored. */
  public setCurrent (bytes: Uint8Array): void {
    this._bytes = bytes
    this._packed = undefined
    this._behindSinceMs = undefined
  }

  /** Records the version that another node enforces, and requests it if it is newer. */
  public recordVersion (nodeId: base.NodeId, version: number): void {
    this._versions.set(nodeId, version)
    if (version <= this._options.version()) return
    if (this._behindSinceMs === undefined) this._options.onBehind(version, nodeId)
    this._requestIfDue()
  }

  /** Time since a version newer than the one in force is known; 0 if none is. */
  public get behindMs (): base.Millis {
    return this._behindSinceMs === undefined ? 0 : this._options.nowMs() - this._behindSinceMs
  }

  /** Repeats the request if a newer version has not arrived. */
  public tick (): void {
    for (const [nodeId, version] of this._versions) {
      if (this._options.table.get(nodeId)?.isConnected !== true) this._versions.delete(nodeId)
      else if (version > this._options.version()) this._requestIfDue()
    }
  }

  private _requestIfDue (): void {
    const { nowMs, version, table, zone, request, isZoneFirst } = this._options
    this._behindSinceMs ??= nowMs()
    if (nowMs() - this._requestedAtMs < REQUEST_INTERVAL_MS) return
    const mayCross = isZoneFirst() || nowMs() - this._behindSinceMs >= OTHER_ZONE_WAIT_MS
    let best: base.NodeId | undefined
    for (const [nodeId, known] of this._versions) {
      const row = table.get(nodeId)
      if (known <= version() || row?.isConnected !== true) continue
      if (row.zone === zone || (best === undefined && mayCross)) best = nodeId
    }
    if (best === undefined) return
    this._requestedAtMs = nowMs()
    request(best)
  }
}

/** Decompresses a configuration that another node sent. */
export function unpack (packed: Uint8Array): Uint8Array | Error {
  try {
    return frameCompression.decompress(packed)
  } catch (error) {
    return error instanceof Error ? error : new Error(String(error))
  }
}
