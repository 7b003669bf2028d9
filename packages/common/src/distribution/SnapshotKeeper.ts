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

/**
 * Re-appends the accepted state as a snapshot when the anchor has used half of the retention time. The anchor is the
 * record from which a new reader comes to the accepted state without help. Newer proposals do not renew it: each of
 * them names a base, and without an anchor nobody knows that base once the log has dropped it.
 */
export class SnapshotKeeper {
  private readonly _options: SnapshotKeeperOptions
  private readonly _backoff: backoffs.Backoff
  private _anchoredAtMs: base.Millis | undefined
  private _spreadMs = 0
  private _notBeforeMs = 0
  private _requests = 0
  private _outstanding: { readonly requestId: string, readonly deadlineMs: base.Millis } | undefined

  constructor (options: SnapshotKeeperOptions) {
    this._options = options
    this._backoff = new backoffs.Backoff({ random: options.random, firstMs: FIRST_RETRY_MS, maxMs: MAX_RETRY_MS })
  }

  /** A newer anchor is in the log, which was appended at `atMs` or later. */
  public anchorSeen (atMs: base.Millis, retentionMs: base.Millis): void {
    if (this._anchoredAtMs !== undefined && atMs <= this._anchoredAtMs) return
    this._anchoredAtMs = atMs
    this._spreadMs = this._options.random.nextInt(Math.max(1, Math.floor(retentionMs * SPREAD_RATIO)))
  }

  /** `snapshot` gives the record to append, if the accepted state is known from the log. */
  public tick (snapshot: () => config.SnapshotRecord | undefined, retentionMs: base.Millis, nowMs: base.Millis): void {
    if (this._outstanding !== undefined && nowMs >= this._outstanding.deadlineMs) this._failed(nowMs)
    if (retentionMs <= 0 || this._outstanding !== undefined || nowMs < this._notBeforeMs) return
    // A node that got the state from a peer does not know the age of the anchor, so it takes half of the time as used.
    if (this._anchoredAtMs === undefined) this.anchorSeen(nowMs - retentionMs / 2, retentionMs)
    if (nowMs - (this._anchoredAtMs ?? nowMs) < retentionMs / 2 + this._spreadMs) return
    const data = snapshot()
    if (data === undefined) return
    const requestId = `snapshot/${this._options.selfId}/${++this._requests}`
    this._outstanding = { requestId, deadlineMs: nowMs + APPEND_TIMEOUT_MS }
    this._options.effects.push({ kind: 'append-log', stream: 'config', requestId, data })
  }

  public appended (result: messages.LogAppendResult, retentionMs: base.Millis, nowMs: base.Millis): void {
    if (this._outstanding?.requestId !== result.requestId) return
    if (result.status !== 'appended') return this._failed(nowMs)
    this._outstanding = undefined
    this._backoff.succeeded()
    this.anchorSeen(nowMs, retentionMs)
  }

  private _failed (nowMs: base.Millis): void {
    this._outstanding = undefined
    this._notBeforeMs = nowMs + this._backoff.failed()
  }
}
