import type * as base from '../base/Types.js'
import type * as messages from '../node/Messages.js'
import * as backoffs from './Backoff.js'

/** Records per page. A record has up to 2 MiB, so larger pages could exceed the memory of a node. */
export const PAGE_RECORDS = 16
const LONG_POLL_MS = 10_000
/** Timeout of a read, in addition to the duration of the long poll. */
const GRACE_MS = 5_000
const FIRST_RETRY_MS = 500
const MAX_RETRY_MS = 30_000

export interface LogReaderOptions {
  readonly random: base.IRandom
  readonly effects: messages.IEffects
}

/** Keeps one read of the `config` stream outstanding while reads are wanted, and retries with full jitter. */
export class LogReader {
  private readonly _options: LogReaderOptions
  private readonly _backoff: backoffs.Backoff
  private _deadlineMs: base.Millis | undefined
  private _notBeforeMs = 0
  private _offset = 0
  private _checkedAtMs: base.Millis | undefined
  private _isAtEnd = false

  constructor (options: LogReaderOptions) {
    this._options = options
    this._backoff = new backoffs.Backoff({ random: options.random, firstMs: FIRST_RETRY_MS, maxMs: MAX_RETRY_MS })
  }

  /** Latest time at which the log was known to be read to its end; undefined if never. */
  public get checkedAtMs (): base.Millis | undefined {
    return this._checkedAtMs
  }

  /** Whether the last page reached the end of the log. */
  public get isAtEnd (): boolean {
    return this._isAtEnd
  }

  /** Skips the records before `offset`, which cannot lead to a newer version than the one in force. */
  public skipTo (offset: number): void {
    this._offset = Math.max(this._offset, offset)
  }

  /** Records that the log was read to its end at `atMs`, by this node or by one that supplied its state directly or through others. */
  public recordCheck (atMs: base.Millis): void {
    this._checkedAtMs = Math.max(this._checkedAtMs ?? atMs, atMs)
  }

  /** Issues a read if one is wanted, none is outstanding and no retry delay is running. `mayWait`: use a long poll. */
  public tick (isWanted: boolean, mayWait: boolean, nowMs: base.Millis): void {
    if (this._deadlineMs !== undefined && nowMs >= this._deadlineMs) this._handleFailure(nowMs)
    if (!isWanted || this._deadlineMs !== undefined || nowMs < this._notBeforeMs) return
    const waitMs = mayWait ? LONG_POLL_MS : 0
    this._deadlineMs = nowMs + waitMs + GRACE_MS
    this._options.effects.push({ kind: 'read-log', stream: 'config', fromOffset: this._offset, limit: PAGE_RECORDS, waitMs })
  }

  /** Handles the result of a read. Returns whether the read succeeded. */
  public handleResult (result: messages.LogReadResult, nowMs: base.Millis): boolean {
    if (!result.ok) {
      this._handleFailure(nowMs)
      return false
    }
    this._deadlineMs = undefined
    this._backoff.recordSuccess()
    const last = result.records.at(-1)
    if (last !== undefined) this.skipTo(last.offset + 1)
    this._isAtEnd = result.records.length < PAGE_RECORDS
    if (this._isAtEnd) this.recordCheck(nowMs)
    return true
  }

  private _handleFailure (nowMs: base.Millis): void {
    this._deadlineMs = undefined
    this._notBeforeMs = nowMs + this._backoff.recordFailure()
  }
}
