import type * as config from '@elmpost/common/config/Types.js'

interface StoredRecord extends config.LogRecord {
  readonly appendedAtMs: number
}

export interface LogPage {
  readonly records: readonly config.LogRecord[]
  readonly firstOffset: number
  readonly nextOffset: number
}

/** Stores the records of one stream with offsets and a retention time. */
export class LogStore {
  private readonly _records: StoredRecord[] = []
  private _nextOffset = 0

  constructor (private readonly _retentionMs: number) {}

  public get nextOffset (): number {
    return this._nextOffset
  }

  public append (data: unknown, nowMs: number): number {
    const offset = this._nextOffset
    this._nextOffset += 1
    this._records.push({ offset, data, appendedAtMs: nowMs })
    return offset
  }

  /** Returns up to `limit` records from `fromOffset`, or from the oldest one within the retention time. */
  public read (fromOffset: number, limit: number, nowMs: number): LogPage {
    this._expire(nowMs)
    const firstOffset = this._records[0]?.offset ?? this._nextOffset
    const start = Math.max(0, fromOffset - firstOffset)
    const page = this._records.slice(start, start + limit)
    const records = page.map(({ offset, data }) => ({ offset, data }))
    return { records, firstOffset, nextOffset: this._nextOffset }
  }

  private _expire (nowMs: number): void {
    const oldestKeptMs = nowMs - this._retentionMs
    while (this._records[0] !== undefined && this._records[0].appendedAtMs < oldestKeptMs) this._records.shift()
  }
}
