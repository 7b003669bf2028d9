import * as disposable from '@elmpost/common/base/Disposable.js'
import * as readerPlan from '@elmpost/common/direct/ReaderPlan.js'
import * as rulesExchange from './RulesExchange.js'
import * as rulesWatch from './RulesWatch.js'
import * as versionFreshness from '@elmpost/common/direct/VersionFreshness.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as linkCodec from './LinkCodec.js'
import type * as nodeServices from '../Services.js'
import type * as services from './Services.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'
import type * as types from './Types.js'

/** How long a node that is not a store reader waits for a reader's configuration: after a start of the whole fleet, and after its own start. */
const FIRST_WAIT_MS = { fleet: 5_000, node: 800 } as const

/** Least time between two reports of a node that the version is confirmed. */
const REPORT_INTERVAL_MS = 300
/** A confirmation is reported if it is later by this time than the one reported before; longer than a message takes, so that two nodes do not report the same one to each other for ever. */
const MIN_ADVANCE_MS = 150

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
  /** Counts the time for which the VM was suspended as far as it is known, because reports are trusted for a time. */
  readonly nowMs: () => base.Millis
  /** Whether the records of all nodes have been read. */
  readonly isFleetKnown: () => boolean
  /** Version in force on this node. */
  readonly version: () => number
  /** Puts a configuration into force if it is newer. */
  readonly enforce: (stored: types.StoredRules, source: string) => void
  readonly send: (nodeId: base.NodeId, message: linkCodec.LinkMessage) => void
  /** Sends a message to all nodes that have a link to this one, or only to those of a zone. */
  readonly broadcast: (message: linkCodec.LinkMessage, zone?: string) => void
}

/**
 * Gets new configurations to this node: from the store if it reads for the fleet, otherwise from other nodes. Readers report until
 * when their version was the newest one, and candidates pass this on in zones without a reader. A node that hears no such report
 * reads the store itself.
 */
export class RulesDistribution extends disposable.Disposable {
  public readonly readers: readerPlan.ReaderPlan
  private readonly _options: RulesDistributionOptions
  private readonly _watch: rulesWatch.RulesWatch
  private readonly _exchange: rulesExchange.RulesExchange
  private readonly _freshness: versionFreshness.VersionFreshness
  /** Nodes that report when their version was confirmed. Those of earlier versions do not. */
  private readonly _reporting = new Set<base.NodeId>()
  private _reportedAtMs = -Infinity
  private _reportedConfirmationMs = -Infinity

  constructor (options: RulesDistributionOptions) {
    super()
    this._options = options
    const { selfId, zone, isFirstStart, table, store, format, random, logger, nowMs, isFleetKnown, version, enforce, send } = options
    const firstWaitMs = isFirstStart ? FIRST_WAIT_MS.fleet : FIRST_WAIT_MS.node
    this._freshness = new versionFreshness.VersionFreshness(nowMs, version)
    this.readers = new readerPlan.ReaderPlan({ selfId, table, random, nowMs, startedAtMs: nowMs(), firstWaitMs, isFleetKnown, freshness: this._freshness })
    this._watch = this._register(new rulesWatch.RulesWatch({ store, format, nowMs, random, logger, isReader: () => this.readers.isReader, isCandidate: () => this.readers.isCandidate, confirmedAgeMs: () => this.confirmedAgeMs }))
    this._exchange = new rulesExchange.RulesExchange({
      zone,
      table,
      nowMs,
      version,
      request: nodeId => {
        logger.log('info', 'version-requested', { peer: nodeId, behindMs: Math.round(this.behindMs) })
        send(nodeId, { kind: 'rules-request' })
      },
      onBehind: (newerVersion, peer) => { logger.log('info', 'newer-version', { newerVersion, peer }) },
      isZoneFirst: () => this.readers.isZoneFirst
    })
    this._register(this._watch.onRules(stored => { enforce(stored, 'store') }))
    this._register(this._watch.onContact(() => { this._handleContact() }))
  }

