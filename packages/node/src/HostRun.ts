import type * as base from '@elmpost/common/base/Types.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Limits the chunks that a waiter has been sent and has not credited. */
const MAX_CHUNKS_AHEAD = 16

/** A call that waits for the answer of a run. */
interface Waiter {
  readonly link: services.IPeerLink
  readonly callId: number
  creditedSequence: number
}

/** A call that runs on the target or on a delegate, with the calls that wait for its answer. */
export class HostRun {
  public readonly request: types.TargetRequest & { deadlineAtMs: base.Millis }
  /** Link to the node that runs the call, if it is delegated. */
  public delegate: services.IPeerLink | undefined
  public status = 0
  public headers: Record<string, string> = {}
  private readonly _waiters: Waiter[] = []
  /** Sequence number of the next chunk; -1 until the answer is streamed. */
  private _nextSequence = -1
  private _isPaused = false

  constructor (public readonly runId: number, public readonly call: messages.CallMessage, deadlineAtMs: base.Millis) {
    const { method, path, headers, body, key, depth, attempt } = call
    this.request = { runId, method, path, headers, body, key, depth, attempt, deadlineAtMs }
  }

  public get hasWaiters (): boolean {
    return this._waiters.length > 0
  }

  /** Adds a waiter. False if streaming has begun, because chunks that were sent are not kept. */
  public addWaiter (link: services.IPeerLink, callId: number): boolean {
    if (this._nextSequence >= 0) return false
    this._waiters.push({ link, callId, creditedSequence: -1 })
    return true
  }

  /** Moves the deadline to that of a joining caller if it is later. */
  public extend (deadlineAtMs: base.Millis): void {
    if (deadlineAtMs > this.request.deadlineAtMs) this.request.deadlineAtMs = deadlineAtMs
  }

  /** Moves the waiters of this run, which has not started, to a new run with another id. */
  public moveTo (runId: number): HostRun {
    const moved = new HostRun(runId, this.call, this.request.deadlineAtMs)
    for (const { link, callId } of this._waiters.splice(0)) {
      moved.addWaiter(link, callId)
      link.runs.set(callId, runId)
    }
    return moved
  }

  /** Removes a waiter. True if a paused answer resumes. */
  public removeWaiter (link: services.IPeerLink, callId: number): boolean {
    const index = this._waiters.findIndex(waiter => waiter.link === link && waiter.callId === callId)
    if (index >= 0) this._waiters.splice(index, 1)
    return this._tryResume()
  }

  /** Begins a streamed answer. */
  public beginStream (status: number, headers: Readonly<Record<string, string>>, load: hosting.LoadReport): void {
    this.status = status
    this.headers = headers
    this._nextSequence = 0
    for (const { link, callId } of this._waiters) {
      link.send({ kind: 'answer', callId, outcome: 'answered', reason: 'ok', status, headers, body: undefined, last: false, retryAfterMs: 0, load, targetMs: 0 })
    }
  }

  /** Sends a part of a streamed answer. False if the answer pauses, because a waiter is too far behind. */
  public sendChunk (body: Uint8Array): boolean {
    const sequence = this._nextSequence++
    for (const { link, callId } of this._waiters) link.send({ kind: 'chunk', callId, sequence, body, last: false, failed: false })
    this._isPaused = this._isWaiterBehind()
    return !this._isPaused
  }

  /** Records the chunks that a waiter has received. True if a paused answer resumes. */
  public recordCredit (link: services.IPeerLink, callId: number, sequence: number): boolean {
    const waiter = this._waiters.find(waiter => waiter.link === link && waiter.callId === callId)
    if (waiter === undefined) return false
    waiter.creditedSequence = Math.min(Math.max(waiter.creditedSequence, sequence), this._nextSequence - 1)
    return this._tryResume()
  }

  /** Sends the answer, or the end of a streamed one, to all waiters. */
  public finish (answer: hosting.FinalAnswer, isComplete: boolean, load: hosting.LoadReport, targetMs: number): void {
    for (const { link, callId } of this._waiters.splice(0)) {
      link.runs.delete(callId)
      if (this._nextSequence < 0) reply(link, callId, answer, load, targetMs)
      else link.send({ kind: 'chunk', callId, sequence: this._nextSequence, body: undefined, last: true, failed: !isComplete })
    }
  }

  private _tryResume (): boolean {
    if (!this._isPaused || this._isWaiterBehind()) return false
    this._isPaused = false
    return true
  }

  private _isWaiterBehind (): boolean {
    return this._waiters.some(waiter => this._nextSequence - 1 - waiter.creditedSequence >= MAX_CHUNKS_AHEAD)
  }
}

/** Sends a complete answer. */
export function reply (link: services.IPeerLink, callId: number, answer: hosting.FinalAnswer, load: hosting.LoadReport, targetMs: number): void {
  const { outcome, reason, status, headers, body, retryAfterMs, successor, crashes } = answer
  const redirect = successor === undefined ? {} : { successor }
  const crashRecords = crashes === undefined ? {} : { crashes }
  link.send({ kind: 'answer', callId, outcome, reason, status, headers, body, last: true, retryAfterMs, load, targetMs, ...redirect, ...crashRecords })
}

/** Answers a retry that arrived after a streamed answer had begun. */
export function replyNotKept (link: services.IPeerLink, callId: number, load: hosting.LoadReport): void {
  reply(link, callId, { outcome: 'unknown', reason: 'answer-not-kept', status: 502, headers: {}, body: undefined, retryAfterMs: 0 }, load, 0)
}
