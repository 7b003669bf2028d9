import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** Time for which unused calls are saved up. */
const BURST_MS = 250
/** One call in 2 s is let through at any limit, because only an answer can tell that the limit has ended. */
const MIN_CALLS_PER_S = 0.5
const MS_PER_S = 1000
/** Absorbs rounding errors of the accumulated permits. */
const EPSILON = 1e-6

/** Limits the calls to a target to the rate that it has advertised. It starts with no permits, so that a restart does not add any. */
export class CallLimiter {
  private _maxCallsPerS = Infinity
  /** Calls that may start at once, as of `_updatedAtMs`. */
  private _permits = 0
  private _updatedAtMs: base.Millis = 0

  public get isLimited (): boolean {
    return this._maxCallsPerS < Infinity
  }

  /** Undefined without a limit. */
  public get state (): types.CallLimit | undefined {
    return this.isLimited ? { maxCallsPerS: this._maxCallsPerS, permits: Math.floor(this._permits + EPSILON) } : undefined
  }

  /** Infinity ends the limit. */
  public setLimit (maxCallsPerS: number, nowMs: base.Millis): void {
    this.advance(nowMs)
    this._maxCallsPerS = Math.max(maxCallsPerS, MIN_CALLS_PER_S)
    this._permits = this.isLimited ? Math.min(this._permits, this._capacity) : 0
  }

  /** Takes a permit for a call. False if the call has to wait. */
  public take (nowMs: base.Millis): boolean {
    if (!this.isLimited) return true
    this.advance(nowMs)
    if (this._permits < 1 - EPSILON) return false
    this._permits -= 1
    return true
  }

  /** Time until `calls` more calls may have started. */
  public waitMs (calls: number, nowMs: base.Millis): base.Millis {
    if (!this.isLimited) return 0
    this.advance(nowMs)
    return Math.max(0, calls - this._permits) * MS_PER_S / this._maxCallsPerS
  }

  /** Adds the permits of the time since the last call. */
  public advance (nowMs: base.Millis): void {
    const elapsedMs = Math.max(0, nowMs - this._updatedAtMs)
    this._updatedAtMs = Math.max(this._updatedAtMs, nowMs)
    if (this.isLimited) this._permits = Math.min(this._capacity, this._permits + elapsedMs * this._maxCallsPerS / MS_PER_S)
  }

  private get _capacity (): number {
    return Math.max(1, this._maxCallsPerS * BURST_MS / MS_PER_S)
  }
}
