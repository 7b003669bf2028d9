import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as messages from '../node/Messages.js'
import * as backoffs from './Backoff.js'

/** The readers' appends are spread over this part of the retention time; the first one spares the others theirs. */
const SPREAD_RATIO = 1 / 16
const FIRST_RETRY_MS = 500
const MAX_RETRY_MS = 30_000
const APPEND_TIMEOUT_MS = 10_000

export interface SnapshotKeeperOptions {
  readonly selfId: base.NodeId
  readonly random: base.IRandom
  readonly effects: messages.IEffects
}

/** Re-appends the accepted state as a snapshot when its newest record has used half of the retention time. */
export class SnapshotKeeper {
  private readonly _options: SnapshotKeeperOptions
  private readonly _backoff: backoffs.Backoff
  private _version = 0
  private _newestAtMs = 0
  private _spreadMs = 0
  private _notBeforeMs = 0
  private _requests = 0
  private _outstanding: { readonly requestId: string, readonly deadlineMs: base.Millis } | undefined

  constructor (options: SnapshotKeeperOptions) {
    this._options = options
    this._backoff = new backoffs.Backoff({ random: options.random, firstMs: FIRST_RETRY_MS, maxMs: MAX_RETRY_MS })
  }

  /** A record that holds the accepted state of `version` was read; `atMs` is the latest time at which it cannot have been younger. */
  public recordSeen (version: number, atMs: base.Millis, retentionMs: base.Millis): void {
    if (version < this._version || (version === this._version && atMs <= this._newestAtMs)) return
    this._version = version
    this._newestAtMs = atMs
    this._spreadMs = this._options.random.nextInt(Math.max(1, Math.floor(retentionMs * SPREAD_RATIO)))
  }

  /** `snapshot` gives the record to append, if the accepted state is known from the log. */
  public tick (snapshot: () => config.SnapshotRecord | undefined, retentionMs: base.Millis, nowMs: base.Millis): void {
    if (this._outstanding !== undefined && nowMs >= this._outstanding.deadlineMs) this._failed(nowMs)
    if (retentionMs <= 0 || this._outstanding !== undefined || nowMs < this._notBeforeMs) return
    if (nowMs - this._newestAtMs < retentionMs / 2 + this._spreadMs) return
    const data = snapshot()
    if (data === undefined || data.version > this._version) return
    const requestId = `snapshot/${this._options.selfId}/${++this._requests}`
    this._outstanding = { requestId, deadlineMs: nowMs + APPEND_TIMEOUT_MS }
    this._options.effects.push({ kind: 'append-log', stream: 'config', requestId, data })
  }

  public appended (result: messages.LogAppendResult, retentionMs: base.Millis, nowMs: base.Millis): void {
    if (this._outstanding?.requestId !== result.requestId) return
    if (result.status !== 'appended') return this._failed(nowMs)
    this._outstanding = undefined
    this._backoff.succeeded()
    this.recordSeen(this._version, nowMs, retentionMs)
  }

  private _failed (nowMs: base.Millis): void {
    this._outstanding = undefined
    this._notBeforeMs = nowMs + this._backoff.failed()
  }
}
