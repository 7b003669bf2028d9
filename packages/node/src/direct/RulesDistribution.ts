import * as disposable from '@elmpost/common/base/Disposable.js'
import * as readerPlan from '@elmpost/common/direct/ReaderPlan.js'
import * as rulesExchange from './RulesExchange.js'
import * as rulesWatch from './RulesWatch.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as linkCodec from './LinkCodec.js'
import type * as nodeServices from '../Services.js'
import type * as services from './Services.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'
import type * as types from './Types.js'

/** How long a node that is not a store reader waits for a reader's configuration: after a start of the whole fleet, and after its own start. */
const FIRST_WAIT_MS = { fleet: 5_000, node: 800 } as const

export interface RulesDistributionOptions {
  readonly selfId: base.NodeId
  readonly zone: string
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean
  readonly table: targetTable.TargetTable
  readonly store: services.IKeyedStore
  readonly format: services.IRulesFormat
  readonly random: base.IRandom
  readonly logger: nodeServices.ILogger
  readonly nowMs: () => base.Millis
  /** Whether the records of all nodes have been read. */
  readonly isFleetKnown: () => boolean
  /** Version in force on this node. */
  readonly version: () => number
  /** Puts a configuration into force if it is newer. */
  readonly enforce: (stored: types.StoredRules, source: string) => void
  readonly send: (nodeId: base.NodeId, message: linkCodec.LinkMessage) => void
  /** Sends a message to all nodes that have a link to this one. */
  readonly broadcast: (message: linkCodec.LinkMessage) => void
}

/** Gets new configurations to this node: from the store if it reads for the fleet, otherwise from other nodes. */
export class RulesDistribution extends disposable.Disposable {
  public readonly readers: readerPlan.ReaderPlan
  private readonly _options: RulesDistributionOptions
  private readonly _watch: rulesWatch.RulesWatch
  private readonly _exchange: rulesExchange.RulesExchange

  constructor (options: RulesDistributionOptions) {
    super()
    this._options = options
    const { selfId, zone, isFirstStart, table, store, format, random, logger, nowMs, isFleetKnown, version, enforce, send } = options
    const firstWaitMs = isFirstStart ? FIRST_WAIT_MS.fleet : FIRST_WAIT_MS.node
    this.readers = new readerPlan.ReaderPlan({ selfId, table, random, nowMs, startedAtMs: nowMs(), firstWaitMs, isFleetKnown })
    this._watch = this._register(new rulesWatch.RulesWatch({ store, format, nowMs, random, logger, isReader: () => this.readers.isReader, isCandidate: () => this.readers.isCandidate }))
    this._exchange = new rulesExchange.RulesExchange({
      zone,
      table,
      nowMs,
      version,
      request: nodeId => { send(nodeId, { kind: 'rules-request' }) },
      onBehind: (newerVersion, peer) => { logger.log('info', 'newer-version', { newerVersion, peer }) },
      isZoneFirst: () => this.readers.isZoneFirst
    })
    this._register(this._watch.onRules(stored => { enforce(stored, 'store') }))
  }

  /** Time since the store last answered this node. */
  public get storeAgeMs (): base.Millis {
    return this._watch.storeAgeMs
  }

  /** Time since another node is known to enforce a newer version; 0 if none is. */
  public get behindMs (): base.Millis {
    return this._exchange.behindMs
  }

  public start (): void {
    this._watch.start()
  }

  public tick (): void {
    this._exchange.tick()
  }

  /** Sets the configuration in force, as it was stored. */
  public setCurrent (bytes: Uint8Array): void {
    this._exchange.setCurrent(bytes)
  }

  public handleStatus (nodeId: base.NodeId, { version, storeAgeMs, fleetStoreAgeMs }: direct.HostStatus): void {
    this.readers.recordStoreContact(nodeId, storeAgeMs, fleetStoreAgeMs)
    this._exchange.recordVersion(nodeId, version)
  }

  /** `delayMs`: how long the message waited on its way, as far as is known. */
  public handleAlive (nodeId: base.NodeId, { version }: linkCodec.AliveMessage, _delayMs: base.Millis): void {
    this._exchange.recordVersion(nodeId, version)
  }

  public handleHello ({ nodeId, version }: linkCodec.HelloMessage): void {
    this._exchange.recordVersion(nodeId, version)
  }

  public handleRequest (reply: (message: linkCodec.LinkMessage) => void): void {
    if (this._exchange.packed !== undefined) reply({ kind: 'rules', bytes: this._exchange.packed })
  }

  public handleRules (nodeId: base.NodeId, bytes: Uint8Array): void {
    const stored = this._watch.decode(bytes)
    if (stored !== undefined) this._options.enforce(stored, nodeId)
  }
}
