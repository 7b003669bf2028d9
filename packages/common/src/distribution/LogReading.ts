import type * as base from '../base/Types.js'
import type * as messages from '../node/Messages.js'
import * as backoffs from './Backoff.js'

/** Records of one page. Records have up to 2 MiB, so larger pages could exceed the memory of a node. */
export const PAGE_RECORDS = 16
const LONG_POLL_MS = 10_000
/** Time after which an answer is no longer waited for, on top of the long poll. */
const GRACE_MS = 5_000
const FIRST_RETRY_MS = 500
const MAX_RETRY_MS = 30_000

export interface LogReadingOptions {
  readonly random: base.IRandom
  readonly effects: messages.IEffects
}

/** Keeps one read of the `config` stream outstanding while it is asked to, and retries with full jitter. */
export class LogReading {
  private readonly _options: LogReadingOptions
  private readonly _backoff: backoffs.Backoff
  private _deadlineMs: base.Millis | undefined
  private _notBeforeMs = 0
  private _offset = 0
  private _checkedAtMs: base.Millis | undefined
  private _isAtEnd = false

  constructor (options: LogReadingOptions) {
    this._options = options
    this._backoff = new backoffs.Backoff({ random: options.random, firstMs: FIRST_RETRY_MS, maxMs: MAX_RETRY_MS })
  }

  /** Time at which the log was known to hold nothing beyond what was read; undefined if never. */
  public get checkedAtMs (): base.Millis | undefined {
    return this._checkedAtMs
  }

  /** Whether the last page reached the end of the log. */
  public get isAtEnd (): boolean {
    return this._isAtEnd
  }

  /** Records before `offset` are not needed: they cannot lead to a newer version than the one in force. */
  public skipTo (offset: number): void {
    this._offset = Math.max(this._offset, offset)
  }

  /** A peer, or the peer its state came from, had read the log to its end at that time. */
  public checkedBy (atMs: base.Millis): void {
    this._checkedAtMs = Math.max(this._checkedAtMs ?? atMs, atMs)
  }

  /** Issues a read if none is outstanding and none has to wait for a retry. */
  public tick (isWanted: boolean, mayWait: boolean, nowMs: base.Millis): void {
    if (this._deadlineMs !== undefined && nowMs >= this._deadlineMs) this._failed(nowMs)
    if (!isWanted || this._deadlineMs !== undefined || nowMs < this._notBeforeMs) return
    const waitMs = mayWait ? LONG_POLL_MS : 0
    this._deadlineMs = nowMs + waitMs + GRACE_MS
    this._options.effects.push({ kind: 'read-log', stream: 'config', fromOffset: this._offset, limit: PAGE_RECORDS, waitMs })
  }

  /** Takes a result. Returns whether it holds usable records or shows the end of the log. */
  public received (result: messages.LogReadResult, nowMs: base.Millis): boolean {
    if (!result.ok) {
      this._failed(nowMs)
      return false
    }
    this._deadlineMs = undefined
    this._backoff.succeeded()
    const last = result.records.at(-1)
    if (last !== undefined) this.skipTo(last.offset + 1)
    this._isAtEnd = result.records.length < PAGE_RECORDS
    if (this._isAtEnd) this.checkedBy(nowMs)
    return true
  }

  private _failed (nowMs: base.Millis): void {
    this._deadlineMs = undefined
    this._notBeforeMs = nowMs + this._backoff.failed()
  }
}
