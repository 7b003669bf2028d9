import type * as base from '../base/Types.js'
import * as codec from './WindowCodec.js'
import type * as config from '../config/Types.js'
import * as disposable from '../base/Disposable.js'
import type * as memberTypes from '../membership/Types.js'
import type * as messages from '../node/Messages.js'
import * as plans from './PartitionPlan.js'
import * as readers from './OwnershipReader.js'
import type * as services from './Services.js'
import * as stable from './StableServices.js'
import type * as types from './Types.js'

/** Members of a service must not have changed for this long before its partitions are moved. */
const STABLE_MS = 3_000

/** Bounds of the horizon length. */
const MIN_HORIZON_MS = 5_000
const MAX_HORIZON_MS = 3_600_000

/** Shortest horizon unless less is configured. With 5 s, a log outage of 4 s ended the horizon of a young table. */
export const YOUNG_HORIZON_MS = 30_000

/** Length of the horizon relative to the age of the table. */
const HORIZON_PER_AGE = 2

/** A horizon is renewed when less than this part of its length remains. */
const RENEW_BELOW = 2 / 3

/** Readers wait a random time up to this before they append, so that usually only one of them does. */
const MAX_JITTER_MS = 500

/** A horizon of the minimum length is renewed early enough with this jitter. */
const JITTER_PART_OF_HORIZON = 0.1

/** After an append the reader waits until it has read the record, or this long. */
const FOLD_WAIT_MS = 2_000

/** The process answers every append; this only limits the harm if it does not. */
const APPEND_TIMEOUT_MS = 30_000

/** 8,192 entries take about 120 KB, far below the 2 MiB that a record may have. */
const MAX_ENTRIES_PER_RECORD = 8_192

/** Time for peers to deliver the table before it is given up as lost. */
const RESET_AFTER_MS = 10_000

/** Allowance for clocks of readers when a reset excludes every lost horizon. */
const RESET_MARGIN_MS = 10_000

export interface OwnershipLogOptions {
  readonly table: services.IOwnershipTable
  readonly membership: services.HostMembership
  readonly effects: messages.IEffects
  readonly random: base.IRandom
  readonly configuration: () => config.ConfigDocument | undefined
  /** Told of each record that has no known form. */
  readonly onSkipped?: (offset: number, error: Error) => void
}

/**
 * Reads the `ownership` stream, and appends to it on readers.
 *
 * Any number of readers may append at the same time. A second `horizon` record with the same or an earlier time changes
 * nothing; a second `partitions` record names a version that is no longer current and is ignored; snapshots change
 * nothing on a node without a gap. The random wait only saves appends.
 */
export class OwnershipLog extends disposable.Disposable implements services.IOwnershipLog {
  private readonly _reader: readers.OwnershipReader
  private readonly _stable = new stable.StableServices(STABLE_MS)
  private _wasReader = false
  private _requestNumber = 0
  private _appending: string | undefined
  private _appendTimeoutMs = 0
  private _holdUntilMs = 0
  private _holdUntilOffset = 0
  /** What is to be appended next and when, until a newer decision replaces it. */
  private _due: { readonly kind: types.OwnershipRecord['kind'], readonly atMs: base.Millis } | undefined
  private _snapshotDueMs: base.Millis | undefined
  private _snapshotsSeen = 0
  private _gapSinceMs: base.Millis | undefined

  constructor (private readonly _options: OwnershipLogOptions) {
    super()
    this._reader = new readers.OwnershipReader(_options)
    this._register(_options.membership.onChange(change => { this._stable.handleMemberChange(change) }))
  }

  public get isCaughtUp (): boolean {
    return this._reader.isCaughtUp
  }

  public tick (nowMs: base.Millis, isReader: boolean): void {
    this._reader.tick(nowMs, isReader)
    if (isReader && !this._wasReader) this._becomeReader()
    this._wasReader = isReader
    if (!isReader || !this._mayAppend(nowMs)) return
    const record = this._nextRecord(nowMs)
    if (record === undefined) this._due = undefined
    else if (this._isDue(record.kind, nowMs)) this._append(record, nowMs)
  }

