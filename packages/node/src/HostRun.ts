import type * as base from '@elmpost/common/base/Types.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Chunks that may be on their way to a caller that has not taken them. */
const MAX_CHUNKS_AHEAD = 16

interface Waiter {
  readonly link: services.IPeerLink
  readonly callId: number
  creditedSequence: number
}

/** A call that runs on the target or on a delegate, and everyone who waits for its answer. */
export class HostRun {
  public readonly request: types.TargetRequest & { deadlineAtMs: base.Millis }
  /** Node that was asked to run the call, if it was delegated. */
  public delegate: services.IPeerLink | undefined
  public status = 0
  public headers: Record<string, string> = {}
  private readonly _waiters: Waiter[] = []
  /** Next chunk; -1 until the answer is streamed. */
  private _nextSequence = -1
  private _isPaused = false

  constructor (public readonly runId: number, public readonly call: messages.CallMessage, deadlineAtMs: base.Millis) {
    const { method, path, headers, body, key, depth, attempt } = call
    this.request = { runId, method, path, headers, body, key, depth, attempt, deadlineAtMs }
  }

  public get hasWaiters (): boolean {
    return this._waiters.length > 0
  }

  /** Adds a waiter. False if the answer is already being streamed and its beginning is gone. */
  public join (link: services.IPeerLink, callId: number): boolean {
    if (this._nextSequence >= 0) return false
    this._waiters.push({ link, callId, creditedSequence: -1 })
    return true
  }

  /** A caller that joined may allow more time. */
  public extend (deadlineAtMs: base.Millis): void {
    if (deadlineAtMs > this.request.deadlineAtMs) this.request.deadlineAtMs = deadlineAtMs
  }

  /** Gives the run, which has not started, and its waiters another id. */
  public moveTo (runId: number): HostRun {
    const moved = new HostRun(runId, this.call, this.request.deadlineAtMs)
    for (const { link, callId } of this._waiters.splice(0)) {
      moved.join(link, callId)
      link.runs.set(callId, runId)
    }
    return moved
  }

  /** Removes a waiter. True if a paused answer may go on without it. */
  public leave (link: services.IPeerLink, callId: number): boolean {
    const index = this._waiters.findIndex(waiter => waiter.link === link && waiter.callId === callId)
    if (index >= 0) this._waiters.splice(index, 1)
    return this._mayResume()
  }

  /** Begins a streamed answer. */
  public head (status: number, headers: Readonly<Record<string, string>>, load: hosting.LoadReport): void {
    this.status = status
    this.headers = headers
    this._nextSequence = 0
    for (const { link, callId } of this._waiters) {
      link.send({ kind: 'answer', callId, outcome: 'answered', reason: 'ok', status, headers, body: undefined, last: false, retryAfterMs: 0, load, targetMs: 0 })
    }
  }

  /** Sends a part of a streamed answer. False if a waiter is too far behind. */
  public chunk (body: Uint8Array): boolean {
    const sequence = this._nextSequence++
    for (const { link, callId } of this._waiters) link.send({ kind: 'chunk', callId, sequence, body, last: false, failed: false })
    this._isPaused = this._isAhead()
    return !this._isPaused
  }

  /** Notes what a waiter has taken. True if a paused answer may go on. */
  public credit (link: services.IPeerLink, callId: number, sequence: number): boolean {
    const waiter = this._waiters.find(waiter => waiter.link === link && waiter.callId === callId)
    if (waiter === undefined) return false
    waiter.creditedSequence = Math.min(Math.max(waiter.creditedSequence, sequence), this._nextSequence - 1)
    return this._mayResume()
  }

  /** Sends the end of the answer to everyone who waits. */
  public finish (answer: hosting.FinalAnswer, isWhole: boolean, load: hosting.LoadReport, targetMs: number): void {
    for (const { link, callId } of this._waiters.splice(0)) {
      link.runs.delete(callId)
      if (this._nextSequence < 0) reply(link, callId, answer, load, targetMs)
      else link.send({ kind: 'chunk', callId, sequence: this._nextSequence, body: undefined, last: true, failed: !isWhole })
    }
  }

  private _mayResume (): boolean {
    if (!this._isPaused || this._isAhead()) return false
    this._isPaused = false
    return true
  }

  private _isAhead (): boolean {
    return this._waiters.some(waiter => this._nextSequence - 1 - waiter.creditedSequence >= MAX_CHUNKS_AHEAD)
  }
}

/** Sends a whole answer. */
export function reply (link: services.IPeerLink, callId: number, answer: hosting.FinalAnswer, load: hosting.LoadReport, targetMs: number): void {
  const { outcome, reason, status, headers, body, retryAfterMs, successor, crashes } = answer
  const redirect = successor === undefined ? {} : { successor }
  const known = crashes === undefined ? {} : { crashes }
  link.send({ kind: 'answer', callId, outcome, reason, status, headers, body, last: true, retryAfterMs, load, targetMs, ...redirect, ...known })
}

/** Answers a resend that came after a streamed answer had begun. */
export function replyNotKept (link: services.IPeerLink, callId: number, load: hosting.LoadReport): void {
  reply(link, callId, { outcome: 'unknown', reason: 'answer-not-kept', status: 502, headers: {}, body: undefined, retryAfterMs: 0 }, load, 0)
}
