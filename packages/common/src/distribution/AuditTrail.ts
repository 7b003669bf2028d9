import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as messages from '../node/Messages.js'
import * as backoffs from './Backoff.js'
import type * as types from './Types.js'

const MAX_BACKLOG = 256
const FIRST_RETRY_MS = 500
const MAX_RETRY_MS = 30_000
const APPEND_TIMEOUT_MS = 10_000

export interface AuditTrailOptions {
  readonly selfId: base.NodeId
  readonly random: base.IRandom
  readonly effects: messages.IEffects
}

/** Appends audit records to the log one at a time. While the log is unavailable, up to `MAX_BACKLOG` records wait and the oldest are dropped. */
export class AuditTrail {
  private readonly _options: AuditTrailOptions
  private readonly _backoff: backoffs.Backoff
  private readonly _waiting: types.AuditRecord[] = []
  private _outstanding: { readonly requestId: string, readonly deadlineMs: base.Millis } | undefined
  private _nextAtMs = 0
  private _requests = 0

  constructor (options: AuditTrailOptions) {
    this._options = options
    this._backoff = new backoffs.Backoff({ random: options.random, firstMs: FIRST_RETRY_MS, maxMs: MAX_RETRY_MS })
  }

  public add (record: types.AuditRecord): void {
    if (this._waiting.length >= MAX_BACKLOG) this._waiting.splice(this._outstanding === undefined ? 0 : 1, 1)
    this._waiting.push(record)
  }

  /** Adds the records of a proposal and its verdict. */
  public addVerdict (proposal: config.ProposalEnvelope, verdict: config.Verdict, nowMs: base.Millis): void {
    const { proposalId, version, author } = proposal
    this.add({ kind: 'proposed', proposalId, version, author, atMs: proposal.proposedAtMs })
    // Not final: newer software, or a reader that has more of the log, may still accept the proposal.
    if (verdict.kind === 'not-judged' || verdict.kind === 'unsupported-rules') return
    const kind = verdict.kind === 'accepted' ? 'accepted' : 'rejected'
    this.add({ kind, proposalId, version, verdict: verdict.kind, reason: verdict.reason, offset: verdict.offset, atMs: nowMs })
  }

  public tick (nowMs: base.Millis): void {
    if (this._outstanding !== undefined && nowMs >= this._outstanding.deadlineMs) this._handleFailure(nowMs)
    const [data] = this._waiting
    if (this._outstanding !== undefined || data === undefined || nowMs < this._nextAtMs) return
    const requestId = `audit/${this._options.selfId}/${++this._requests}`
    this._outstanding = { requestId, deadlineMs: nowMs + APPEND_TIMEOUT_MS }
    this._options.effects.push({ kind: 'append-log', stream: 'audit', requestId, data })
  }

  /** Handles the result of an append. A refused record is dropped, because the log would refuse it again. */
  public handleAppendResult (result: messages.LogAppendResult, nowMs: base.Millis): void {
    if (this._outstanding?.requestId !== result.requestId) return
    if (result.status === 'unknown') return this._handleFailure(nowMs)
    this._outstanding = undefined
    this._waiting.shift()
    this._backoff.recordSuccess()
  }

  private _handleFailure (nowMs: base.Millis): void {
    this._outstanding = undefined
    this._nextAtMs = nowMs + this._backoff.recordFailure()
  }
}
