import * as results from 'ts-results-es'
import type * as base from '../base/Types.js'
import * as codec from './WindowCodec.js'
import * as keys from './Keys.js'
import type * as services from './Services.js'
import * as serviceTables from './ServiceTable.js'
import type * as types from './Types.js'

/** Retry time given for keys that nobody owns yet; readers renew the horizon within this time. */
const BEYOND_HORIZON_RETRY_MS = 1_000

/** Windows that ended earlier than this before the horizon are dropped; it exceeds the largest key retention. */
const KEEP_WINDOWS_MS = 7_200_000

/** Releases kept of one node. Windows of older processes have moved by then, unless the node stops more often in one horizon. */
const MAX_RELEASES_PER_NODE = 4

/** Bounds the way through successors. */
const MAX_SUCCESSORS = 16

/** Above this number of nodes that handed over, releases that no window needs are dropped. Every update carries the list. */
const MAX_RELEASED = 64

/**
 * Fold of the `ownership` stream: for each service and partition the owners by key issue time.
 *
 * Every state of a table on any node is exactly the fold of a prefix of the stream; `asOfOffset` is the length of that
 * prefix. Records are folded only in sequence, and updates and snapshots carry the prefix that they stand for. This is
 * what makes it safe to adopt a horizon: the horizon of a prefix never comes without the owners of the same prefix.
 * A record that is not next in sequence (the log dropped earlier ones) changes nothing, unless it is a snapshot.
 *
 * Why two nodes never own the same key: a `partitions` record only adds windows that start at or after the horizon of
 * its prefix. A node at an earlier prefix has that horizon or a lower one and owns no key at or after it. The first window
 * of a partition takes nothing from anyone, so it may start earlier.
 */
export class OwnershipTable implements services.IOwnershipTable {
  private readonly _services = new Map<string, serviceTables.ServiceTable>()
  /** Newest releases of each node, oldest first. */
  private readonly _released = new Map<base.NodeId, readonly types.Release[]>()
  private _asOfOffset = 0
  private _tableVersion = 0
  private _resetVersion = 0
  private _horizonMs = 0
  private _floorMs = 0
  private _lastChangeMs = 0
  /** Offset after the last folded record that is not a snapshot. */
  private _lastChangeOffset = 0
  /** The same for records that were seen behind a gap. */
  private _lastPassedOffset = 0
  /** Every record from here to `_seenUntil` was seen. */
  private _seenFrom = 0
  private _seenUntil = 0

  public get tableVersion (): number {
    return this._tableVersion
  }

  public get horizonMs (): base.Millis {
    return this._horizonMs
  }

  public get asOfOffset (): number {
    return this._asOfOffset
  }

  public get lastChangeMs (): base.Millis {
    return this._lastChangeMs
  }

  public get floorMs (): base.Millis {
    return this._floorMs
  }

  public ownerOf (service: string, key: string): results.Result<services.OwnerLookup, Error> {
    return keys.keyTimeMs(key).map(timeMs => this._lookup(service, key, timeMs))
  }

  /** Whether the process handed its windows over, so that a later process at its address must not adopt them. */
  public isReleased (owner: types.PartitionOwner): boolean {
    return this._releaseOf(owner) !== undefined
  }

  /** Owner of the newest window of each partition, or an empty list without a table. */
  public newestOwners (service: string): readonly (types.PartitionOwner | undefined)[] {
    const table = this._services.get(service)
    if (table === undefined) return []
    return Array.from({ length: keys.PARTITIONS }, (_, partition) => table.newestWindow(partition)?.owner)
  }

