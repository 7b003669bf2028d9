import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as messages from '../node/Messages.js'
import * as backoffs from './Backoff.js'

/** Part of the retention time over which the readers' appends are spread; after the first one the others need none. */
const SPREAD_RATIO = 1 / 16
const FIRST_RETRY_MS = 500
const MAX_RETRY_MS = 30_000
const APPEND_TIMEOUT_MS = 10_000

export interface SnapshotRenewalOptions {
  readonly selfId: base.NodeId
  readonly random: base.IRandom
  readonly effects: messages.IEffects
}

/**
 * Appends the accepted state again as a snapshot when the anchor has reached half of the retention time. The anchor is the
 * record from which a new reader reaches the accepted state without peers. Newer proposals do not renew it: each of them
 * names a base, and without an anchor that base is unknown once the log has dropped it.
 */
export class SnapshotRenewal {
  private readonly _options: SnapshotRenewalOptions
  private readonly _backoff: backoffs.Backoff
  private _anchoredAtMs: base.Millis | undefined
  private _spreadMs = 0
  private _notBeforeMs = 0
  private _requests = 0
  private _outstanding: { readonly requestId: string, readonly deadlineMs: base.Millis } | undefined

  constructor (options: SnapshotRenewalOptions) {
    this._options = options
    this._backoff = new backoffs.Backoff({ random: options.random, firstMs: FIRST_RETRY_MS, maxMs: MAX_RETRY_MS })
  }

  /** Records that the log contains a newer anchor, appended at `atMs` or later. */
  public recordAnchor (atMs: base.Millis, retentionMs: base.Millis): void {
    if (this._anchoredAtMs !== undefined && atMs <= this._anchoredAtMs) return
    this._anchoredAtMs = atMs
    this._spreadMs = this._options.random.nextInt(Math.max(1, Math.floor(retentionMs * SPREAD_RATIO)))
  }

  /** Appends a snapshot if one is due. `snapshot` returns the record to append, if the accepted state is known from the log. */
  public tick (snapshot: () => config.SnapshotRecord | undefined, retentionMs: base.Millis, nowMs: base.Millis): void {
    if (this._outstanding !== undefined && nowMs >= this._outstanding.deadlineMs) this._handleFailure(nowMs)
    if (retentionMs <= 0 || this._outstanding !== undefined || nowMs < this._notBeforeMs) return
    // A node that got the state from a peer does not know the age of the anchor, so it assumes half of the retention time.
    if (this._anchoredAtMs === undefined) this.recordAnchor(nowMs - retentionMs / 2, retentionMs)
    if (nowMs - (this._anchoredAtMs ?? nowMs) < retentionMs / 2 + this._spreadMs) return
    const data = snapshot()
    if (data === undefined) return
    const requestId = `snapshot/${this._options.selfId}/${++this._requests}`
    this._outstanding = { requestId, deadlineMs: nowMs + APPEND_TIMEOUT_MS }
    this._options.effects.push({ kind: 'append-log', stream: 'config', requestId, data })
  }

  public handleAppendResult (result: messages.LogAppendResult, retentionMs: base.Millis, nowMs: base.Millis): void {
    if (this._outstanding?.requestId !== result.requestId) return
    if (result.status !== 'appended') return this._handleFailure(nowMs)
    this._outstanding = undefined
    this._backoff.recordSuccess()
    this.recordAnchor(nowMs, retentionMs)
  }

  private _handleFailure (nowMs: base.Millis): void {
    this._outstanding = undefined
    this._notBeforeMs = nowMs + this._backoff.recordFailure()
  }
}
