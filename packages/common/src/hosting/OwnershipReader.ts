import type * as base from '../base/Types.js'
import * as decoder from './OwnershipDecoder.js'
import type * as messages from '../node/Messages.js'
import type * as services from './Services.js'

const READ_LIMIT = 100
const LONG_POLL_MS = 5_000
const MIN_RETRY_MS = 250
const MAX_RETRY_MS = 10_000

/** The process answers every read; this only limits the harm if it does not. */
const READ_TIMEOUT_MS = 30_000

export interface OwnershipReaderOptions {
  readonly table: services.IOwnershipTable
  readonly effects: messages.IEffects
  readonly random: base.IRandom
  /** Told of each record that has no known form. */
  readonly onSkipped?: (offset: number, error: Error) => void
}

/** Reads the `ownership` stream into the table. */
export class OwnershipReader {
  private _nextReadMs = 0
  private _failures = 0
  /** Where to look for a snapshot when the log has dropped records that the table needs. */
  private _scanOffset = 0
  /** Prefix of the table after the last read; a peer's update may have changed it since. */
  private _lastAsOfOffset = 0
  private _isCaughtUp = false
  private _isAtEnd = false
  private _retentionMs: base.Millis = 3_600_000
  private _snapshots = 0
  private _horizonSeenMs: base.Millis = 0

  constructor (private readonly _options: OwnershipReaderOptions) {}

  /** Whether the stream was read to its end once. */
  public get isCaughtUp (): boolean {
    return this._isCaughtUp
  }

  /** Whether the last read reached the end of the stream. */
  public get isAtEnd (): boolean {
    return this._isAtEnd
  }

  /** Whether the log has dropped records that the table needs. */
  public get hasGap (): boolean {
    return this._isAtEnd && this._options.table.asOfOffset < this._scanOffset
  }

  /** Offset after the last record read. */
  public get endOffset (): number {
    return this._scanOffset
  }

  public get retentionMs (): base.Millis {
    return this._retentionMs
  }

  /** Snapshots read so far. */
  public get snapshotCount (): number {
    return this._snapshots
  }

  /** Latest time of any `horizon` record read, folded or not. */
  public get latestHorizonReadMs (): base.Millis {
    return this._horizonSeenMs
  }

  public tick (nowMs: base.Millis, isReader: boolean): void {
    if (nowMs < this._nextReadMs || (!isReader && this._isCaughtUp)) return
    this._nextReadMs = nowMs + READ_TIMEOUT_MS
    this._followUpdate()
    const waitMs = isReader && this._isAtEnd ? LONG_POLL_MS : 0
    const fromOffset = Math.max(this._options.table.asOfOffset, this._scanOffset)
    this._options.effects.push({ kind: 'read-log', stream: 'ownership', fromOffset, limit: READ_LIMIT, waitMs })
  }

  public handleLogRead (result: messages.LogReadResult, nowMs: base.Millis): void {
    if (!result.ok) {
      this._isAtEnd = false
      this._nextReadMs = nowMs + this._backoffMs()
      return
    }
    this._failures = 0
    this._nextReadMs = nowMs
    if (result.retentionMs > 0) this._retentionMs = result.retentionMs
    const before = this._options.table.asOfOffset
    for (const record of result.records) this._fold(record.offset, record.data)
    this._isAtEnd = result.records.length < READ_LIMIT
    this._moveOn(result, before)
    if (this._isAtEnd && this._options.table.asOfOffset >= this._scanOffset) this._isCaughtUp = true
  }

  private _fold (offset: number, data: unknown): void {
    const record = decoder.decodeRecord(data)
    if (record.isErr()) {
      this._options.onSkipped?.(offset, record.error)
      this._options.table.skip(offset)
      return
    }
    if (record.value.kind === 'table-snapshot') this._snapshots++
    if (record.value.kind === 'horizon') this._horizonSeenMs = Math.max(this._horizonSeenMs, record.value.untilMs)
    this._options.table.apply(record.value, offset)
  }

  /** After a snapshot was adopted, the records behind the prefix that it stands for are read again. */
  private _moveOn (result: messages.LogReadResult, before: number): void {
    const { asOfOffset } = this._options.table
    const readUntil = (result.records.at(-1)?.offset ?? -1) + 1
    const adopted = asOfOffset !== before && asOfOffset < readUntil
    if (adopted) this._isAtEnd = false
    this._lastAsOfOffset = asOfOffset
    this._scanOffset = adopted ? asOfOffset : Math.max(this._scanOffset, readUntil, result.firstOffset)
  }

  /** An update from a peer can close a gap; what follows its prefix has been passed over and is read again. */
  private _followUpdate (): void {
    const { asOfOffset } = this._options.table
    if (asOfOffset === this._lastAsOfOffset) return
    this._lastAsOfOffset = asOfOffset
    if (asOfOffset >= this._scanOffset) return
    this._scanOffset = asOfOffset
    this._isAtEnd = false
  }

  private _backoffMs (): base.Millis {
    const limitMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** this._failures++)
    return this._options.random.nextFloat() * limitMs
  }
}