  public apply (record: types.OwnershipRecord, offset: number): boolean {
    this._see(offset)
    const inSequence = offset === this._asOfOffset
    if (offset >= this._asOfOffset && record.kind === 'table-reset') return this._reset(record, offset, inSequence)
    if (record.kind === 'table-snapshot') {
      if (inSequence) this._asOfOffset = offset + 1
      return record.sinceVersion === 0 && this.merge(record)
    }
    if (!inSequence) {
      this._lastPassedOffset = Math.max(this._lastPassedOffset, offset + 1)
      return false
    }
    this._lastChangeOffset = offset + 1
    this._asOfOffset = offset + 1
    if (record.kind === 'horizon') return this._raiseHorizon(record.untilMs)
    if (record.kind === 'partitions') return this._addWindows(record, offset + 1)
    if (record.kind === 'release') return this._release(record, offset + 1)
    return false
  }

  /** A record that cannot be decoded; it is part of the sequence and changes nothing. */
  public skip (offset: number): void {
    this._see(offset)
    if (offset === this._asOfOffset) this._asOfOffset = offset + 1
  }

  public merge (update: types.OwnershipUpdate): boolean {
    if (update.asOfOffset <= this._asOfOffset) return false
    if (update.sinceVersion > this._tableVersion) return false
    const changed = update.tableVersion !== this._tableVersion || update.horizonMs !== this._horizonMs
    if (update.sinceVersion === 0) this._services.clear()
    for (const windows of update.services) {
      this._services.set(windows.service, serviceTables.ServiceTable.unpack(windows, update.tableVersion))
    }
    this._released.clear()
    for (const release of update.released) this._addRelease(release)
    this._asOfOffset = update.asOfOffset
    this._tableVersion = update.tableVersion
    this._horizonMs = update.horizonMs
    this._floorMs = update.floorMs
    this._lastChangeMs = update.lastChangeMs
    this._lastChangeOffset = update.lastChangeOffset
    if (update.sinceVersion === 0) this._resetVersion = update.tableVersion
    return changed
  }

  public updateSince (tableVersion: number): types.OwnershipUpdate {
    // Versions before a reset or a full update are not told apart here, so such a peer gets everything.
    const sinceVersion = tableVersion >= this._resetVersion ? Math.min(tableVersion, this._tableVersion) : 0
    return {
      asOfOffset: this._asOfOffset,
      tableVersion: this._tableVersion,
      horizonMs: this._horizonMs,
      floorMs: this._floorMs,
      lastChangeMs: this._lastChangeMs,
      lastChangeOffset: this._lastChangeOffset,
      released: [...this._released.values()].flat(),
      sinceVersion,
      services: this._packSince(sinceVersion)
    }
  }

  private _see (offset: number): void {
    if (offset !== this._seenUntil) this._seenFrom = offset
    this._seenUntil = offset + 1
  }

  private _lookup (service: string, key: string, timeMs: base.Millis): services.OwnerLookup {
    const table = this._services.get(service)
    if (table === undefined) return { kind: 'no-table' }
    if (timeMs >= this._horizonMs) return { kind: 'beyond-horizon', retryAfterMs: BEYOND_HORIZON_RETRY_MS }
    const owner = table.ownerAt(keys.partitionOf(key), timeMs)
    if (owner === undefined) return { kind: 'no-table' }
    return { kind: 'owner', owner, sendTo: this._successorOf(owner).nodeId }
  }

  private _raiseHorizon (untilMs: base.Millis): boolean {
    if (untilMs <= this._horizonMs) return false
    this._horizonMs = untilMs
    return true
  }

  private _addWindows (record: types.PartitionsRecord, version: number): boolean {
    if (record.baseTableVersion !== this._tableVersion) return false
    const entries = [...codec.unpack(record.services)]
    if (!entries.every(entry => this._isAllowed(entry, record.startsAtMs))) return false
    for (const { service, partition, startsAtMs, owner } of entries) this._service(service).set(partition, startsAtMs, owner)
    for (const { service } of record.services) this._changed(service, version)
    this._tableVersion = version
    this._lastChangeMs = Math.max(this._lastChangeMs, record.startsAtMs)
    if (this._released.size > MAX_RELEASED) this._pruneReleased()
    return true
  }

