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

/** Partitions of a service are moved only after its members have not changed for this long. */
const STABLE_MS = 3_000

/** Bounds of the horizon length, which is the time from now to the horizon. */
const MIN_HORIZON_MS = 5_000
const MAX_HORIZON_MS = 3_600_000

/** Shortest horizon length unless a lower one is configured. With 5 s, the horizon of a new table ran out in a log outage of 4 s. */
export const YOUNG_HORIZON_MS = 30_000

/** Length of the horizon relative to the age of the table. */
const HORIZON_PER_AGE = 2

/** A horizon is renewed when less than this fraction of its length remains. */
const RENEW_BELOW_FRACTION = 2 / 3

/** Upper limit of the random wait of readers before an append, so that usually only one of them appends. */
const MAX_JITTER_MS = 500

/** Upper limit of the random wait as a fraction of the horizon length, so that a short horizon is renewed in time. */
const JITTER_FRACTION_OF_HORIZON = 0.1

/** After an append, the reader appends nothing until it has read the record, or for this long. */
const FOLD_WAIT_MS = 2_000

/** Every append is expected to get a result; without one, the reader may append again after this time. */
const APPEND_TIMEOUT_MS = 30_000

/** 8,192 entries take about 120 KB, far below the record limit of 2 MiB. */
const MAX_ENTRIES_PER_RECORD = 8_192

/** Time that peers have to deliver the table before it is considered lost and reset. */
const RESET_AFTER_MS = 10_000

/** Allowance for clock differences of readers, so that a reset starts after every lost horizon. */
const RESET_MARGIN_MS = 10_000

export interface OwnershipLogOptions {
  readonly table: services.IOwnershipTable
  readonly membership: services.HostMembership
  readonly effects: messages.IEffects
  readonly random: base.IRandom
  readonly configuration: () => config.ConfigDocument | undefined
  /** Called for each record that cannot be decoded. */
  readonly onSkipped?: (offset: number, error: Error) => void
}

/**
 * Reads the `ownership` stream, and appends to it on readers.
 *
 * Any number of readers may append at the same time: a second `horizon` record with the same or an earlier time changes
 * nothing; a second `partitions` record names a version that is no longer current and is ignored; snapshots change
 * nothing on a node without a gap. The random wait before an append only saves appends.
 */