  public logRead (result: messages.LogReadResult, nowMs: base.Millis): void {
    if (result.stream !== 'ownership') return
    this._reader.handleLogRead(result, nowMs)
  }

  public logAppended (result: messages.LogAppendResult, nowMs: base.Millis): void {
    if (result.requestId !== this._appending) return
    this._appending = undefined
    this._holdUntilMs = nowMs + FOLD_WAIT_MS
    // Without an offset the record may still turn up, so the whole time is waited.
    this._holdUntilOffset = result.status === 'appended' ? result.offset + 1 : Infinity
  }

  private _becomeReader (): void {
    for (const row of this._options.membership.all()) this._stable.markChanged(row.service)
    this._snapshotDueMs = undefined
    this._snapshotsSeen = this._reader.snapshotCount
  }

  private _mayAppend (nowMs: base.Millis): boolean {
    if (!this._reader.isAtEnd || (this._appending !== undefined && nowMs < this._appendTimeoutMs)) return false
    return nowMs >= this._holdUntilMs || this._options.table.asOfOffset >= this._holdUntilOffset
  }

  private _nextRecord (nowMs: base.Millis): types.OwnershipRecord | undefined {
    if (this._reader.hasGap) return this._reset(nowMs)
    this._gapSinceMs = undefined
    return this._partitions(nowMs) ?? this._horizon(nowMs) ?? this._snapshot(nowMs)
  }

  private _isDue (kind: types.OwnershipRecord['kind'], nowMs: base.Millis): boolean {
    if (this._due?.kind !== kind) {
      const jitterMs = Math.min(MAX_JITTER_MS, this._horizonLengthMs(nowMs) * JITTER_PART_OF_HORIZON)
      this._due = { kind, atMs: nowMs + this._options.random.nextFloat() * jitterMs }
    }
    return nowMs >= this._due.atMs
  }

  private _append (data: types.OwnershipRecord, nowMs: base.Millis): void {
    this._due = undefined
    this._appendTimeoutMs = nowMs + APPEND_TIMEOUT_MS
    this._appending = `ownership-${nowMs}-${this._requestNumber++}`
    this._options.effects.push({ kind: 'append-log', stream: 'ownership', requestId: this._appending, data })
    if (data.kind === 'table-snapshot') this._snapshotDueMs = nowMs + this._reader.retentionMs / 2
  }

  /** Short after a change, so that a table made while a fleet starts or a zone fails can be corrected soon. */
  private _horizonLengthMs (nowMs: base.Millis): base.Millis {
    const limitMs = this._options.configuration()?.terms.ownershipHorizonMs ?? MIN_HORIZON_MS
    const byAgeMs = HORIZON_PER_AGE * (nowMs - this._options.table.lastChangeMs)
    return Math.max(MIN_HORIZON_MS, Math.min(Math.max(byAgeMs, YOUNG_HORIZON_MS), limitMs, MAX_HORIZON_MS))
  }

  private _horizon (nowMs: base.Millis): types.OwnershipRecord | undefined {
    const { table } = this._options
    const lengthMs = this._horizonLengthMs(nowMs)
    if (table.tableVersion === 0 || table.horizonMs - nowMs >= lengthMs * RENEW_BELOW) return undefined
    return { kind: 'horizon', untilMs: Math.ceil(nowMs + lengthMs) }
  }