  private _isAllowed (entry: types.PartitionEntry, startsAtMs: base.Millis): boolean {
    if (entry.startsAtMs !== startsAtMs || startsAtMs < this._floorMs) return false
    if (entry.partition < 0 || entry.partition >= keys.PARTITIONS) return false
    const newest = this._services.get(entry.service)?.newestWindow(entry.partition)
    // The first window of a partition takes nothing from another node, so it need not wait for the horizon.
    return newest === undefined || (startsAtMs >= this._horizonMs && startsAtMs >= newest.startsAtMs)
  }

  /** A successor can itself have stopped and handed over. */
  private _successorOf (owner: types.PartitionOwner): types.PartitionOwner {
    let current = owner
    for (let hops = 0; hops < MAX_SUCCESSORS; hops++) {
      const release = this._releaseOf(current)
      if (release === undefined) break
      current = release.successor
    }
    return current
  }

  /** A process that did not hand over was replaced by a later one at its address, whose release counts for both. */
  private _releaseOf (owner: types.PartitionOwner): types.Release | undefined {
    return this._released.get(owner.nodeId)?.find(release => owner.incarnation <= release.owner.incarnation)
  }

  private _addRelease ({ owner, successor }: types.Release): void {
    const releases = [...this._released.get(owner.nodeId) ?? [], { owner, successor }]
    this._released.set(owner.nodeId, releases.slice(-MAX_RELEASES_PER_NODE))
  }

  /** The windows stay in place: the successor finds them by their owner. */
  private _release ({ owner, successor }: types.ReleaseRecord, version: number): boolean {
    if (this.isReleased(owner)) return false
    this._addRelease({ owner, successor })
    this._tableVersion = version
    return true
  }

  /** A reset is void if a record was appended that its author had not read; both sides of a gap see this alike. */
  private _reset (record: types.TableResetRecord, offset: number, inSequence: boolean): boolean {
    if (inSequence) this._asOfOffset = offset + 1
    const unreadFrom = inSequence ? this._lastChangeOffset : Math.max(this._seenFrom, this._lastPassedOffset)
    if (record.asOfOffset < unreadFrom) return false
    this._services.clear()
    this._released.clear()
    this._lastChangeOffset = offset + 1
    this._asOfOffset = offset + 1
    this._tableVersion = offset + 1
    this._resetVersion = offset + 1
    // Nothing of the earlier state is used, so that nodes that do not have it get the same result.
    this._floorMs = record.floorMs
    this._horizonMs = record.floorMs
    this._lastChangeMs = 0
    return true
  }

  private _changed (service: string, version: number): void {
    const table = this._service(service)
    table.version = version
    table.prune(this._horizonMs - KEEP_WINDOWS_MS)
  }

  private _packSince (version: number): readonly types.ServiceWindows[] {
    if (version === this._tableVersion && version !== 0) return []
    const packed: types.ServiceWindows[] = []
    for (const [service, table] of this._services) {
      if (version === 0 || table.version > version) packed.push(table.pack(service))
    }
    return packed
  }

  private _service (service: string): serviceTables.ServiceTable {
    let table = this._services.get(service)
    if (table === undefined) this._services.set(service, table = new serviceTables.ServiceTable(0))
    return table
  }

  /** Keeps the releases of owners with windows, and of their successors, through which calls for these windows go. */
  private _pruneReleased (): void {
    const kept = new Set<types.Release>()
    for (const table of this._services.values()) {
      for (const owner of table.owners()) this._keepReleases(owner, kept)
    }
    for (const [nodeId, releases] of this._released) {
      const left = releases.filter(release => kept.has(release))
      if (left.length > 0) this._released.set(nodeId, left)
      else this._released.delete(nodeId)
    }
  }

  private _keepReleases (owner: types.PartitionOwner, kept: Set<types.Release>): void {
    let release = this._releaseOf(owner)
    while (release !== undefined && !kept.has(release)) {
      kept.add(release)
      release = this._releaseOf(release.successor)
    }
  }
}