export class OwnershipLog extends disposable.Disposable implements services.IOwnershipLog {
  private readonly _reader: readers.OwnershipReader
  private readonly _stable = new stable.StableServices(STABLE_MS)
  private _wasReader = false
  private _requestNumber = 0
  private _appendRequestId: string | undefined
  private _appendTimeoutMs = 0
  private _holdUntilMs = 0
  private _holdUntilOffset = 0
  /** Kind and time of the next append, until a newer decision replaces it. */
  private _nextAppend: { readonly kind: types.OwnershipRecord['kind'], readonly atMs: base.Millis } | undefined
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
    if (record === undefined) this._nextAppend = undefined
    else if (this._isDue(record.kind, nowMs)) this._append(record, nowMs)
  }

  public logRead (result: messages.LogReadResult, nowMs: base.Millis): void {
    if (result.stream !== 'ownership') return
    this._reader.handleLogRead(result, nowMs)
  }

  public logAppended (result: messages.LogAppendResult, nowMs: base.Millis): void {
    if (result.requestId !== this._appendRequestId) return
    this._appendRequestId = undefined
    this._holdUntilMs = nowMs + FOLD_WAIT_MS
    // Without an offset, the record may still appear in the log, so the reader waits for the whole time.
    this._holdUntilOffset = result.status === 'appended' ? result.offset + 1 : Infinity
  }

  private _becomeReader (): void {
    for (const row of this._options.membership.all()) this._stable.markChanged(row.service)
    this._snapshotDueMs = undefined
    this._snapshotsSeen = this._reader.snapshotCount
  }

  private _mayAppend (nowMs: base.Millis): boolean {
    if (!this._reader.isAtEnd || (this._appendRequestId !== undefined && nowMs < this._appendTimeoutMs)) return false
    return nowMs >= this._holdUntilMs || this._options.table.asOfOffset >= this._holdUntilOffset
  }

  private _nextRecord (nowMs: base.Millis): types.OwnershipRecord | undefined {
    if (this._reader.hasGap) return this._nextResetRecord(nowMs)
    this._gapSinceMs = undefined
    return this._nextPartitionsRecord(nowMs) ?? this._nextHorizonRecord(nowMs) ?? this._nextSnapshotRecord(nowMs)
  }

  private _isDue (kind: types.OwnershipRecord['kind'], nowMs: base.Millis): boolean {
    if (this._nextAppend?.kind !== kind) {
      const jitterMs = Math.min(MAX_JITTER_MS, this._horizonLengthMs(nowMs) * JITTER_FRACTION_OF_HORIZON)
      this._nextAppend = { kind, atMs: nowMs + this._options.random.nextFloat() * jitterMs }
    }
    return nowMs >= this._nextAppend.atMs
  }

  private _append (data: types.OwnershipRecord, nowMs: base.Millis): void {
    this._nextAppend = undefined
    this._appendTimeoutMs = nowMs + APPEND_TIMEOUT_MS
    this._appendRequestId = `ownership-${nowMs}-${this._requestNumber++}`
    this._options.effects.push({ kind: 'append-log', stream: 'ownership', requestId: this._appendRequestId, data })
    if (data.kind === 'table-snapshot') this._snapshotDueMs = nowMs + this._reader.retentionMs / 2
  }

  /** Short after a change, so that a table that was made while a fleet started or a zone failed can be corrected soon. */
  private _horizonLengthMs (nowMs: base.Millis): base.Millis {
    const limitMs = this._options.configuration()?.terms.ownershipHorizonMs ?? MIN_HORIZON_MS
    const byAgeMs = HORIZON_PER_AGE * (nowMs - this._options.table.lastChangeMs)
    return Math.max(MIN_HORIZON_MS, Math.min(Math.max(byAgeMs, YOUNG_HORIZON_MS), limitMs, MAX_HORIZON_MS))
  }

  private _nextHorizonRecord (nowMs: base.Millis): types.OwnershipRecord | undefined {
    const { table } = this._options
    const lengthMs = this._horizonLengthMs(nowMs)
    if (table.tableVersion === 0 || table.horizonMs - nowMs >= lengthMs * RENEW_BELOW_FRACTION) return undefined
    return { kind: 'horizon', untilMs: Math.ceil(nowMs + lengthMs) }
  }

  /** Writes first tables and moves into separate records, because a first table need not wait for the horizon. */
  private _nextPartitionsRecord (nowMs: base.Millis): types.OwnershipRecord | undefined {
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
      const moves = this._planMoves(rows.get(service) ?? [], owners)
      if (moves.length === 0) this._stable.markSettled(service)
      for (const { partition, owner } of moves) entries.push({ service, partition, startsAtMs, owner })
      if (entries.length >= MAX_ENTRIES_PER_RECORD) break
    }
    if (first.length > 0) return this._toPartitionsRecord(first, firstStartsAtMs)
    return moved.length > 0 ? this._toPartitionsRecord(moved, movedStartsAtMs) : undefined
  }

  private _toPartitionsRecord (entries: readonly types.PartitionEntry[], startsAtMs: base.Millis): types.OwnershipRecord {
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

  private _planMoves (rows: readonly memberTypes.MemberRow[], owners: readonly (types.PartitionOwner | undefined)[]): readonly plans.PartitionMove[] {
    const keeping = new Map(rows.filter(keepsPartitions).map(row => [row.nodeId, row]))
    const live = rows.filter(row => row.state === 'ready').map(({ nodeId, incarnation }) => ({ nodeId, incarnation }))
    const keeps = (owner: types.PartitionOwner): boolean => {
      const row = keeping.get(owner.nodeId)
      return row !== undefined && row.incarnation >= owner.incarnation && !this._options.table.isReleased(owner)
    }
    return plans.planPartitions({ owners, live, keeps })
  }

  private _nextSnapshotRecord (nowMs: base.Millis): types.OwnershipRecord | undefined {
    if (this._reader.snapshotCount !== this._snapshotsSeen) {
      this._snapshotsSeen = this._reader.snapshotCount
      this._snapshotDueMs = nowMs + this._reader.retentionMs / 2
    }
    // A new reader does not know the age of the snapshot in the log, so it appends one soon.
    this._snapshotDueMs ??= nowMs + this._options.random.nextFloat() * this._reader.retentionMs / 4
    if (this._options.table.tableVersion === 0 || nowMs < this._snapshotDueMs) return undefined
    return { kind: 'table-snapshot', ...this._options.table.updateSince(0) }
  }

  /**
   * Used when the log has dropped records, and neither the log nor a peer delivers the table. A dropped record is older
   * than the retention, and its horizon is at most `MAX_HORIZON_MS` later than the record.
   */
  private _nextResetRecord (nowMs: base.Millis): types.OwnershipRecord | undefined {
    this._gapSinceMs ??= nowMs
    if (nowMs < this._gapSinceMs + RESET_AFTER_MS) return undefined
    const lostHorizonMs = nowMs + Math.max(0, MAX_HORIZON_MS - this._reader.retentionMs)
    const floorMs = Math.ceil(Math.max(lostHorizonMs, this._reader.latestHorizonReadMs) + RESET_MARGIN_MS)
    return { kind: 'table-reset', asOfOffset: this._reader.endOffset, floorMs }
  }
}

/** Owners that drain or are suspected keep their partitions, because most of them return. */
function keepsPartitions (row: memberTypes.MemberRow): boolean {
  return row.state !== 'dead' && row.state !== 'left'
}
