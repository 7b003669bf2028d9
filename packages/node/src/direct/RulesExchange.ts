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
/** Longest wait before a node that has not sent a copy is asked again. The wait doubles each time. */
const MAX_REPEAT_MS = 8_000

/** What is known of another node. */
interface Holder {
  /** Version that it enforces. */
  version: number
  /** Requests to it that have not brought a version into force here. */
  requests: number
  requestedAtMs: base.Millis
}

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
  private readonly _holders = new Map<base.NodeId, Holder>()
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
    for (const holder of this._holders.values()) holder.requests = 0
  }

  /** Records the version that another node enforces, and requests it if it is newer. */
  public recordVersion (nodeId: base.NodeId, version: number): void {
    const holder = this._holders.get(nodeId)
    if (holder === undefined) this._holders.set(nodeId, { version, requests: 0, requestedAtMs: -Infinity })
    else holder.version = version
    if (version <= this._options.version()) return
    if (this._behindSinceMs === undefined) this._options.onBehind(version, nodeId)
    this._requestIfDue()
  }

  /** Time since a version newer than the one in force is known; 0 if none is. */
  public get behindMs (): base.Millis {
    return this._behindSinceMs === undefined ? 0 : this._options.nowMs() - this._behindSinceMs
  }

  /** Records that a copy could not be decoded or is not newer than the version in force, and asks another node at once. */
  public recordUselessCopy (): void {
    this._requestedAtMs = -Infinity
    this.tick()
  }

  /** Asks another node if a newer version has not arrived. */
  public tick (): void {
    let isBehind = false
    for (const [nodeId, { version }] of this._holders) {
      if (this._options.table.get(nodeId)?.isConnected !== true) this._holders.delete(nodeId)
      else if (version > this._options.version()) isBehind = true
    }
    if (isBehind) this._requestIfDue()
  }

  private _requestIfDue (): void {
    const { nowMs, request } = this._options
    this._behindSinceMs ??= nowMs()
    if (nowMs() - this._requestedAtMs < REQUEST_INTERVAL_MS) return
    const next = this._nextHolder(nowMs() - this._behindSinceMs)
    if (next === undefined) return
    const [nodeId, holder] = next
    this._requestedAtMs = nowMs()
    holder.requestedAtMs = nowMs()
    holder.requests += 1
    request(nodeId)
  }

  /** The node to ask: one that has been asked least often, if possible in the own zone. */
  private _nextHolder (behindMs: base.Millis): readonly [base.NodeId, Holder] | undefined {
    const { nowMs, version, table, zone, isZoneFirst } = this._options
    const holders = [...this._holders].filter(([nodeId, holder]) => holder.version > version() && table.get(nodeId)?.isConnected === true)
    const isNear = (nodeId: base.NodeId): boolean => table.get(nodeId)?.zone === zone
    // A node of the own zone that was asked in vain may stand still, or have no useful copy.
    const mayCross = isZoneFirst() || behindMs >= OTHER_ZONE_WAIT_MS || holders.some(([nodeId, { requests }]) => requests > 0 && isNear(nodeId))
    const due = holders.filter(([nodeId, { requests, requestedAtMs }]) => (mayCross || isNear(nodeId)) && nowMs() - requestedAtMs >= repeatMs(requests))
    due.sort(([one, { requests }], [other, { requests: otherRequests }]) => requests - otherRequests || Number(isNear(other)) - Number(isNear(one)))
    return due[0]
  }
}

/** Wait before a node is asked again. */
function repeatMs (requests: number): base.Millis {
  return requests === 0 ? 0 : Math.min(REQUEST_INTERVAL_MS * 2 ** requests, MAX_REPEAT_MS)
}

/** Decompresses a configuration that another node sent. */
export function unpack (packed: Uint8Array): Uint8Array | Error {
  try {
    return frameCompression.decompress(packed)
  } catch (error) {
    return error instanceof Error ? error : new Error(String(error))
  }
}
