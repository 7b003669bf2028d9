import * as linkPlan from '@elmpost/common/direct/LinkPlan.js'
import * as nodeExpiry from '@elmpost/common/direct/NodeExpiry.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as linkCodec from './LinkCodec.js'
import type * as nodeServices from '../Services.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'

/** New nodes are reported to others in batches at this interval, because many nodes are new when a fleet starts. */
const GOSSIP_INTERVAL_MS = 500
/** Number of nodes to which each node forwards a new one. A node that is missed by gossip is read from the store. */
const GOSSIP_FANOUT = 8
/** Least time between two link plans, because each plan goes through all known nodes. */
const MIN_PLAN_INTERVAL_MS = 200
/** Interval between checks for links that can be closed and for nodes that have expired. */
const CLEANUP_INTERVAL_MS = 1_000

export interface NodeDirectoryOptions {
  readonly selfId: base.NodeId
  readonly zone: string
  readonly table: targetTable.TargetTable
  readonly links: ILinkManager
  readonly nowMs: () => base.Millis
  readonly logger: nodeServices.ILogger
  /** Nodes that are linked regardless of the plan. */
  readonly requiredPeers: () => readonly base.NodeId[]
  /** Whether targets of several versions of the service are in use. */
  readonly isMixed?: (service: string) => boolean
  /** Called when a node has been unreachable for so long that its record in the store is obsolete. */
  readonly onExpired: (nodeId: base.NodeId) => void
}

/** Opens and closes links to other nodes. */
export interface ILinkManager {
  connect(nodeId: base.NodeId): void
  disconnect(nodeId: base.NodeId): void
  isConnected(nodeId: base.NodeId): boolean
  /** Whether no call is on the link. */
  isIdle(nodeId: base.NodeId): boolean
  sendToSome(message: linkCodec.LinkMessage, count: number): void
}

/** The nodes of the fleet that this node knows, and the links that it keeps to some of them. */
export class NodeDirectory {
  private readonly _options: NodeDirectoryOptions
  private readonly _plan: linkPlan.LinkPlan
  private readonly _expiry = new nodeExpiry.NodeExpiry()
  private readonly _newRecords = new Map<base.NodeId, direct.NodeRecord>()
  private _gossipDueAtMs = 0
  private _plannedAtMs = -Infinity
  private _isPlanStale = true
  private _hasReadStore = false

  constructor (options: NodeDirectoryOptions) {
    this._options = options
    this._plan = new linkPlan.LinkPlan(options)
  }

  /** Adds or updates a node from its own hello, which is newer than what other nodes report of it. */
  public addFromHello (record: direct.NodeRecord): void {
    if (this._options.table.get(record.nodeId) === undefined) this._newRecords.set(record.nodeId, record)
    this._put(record)
    // A service that is small enough to link to all of its nodes needs no plan: a new node is used for the next call.
    if (this._options.table.ofService(record.service).length <= linkPlan.SUBSET_SIZE) this._options.links.connect(record.nodeId)
    this._planIfDue()
  }

  /** Adds nodes that another node reported. Nodes that are new here are forwarded, so that each node learns of them. */
  public addFromPeer (records: readonly direct.NodeRecord[]): void {
    const unknown = records.filter(({ nodeId }) => this._options.table.get(nodeId) === undefined)
    for (const record of unknown) {
      this._newRecords.set(record.nodeId, record)
      this._put(record)
    }
    this._planIfDue()
  }

  /** Adds the nodes recorded in the store. After the first read, new ones are forwarded, because few nodes read the store again. */
  public addFromStore (records: readonly direct.NodeRecord[]): void {
    for (const record of records) {
      if (this._options.table.get(record.nodeId) !== undefined) continue
      if (this._hasReadStore && record.nodeId !== this._options.selfId) this._newRecords.set(record.nodeId, record)
      this._put(record)
    }
    this._hasReadStore = true
    this._planIfDue()
  }

  /** Requests a new plan after a link was opened or lost, or the state of a node changed. */
  public invalidatePlan (): void {
    this._isPlanStale = true
  }

  public all (): direct.NodeRecord[] {
    return [...this._options.table.all()].map(({ nodeId, zone, service, linkMbps }) => ({ nodeId, zone, service, linkMbps, target: undefined }))
  }

  public tick (): void {
    const nowMs = this._options.nowMs()
    this._planIfDue()
    if (this._newRecords.size === 0 || nowMs < this._gossipDueAtMs) return
    this._gossipDueAtMs = nowMs + GOSSIP_INTERVAL_MS
    this._options.links.sendToSome({ kind: 'nodes', nodes: [...this._newRecords.values()] }, GOSSIP_FANOUT)
    this._newRecords.clear()
  }

  private _put ({ nodeId, zone, service, linkMbps, target }: direct.NodeRecord): void {
    const { selfId, table, links } = this._options
    if (nodeId === selfId) return
    this._isPlanStale = true
    const row = table.put(nodeId, zone, service, linkMbps)
    row.softwareVersion ??= target?.softwareVersion
    // The link to a seed is opened before its node is known.
    table.setConnected(nodeId, links.isConnected(nodeId))
  }

  private _planIfDue (): void {
    const nowMs = this._options.nowMs()
    const isDue = this._isPlanStale || nowMs >= this._plan.nextChoiceAtMs || nowMs - this._plannedAtMs >= CLEANUP_INTERVAL_MS
    if (isDue && nowMs - this._plannedAtMs >= MIN_PLAN_INTERVAL_MS) this._followPlan(nowMs)
  }

  private _followPlan (nowMs: base.Millis): void {
    const { table, links, requiredPeers } = this._options
    this._plannedAtMs = nowMs
    this._isPlanStale = false
    const wanted = this._plan.choose(table.all(), nowMs, requiredPeers())
    for (const nodeId of wanted) links.connect(nodeId)
    const unwanted = [...table.all()].filter(({ nodeId }) => !wanted.has(nodeId) && links.isConnected(nodeId) && links.isIdle(nodeId))
    for (const { nodeId } of unwanted) this._disconnect(nodeId)
    this._removeExpired([...table.all()].filter(({ nodeId }) => wanted.has(nodeId)), nowMs)
  }

  /** Removes nodes that have expired. Takes only nodes that this one keeps a link to, because it cannot tell whether others are reachable. */
  private _removeExpired (rows: readonly targetTable.TargetRow[], nowMs: base.Millis): void {
    const { table, logger, onExpired } = this._options
    for (const nodeId of this._expiry.findExpired(rows, nowMs)) {
      this._disconnect(nodeId)
      table.remove(nodeId)
      logger.log('info', 'node-forgotten', { peer: nodeId })
      onExpired(nodeId)
    }
  }

  private _disconnect (nodeId: base.NodeId): void {
    this._options.links.disconnect(nodeId)
    this._options.table.setConnected(nodeId, false)
  }
}
