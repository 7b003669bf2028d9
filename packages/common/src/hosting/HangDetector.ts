import type * as base from '../base/Types.js'
import type * as serviceTimes from './ServiceTimes.js'

/**
 * Silence of a target whose slots are all taken, in mean service times and in deviations above the mean. A target
 * that became 10 times slower was affected in 4 of 18 runs of the goodput benchmark with 4 means, and in 1 with 6.
 */
const SILENT_MEANS = 6
const SILENT_DEVIATIONS = 8

/**
 * This share of that silence is enough to try a call elsewhere that would be refused otherwise. With a third, `till`
 * with a slow target answered 1,513 instead of 1,536 calls/s at twice the capacity.
 */
const SUSPECT_SHARE = 1 / 2

/** A pause of the target for garbage collection is usually shorter. */
const SHORTEST_SILENCE_MS = 100

/** Answers before the averages are used. The first ones of a target that has just started can be slow. */
const MIN_ANSWERS = 20

/** The first look after a pause of this process may come before it has read the answers that arrived meanwhile. */
const CONFIRM_MS = 10

/**
 * Notices a target that gives no answers.
 *
 * The evidence is silence while every slot is taken. A single slow call is none, and a target that works slowly ends
 * the silence with each answer: with n calls in flight it is silent for much less than one service time.
 */
export class HangDetector {
  /** Start times of the calls in flight, in the order of their starts. */
  private readonly _startedAtMs = new Map<number, base.Millis>()
  private _lastSignMs: base.Millis = 0
  private _suspectedAtMs: base.Millis | undefined
  private _isHanging = false

  constructor (private readonly _times: serviceTimes.ServiceTimes) {}

  /** Stays true until the next sign of work. */
  public get isHanging (): boolean {
    return this._isHanging
  }

  public recordStart (runId: number, nowMs: base.Millis): void {
    this._startedAtMs.set(runId, nowMs)
  }

  public recordEnd (runId: number): void {
    this._startedAtMs.delete(runId)
  }

  /** The target has sent an answer or a part of one. */
  public recordProgress (nowMs: base.Millis): void {
    this._lastSignMs = nowMs
    this._suspectedAtMs = undefined
    this._isHanging = false
  }

  /** Silence that counts as hanging; infinite while too little is known of the target. */
  public get silenceLimitMs (): base.Millis {
    const { count, meanMs, deviationMs } = this._times
    if (count < MIN_ANSWERS) return Infinity
    return Math.max(SHORTEST_SILENCE_MS, SILENT_MEANS * meanMs, meanMs + SILENT_DEVIATIONS * deviationMs)
  }

  /** Whether the target has been silent for long enough that it may hang. */
  public isSuspect (isFull: boolean, nowMs: base.Millis): boolean {
    return isFull && nowMs >= this._silentSinceMs + SUSPECT_SHARE * this.silenceLimitMs
  }

  /** Time of the next `check` that can change the verdict, if all slots stay taken. */
  public get nextCheckMs (): base.Millis {
    if (this._isHanging) return Infinity
    if (this._suspectedAtMs !== undefined) return this._suspectedAtMs + CONFIRM_MS
    return this._silentSinceMs + this.silenceLimitMs
  }

  /** Returns whether the target hangs. `isFull`: all its slots are taken. */
  public check (isFull: boolean, nowMs: base.Millis): boolean {
    if (this._isHanging) return true
    if (!isFull || nowMs < this._silentSinceMs + this.silenceLimitMs) this._suspectedAtMs = undefined
    else if (this._suspectedAtMs === undefined) this._suspectedAtMs = nowMs
    else this._isHanging = nowMs >= this._suspectedAtMs + CONFIRM_MS
    return this._isHanging
  }

  /** Calls that ended without an answer do not count: a short deadline of the caller says little about the target. */
  private get _silentSinceMs (): base.Millis {
    const oldest = this._startedAtMs.values().next()
    return oldest.done === true ? Infinity : Math.max(this._lastSignMs, oldest.value)
  }
}