  /** Fires with the other records of the topic of the configuration. */
  public get onRecords (): base.IEvent<rulesWatch.TopicRecords> {
    return this._watch.onRecords
  }

  /** Time since the store last answered this node. */
  public get storeAgeMs (): base.Millis {
    return this._watch.storeAgeMs
  }

  /** Time since the version in force is known to have been the newest one; Infinity before it was for the first time. */
  public get confirmedAgeMs (): base.Millis {
    return this._freshness.ageMs
  }

  /** What this node tells others of its version and of the store. */
  public get report (): linkCodec.AliveMessage {
    return { kind: 'alive', version: this._options.version(), sentAtMs: this._options.nowMs(), storeAgeMs: this.storeAgeMs, confirmedAgeMs: this.confirmedAgeMs }
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
    this._reportIfDue()
  }

  /** Sets the configuration in force, as it was stored. */
  public setCurrent (bytes: Uint8Array): void {
    this._exchange.setCurrent(bytes)
  }

  public handleStatus (nodeId: base.NodeId, { version, storeAgeMs }: direct.HostStatus): void {
    this._exchange.recordVersion(nodeId, version)
    // A status does not tell how long it was on its way. Only the sender's own contact is sure to be about its version.
    if (this._reporting.has(nodeId)) return
    this.readers.recordStoreContact(nodeId, storeAgeMs)
    this._confirm(version, storeAgeMs)
  }

  public handleAlive (nodeId: base.NodeId, { version, storeAgeMs, confirmedAgeMs }: linkCodec.AliveMessage): void {
    this._exchange.recordVersion(nodeId, version)
    if (storeAgeMs === undefined || confirmedAgeMs === undefined) return
    this._reporting.add(nodeId)
    this.readers.recordStoreContact(nodeId, storeAgeMs)
    this._confirm(version, confirmedAgeMs)
  }

  public handleHello ({ nodeId, version }: linkCodec.HelloMessage): void {
    // It may have been replaced by an earlier version.
    this._reporting.delete(nodeId)
    this._exchange.recordVersion(nodeId, version)
  }

  public handleRequest (reply: (message: linkCodec.LinkMessage) => void): void {
    if (this._exchange.packed !== undefined) reply({ kind: 'rules', bytes: this._exchange.packed })
  }

  public handleRules (nodeId: base.NodeId, bytes: Uint8Array): void {
    const { version, logger, enforce } = this._options
    const stored = this._watch.decode(bytes, nodeId)
    const copyVersion = stored?.rules.version ?? -Infinity
    if (stored !== undefined && copyVersion > version()) {
      enforce(stored, nodeId)
      return
    }
    if (stored !== undefined) logger.log('info', 'copy-outdated', { peer: nodeId, copyVersion })
    this._exchange.recordUselessCopy()
  }

  private _handleContact (): void {
    this.readers.recordStoreContact(this._options.selfId, this.storeAgeMs)
    this._confirm(this._options.version(), this.storeAgeMs)
  }

  private _confirm (version: number, ageMs: base.Millis): void {
    this._freshness.record(version, ageMs)
    this._reportIfDue()
  }

  /** Reports a later confirmation, if others rely on this node for it. */
  private _reportIfDue (): void {
    const { nowMs, broadcast } = this._options
    const { confirmedAtMs } = this._freshness
    if (confirmedAtMs === -Infinity) return
    if (confirmedAtMs - this._reportedConfirmationMs < MIN_ADVANCE_MS || nowMs() - this._reportedAtMs < REPORT_INTERVAL_MS) return
    const isOwn = this.storeAgeMs <= this.confirmedAgeMs
    if (!isOwn && !this.readers.isZoneRelay) return
    this._reportedAtMs = nowMs()
    this._reportedConfirmationMs = confirmedAtMs
    if (isOwn) broadcast(this.report)
    else broadcast(this.report, this._options.zone)
  }
}
