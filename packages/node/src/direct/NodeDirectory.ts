import * as linkPlan from '@elmpost/common/direct/LinkPlan.js'
import * as nodeExpiry from '@elmpost/common/direct/NodeExpiry.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as linkCodec from './LinkCodec.js'
import type * as nodeServices from '../Services.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'

/** New nodes are told to others together, because a fleet that starts has many of them. */
const TELL_EACH_MS = 500
/** Between two looks for nodes whose links have to be opened or can be closed. */
const PLAN_EACH_MS = 500

export interface NodeDirectoryOptions {
  readonly selfId: base.NodeId
  readonly zone: string
  readonly table: targetTable.TargetTable
  readonly links: ILinkKeeper
  readonly nowMs: () => base.Millis
  readonly logger: nodeServices.ILogger
  /** The node has been out of reach for so long that its record in the store is of no use. */
  readonly gone: (nodeId: base.NodeId) => void
}

/** Opens and closes links to other nodes. */
export interface ILinkKeeper {
  connect(nodeId: base.NodeId): void
  disconnect(nodeId: base.NodeId): void
  isConnected(nodeId: base.NodeId): boolean
  /** Whether no call is on the link. */
  isIdle(nodeId: base.NodeId): boolean
  sendToAll(message: linkCodec.LinkMessage): void
}

/** The nodes of the fleet as this node knows them, and which of them it keeps links to. */
export class NodeDirectory {
  private readonly _options: NodeDirectoryOptions
  private readonly _plan: linkPlan.LinkPlan
  private readonly _expiry = new nodeExpiry.NodeExpiry()
  private readonly _news = new Map<base.NodeId, direct.NodeRecord>()
  private _tellAtMs = 0
  private _planAtMs = 0

  constructor (options: NodeDirectoryOptions) {
    this._options = options
    this._plan = new linkPlan.LinkPlan(options)
  }

  /** A node has greeted this one or answered its greeting. What a node says itself is newer than what others know of it. */
  public met (record: direct.NodeRecord): void {
    if (this._options.table.get(record.nodeId) === undefined) this._news.set(record.nodeId, record)
    this._put(record)
    this._followPlan()
  }

  /** Another node knows these nodes. Those that are new here are passed on, so that each node learns of them. */
  public told (records: readonly direct.NodeRecord[]): void {
    const unknown = records.filter(({ nodeId }) => this._options.table.get(nodeId) === undefined)
    for (const record of unknown) {
      this._news.set(record.nodeId, record)
      this._put(record)
    }
    this._followPlan()
  }

  /** The store has records of all nodes. */
  public read (records: readonly direct.NodeRecord[]): void {
    for (const record of records) {
      if (this._options.table.get(record.nodeId) === undefined) this._put(record)
    }
    this._followPlan()
  }

  public all (): direct.NodeRecord[] {
    return [...this._options.table.all()].map(({ nodeId, zone, service, linkMbps }) => ({ nodeId, zone, service, linkMbps, target: undefined }))
  }

  public tick (): void {
    const nowMs = this._options.nowMs()
    if (nowMs >= this._planAtMs) this._followPlan()
    if (this._news.size === 0 || nowMs < this._tellAtMs) return
    this._tellAtMs = nowMs + TELL_EACH_MS
    this._options.links.sendToAll({ kind: 'nodes', nodes: [...this._news.values()] })
    this._news.clear()
  }

  private _put ({ nodeId, zone, service, linkMbps }: direct.NodeRecord): void {
    const { selfId, table, links } = this._options
    if (nodeId === selfId) return
    table.put(nodeId, zone, service, linkMbps)
    // The link to a seed is open before anything is known of the node there.
    table.connected(nodeId, links.isConnected(nodeId))
  }

  private _followPlan (): void {
    const { table, links } = this._options
    const nowMs = this._options.nowMs()
    this._planAtMs = nowMs + PLAN_EACH_MS
    const wanted = this._plan.choose(table.all(), nowMs)
    for (const nodeId of wanted) links.connect(nodeId)
    const unwanted = [...table.all()].filter(({ nodeId }) => !wanted.has(nodeId) && links.isConnected(nodeId) && links.isIdle(nodeId))
    for (const { nodeId } of unwanted) this._disconnect(nodeId)
    this._forget([...table.all()].filter(({ nodeId }) => wanted.has(nodeId)), nowMs)
  }

  /** Only nodes that this one keeps a link to can be seen to be gone. */
  private _forget (rows: readonly targetTable.TargetRow[], nowMs: base.Millis): void {
    const { table, logger, gone } = this._options
    for (const nodeId of this._expiry.expired(rows, nowMs)) {
      this._disconnect(nodeId)
      table.remove(nodeId)
      logger.log('info', 'node-forgotten', { peer: nodeId })
      gone(nodeId)
    }
  }

  private _disconnect (nodeId: base.NodeId): void {
    this._options.links.disconnect(nodeId)
    this._options.table.connected(nodeId, false)
  }
}