  /** First tables and moves go into separate records: a first table need not wait for the horizon. */
  private _partitions (nowMs: base.Millis): types.OwnershipRecord | undefined {
    const first: types.PartitionEntry[] = []
    const moved: types.PartitionEntry[] = []
    const { table } = this._options
    const firstStartsAtMs = Math.ceil(Math.max(nowMs, table.floorMs))
    const movedStartsAtMs = Math.ceil(Math.max(nowMs, table.horizonMs, table.lastChangeMs))
    const due = this._stable.dueServices(nowMs)
    const rows = due.length === 0 ? new Map<string, memberTypes.MemberRow[]>() : this._rowsByService()
    for (const service of due) {
      const owners = table.newestOwners(service)
      const [entries, startsAtMs] = owners.length === 0 ? [first, firstStartsAtMs] : [moved, movedStartsAtMs]
      const moves = this._plan(rows.get(service) ?? [], owners)
      if (moves.length === 0) this._stable.markSettled(service)
      for (const { partition, owner } of moves) entries.push({ service, partition, startsAtMs, owner })
      if (entries.length >= MAX_ENTRIES_PER_RECORD) break
    }
    if (first.length > 0) return this._partitionsRecord(first, firstStartsAtMs)
    return moved.length > 0 ? this._partitionsRecord(moved, movedStartsAtMs) : undefined
  }

  private _partitionsRecord (entries: readonly types.PartitionEntry[], startsAtMs: base.Millis): types.OwnershipRecord {
    const { tableVersion } = this._options.table
    return { kind: 'partitions', baseTableVersion: tableVersion, startsAtMs, services: codec.pack(entries) }
  }

  private _rowsByService (): ReadonlyMap<string, memberTypes.MemberRow[]> {
    const rows = new Map<string, memberTypes.MemberRow[]>()
    for (const row of this._options.membership.all()) {
      const list = rows.get(row.service)
      if (list === undefined) rows.set(row.service, [row])
      else list.push(row)
    }
    return rows
  }

  private _plan (rows: readonly memberTypes.MemberRow[], owners: readonly (types.PartitionOwner | undefined)[]): readonly plans.PartitionMove[] {
    const keeping = new Map(rows.filter(keepsPartitions).map(row => [row.nodeId, row]))
    const live = rows.filter(row => row.state === 'ready').map(({ nodeId, incarnation }) => ({ nodeId, incarnation }))
    const keeps = (owner: types.PartitionOwner): boolean => {
      const row = keeping.get(owner.nodeId)
      return row !== undefined && row.incarnation >= owner.incarnation && !this._options.table.isReleased(owner)
    }
    return plans.planPartitions({ owners, live, keeps })
  }

  private _snapshot (nowMs: base.Millis): types.OwnershipRecord | undefined {
    if (this._reader.snapshotCount !== this._snapshotsSeen) {
      this._snapshotsSeen = this._reader.snapshotCount
      this._snapshotDueMs = nowMs + this._reader.retentionMs / 2
    }
    // The age of the snapshot in the log is not known to a new reader, so another one is due soon.
    this._snapshotDueMs ??= nowMs + this._options.random.nextFloat() * this._reader.retentionMs / 4
    if (this._options.table.tableVersion === 0 || nowMs < this._snapshotDueMs) return undefined
    return { kind: 'table-snapshot', ...this._options.table.updateSince(0) }
  }

  /**
   * The log has dropped records and neither it nor a peer delivers the table. A dropped record is older than the
   * retention, and its horizon is at most `MAX_HORIZON_MS` later than the record.
   */
  private _reset (nowMs: base.Millis): types.OwnershipRecord | undefined {
    this._gapSinceMs ??= nowMs
    if (nowMs < this._gapSinceMs + RESET_AFTER_MS) return undefined
    const lostHorizonMs = nowMs + Math.max(0, MAX_HORIZON_MS - this._reader.retentionMs)
    const floorMs = Math.ceil(Math.max(lostHorizonMs, this._reader.latestHorizonReadMs) + RESET_MARGIN_MS)
    return { kind: 'table-reset', asOfOffset: this._reader.endOffset, floorMs }
  }
}

/** Owners that drain or are suspected keep their partitions: most of them come back. */
function keepsPartitions (row: memberTypes.MemberRow): boolean {
  return row.state !== 'dead' && row.state !== 'left'
}
