import * as crashReports from './CrashReports.js'
import * as fleetSize from '@elmpost/common/direct/FleetSize.js'
import * as nodeDirectory from './NodeDirectory.js'
import * as nodeRecords from './NodeRecords.js'
import * as nodeRegistry from './NodeRegistry.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as crashGuards from './CrashGuard.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as linkCodec from './LinkCodec.js'
import type * as nodeServices from '../Services.js'
import type * as readerPlan from '@elmpost/common/direct/ReaderPlan.js'
import type * as services from './Services.js'
import type * as storeReturns from './StoreReturns.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'
import type * as types from './Types.js'

/** Longest wait for a write to the store before a leaving target is acknowledged. */
const RECORD_LEAVING_MS = 300
/** Interval between requests to other nodes for the list of nodes, until the records in the store have been read. */
const NODES_REQUEST_INTERVAL_MS = 1_000

export interface FleetMembershipOptions {
  readonly settings: types.DirectSettings
  readonly table: targetTable.TargetTable
  readonly links: ILinks
  readonly readers: readerPlan.ReaderPlan
  /** Nodes that issue grants for calls of customers. Empty if no customer has a limit. */
  readonly issuers: () => readonly base.NodeId[]
  readonly store: services.IKeyedStore
  readonly logger: nodeServices.ILogger
  readonly random: base.IRandom
  readonly nowMs: () => base.Millis
  /** Target beside this node, written to the store for a later process of this node. */
  readonly target: () => direct.KnownTarget | undefined
  readonly crashes: Pick<crashGuards.CrashGuard, 'stored' | 'restore'>
  /** Whether targets of several versions of the service are in use. */
  readonly isMixed: (service: string) => boolean
  /** Takes over the target that an earlier process of this node recorded. */
  readonly restore: (target: direct.KnownTarget) => void
}

export interface ILinks extends nodeDirectory.ILinkManager {
  send(nodeId: base.NodeId, message: linkCodec.LinkMessage): void
}

/** Tracks the other nodes of the fleet, and publishes this node to them, over links and through the store. */
export class FleetMembership implements base.IDisposable {
  private readonly _options: FleetMembershipOptions
  private readonly _size: fleetSize.FleetSize
  private readonly _directory: nodeDirectory.NodeDirectory
  private readonly _registry: nodeRegistry.NodeRegistry
  private _requestedAtMs = -Infinity

  constructor (options: FleetMembershipOptions) {
    this._options = options
    const { settings, table, links, readers, store, logger, random, nowMs } = options
    const selfId = settings.peerAddress
    this._size = new fleetSize.FleetSize(() => table.size)
    this._registry = new nodeRegistry.NodeRegistry({ store, selfId, logger, random, nowMs, isFirstStart: settings.isFirstStart, isReader: () => readers.isReader })
    this._registry.onNodes(records => { this._handleStoredNodes(records) })
    this._directory = new nodeDirectory.NodeDirectory({
      selfId,
      zone: settings.zone,
      table,
      links,
      nowMs,
      logger,
      requiredPeers: () => [...readers.requiredPeers, ...options.issuers()],
      isMixed: options.isMixed,
      onExpired: nodeId => { this._registry.deleteRecord(nodeId).catch((error: unknown) => { this._logUnexpected(error) }) }
    })
  }

  /** Writes this node's record. */
  public get record (): storeReturns.IStoreWriter {
    return this._registry
  }

  /** Whether the records of all nodes have been read. */
  public get isKnown (): boolean {
    return this._size.isKnown
  }

  /** Undefined if the size of the fleet is not known. */
  public get nodeCount (): number | undefined {
    return this._size.nodeCount
  }

  public start (): void {
    this._registry.start(() => this._record())
  }

  /** Opens links to the nodes that the settings name. They need not be reachable. */
  public connectSeeds (seeds: readonly string[]): void {
    const { links, logger } = this._options
    for (const seed of seeds) {
      if (nodeRecords.isAddress(seed)) links.connect(seed)
      else logger.log('warn', 'seed-refused', { seed })
    }
  }

  public tick (): void {
    this._directory.tick()
  }

  /** Greeting for another node, or for all. A node that this one opens a link to also learns what its target has stated. */
  public hello (version: number, to?: base.NodeId): linkCodec.HelloMessage {
    const { settings, table } = this._options
    const { peerAddress, zone, service, linkMbps } = settings
    return { kind: 'hello', nodeId: peerAddress, zone, service, version, linkMbps, notice: to === undefined ? undefined : table.noticeFor(to) }
  }

  /** Adds or updates a node from its own hello. */
  public handleHello ({ nodeId, zone, service, linkMbps }: linkCodec.HelloMessage): void {
    // A status follows if it still leaves.
    this._options.table.recordLeaving(nodeId, false)
    this._directory.addFromHello({ nodeId, zone, service, linkMbps, target: undefined })
  }

  /** Adds nodes that another node reported. */
  public handleNodes (records: readonly direct.NodeRecord[]): void {
    this._directory.addFromPeer(records)
  }

  /** Chooses the links to other nodes again. */
  public invalidatePlan (): void {
    this._directory.invalidatePlan()
  }

  public all (): direct.NodeRecord[] {
    return this._directory.all()
  }

  public handleConnectionChange (nodeId: base.NodeId, isConnected: boolean): void {
    const { table, links, nowMs } = this._options
    table.setConnected(nodeId, isConnected)
    this._directory.invalidatePlan()
    if (!isConnected || this.isKnown || nowMs() - this._requestedAtMs < NODES_REQUEST_INTERVAL_MS) return
    this._requestedAtMs = nowMs()
    links.send(nodeId, { kind: 'nodes-request' })
  }

  public handleStatus (nodeId: base.NodeId, status: direct.HostStatus): void {
    const { table, store, nowMs } = this._options
    store.era.record(status.storeEra)
    if (table.get(nodeId)?.state !== status.state) this._directory.invalidatePlan()
    table.updateStatus(nodeId, status, nowMs())
  }

  /** Writes this node's record to the store after its target has changed. */
  public publish (): void {
    this._registry.publish(this._record()).catch((error: unknown) => { this._logUnexpected(error) })
  }

  /** Records in the store that the target is leaving, for a later process of this node, before the target's announcement is acknowledged. */
  public async recordLeaving (): Promise<void> {
    await Promise.race([this._registry.publish(this._record()), new Promise(resolve => { setTimeout(resolve, RECORD_LEAVING_MS) })])
  }

  public dispose (): void {
    this._registry.dispose()
  }

  private _record (): direct.NodeRecord {
    const { peerAddress, zone, service, linkMbps } = this._options.settings
    return { nodeId: peerAddress, zone, service, linkMbps, target: this._options.target(), ...crashReports.storedFieldOf(this._options.crashes.stored) }
  }

  private _handleStoredNodes (records: readonly direct.NodeRecord[]): void {
    const { settings, restore, crashes } = this._options
    for (const { nodeId, service, crashes: stored } of records) if (stored !== undefined) crashes.restore(stored, service, nodeId === settings.peerAddress)
    const own = records.find(({ nodeId }) => nodeId === settings.peerAddress)
    const isEarlier = !this.isKnown && !settings.isFirstStart
    if (isEarlier && own?.target !== undefined && own.service === settings.service) restore(own.target)
    this._size.setRecordCount(records.length)
    this._directory.addFromStore(records)
    this.publish()
  }

  private _logUnexpected (error: unknown): void {
    this._options.logger.log('error', 'unexpected-error', { problem: String(error) })
  }
}
