import * as failureStreak from '../base/FailureStreak.js'
import type * as base from '../base/Types.js'
import * as hangDetector from './HangDetector.js'
import type * as runs from './RunTable.js'
import type * as serviceTimes from './ServiceTimes.js'
import * as targetStatus from './TargetStatus.js'
import type * as types from './Types.js'

/** While the target fails and no other node has a free slot, one key in this many is still run, to detect recovery. */
const KEYS_PER_TRIAL = 8

/** Properties of a run that the health of the target is judged by. */
export type TargetRun = Pick<runs.Run, 'runId' | 'startedAtMs' | 'timeoutMs'>

/** Tracks whether the target beside this node hangs, or fails calls in a row by the rules that entry nodes use for ejection. */
export class TargetHealth {
  private readonly _streak = new failureStreak.FailureStreak()
  private readonly _hang: hangDetector.HangDetector
  /** The call that probes whether the target still hangs. */
  private _probeId: number | undefined
  private _probeStartedAtMs: base.Millis = Infinity
  private _keysWhileFailing = 0
  private _ejectedAtMs: base.Millis = 0

  constructor (private readonly _times: serviceTimes.ServiceTimes) {
    this._hang = new hangDetector.HangDetector(_times)
  }

  public get isHanging (): boolean {
    return this._hang.isHanging
  }

  /** True while the target hangs, and for a time after failures in a row; then one more call is tried. */
  public isFailing (nowMs: base.Millis): boolean {
    return this._hang.isHanging || this._streak.isEjected(nowMs)
  }

  /** Whether to accept a call. A hanging target gets one call at a time, only into a free slot and after ever longer pauses. */
  public canAcceptCall (hasFreeSlot: boolean, nowMs: base.Millis): boolean {
    if (!this._hang.isHanging) return true
    return hasFreeSlot && this._probeId === undefined && !this._streak.isEjected(nowMs)
  }

  /** Whether to run a key that no other node can run. A refused key can be retried, a failed one cannot. */
  public shouldRunKey (nowMs: base.Millis): boolean {
    if (this._hang.isHanging || !this._streak.isEjected(nowMs)) return true
    return this._keysWhileFailing++ % KEYS_PER_TRIAL === 0
  }

  /** Handles a call that was put into the queue. */
  public handleQueued (runId: number): void {
    if (this._hang.isHanging) this._probeId = runId
  }

  public isProbe (runId: number): boolean {
    return runId === this._probeId
  }

  public handleStart (run: TargetRun): void {
    this._hang.recordStart(run.runId, run.startedAtMs)
    if (run.runId === this._probeId) this._probeStartedAtMs = run.startedAtMs
  }

  /** Handles an answer from the target, or a part of one. */
  public handleProgress (nowMs: base.Millis): void {
    if (this._hang.isHanging) this._streak.endEjection(nowMs)
    this._hang.recordProgress(nowMs)
  }

  /** Handles the end of a run that was on the target. */
  public handleEnd (run: TargetRun, result: types.RunResult, nowMs: base.Millis): void {
    this._hang.recordEnd(run.runId)
    if (result.kind === 'lost' && result.targetDied) this._handleRestart(nowMs)
    if (result.kind === 'answered') this.handleProgress(nowMs)
    if (isFailure(run, result, nowMs)) {
      if (this._streak.recordFailure(nowMs)) this._eject(nowMs)
    } else if (result.kind === 'answered' && targetStatus.isSuccess(result.status)) {
      this._recordSuccess(run, nowMs)
    }
    if (run.runId === this._probeId && result.kind === 'lost' && result.reason === 'deadline') this._eject(nowMs)
    this.endProbeOf(run.runId)
  }

  /** Ends the probe if this run was the probe, also if it never started. */
  public endProbeOf (runId: number): void {
    if (runId === this._probeId) this._endProbe()
  }

  /** Time of the next `check` that can change the verdict, if all slots stay taken. */
  public get nextCheckMs (): base.Millis {
    return this._hang.nextCheckMs
  }

  /** Whether the target may hang, although it has not been silent for long enough to empty its queue. */
  public isSuspect (isFull: boolean, nowMs: base.Millis): boolean {
    return this._hang.isSuspect(isFull, nowMs)
  }

  /** Returns whether the target hangs. `isFull`: all its slots are taken. */
  public check (isFull: boolean, nowMs: base.Millis): boolean {
    const wasHanging = this._hang.isHanging
    if (!this._hang.check(isFull, nowMs)) return false
    if (!wasHanging) this._eject(nowMs)
    if (nowMs >= this._probeStartedAtMs + this._hang.silenceLimitMs) {
      this._endProbe()
      this._eject(nowMs)
    }
    return true
  }

  /** A success of a call that started before the target was ejected does not end the ejection. */
  private _recordSuccess (run: TargetRun, nowMs: base.Millis): void {
    if (this._streak.isEjected(nowMs) && run.startedAtMs >= this._ejectedAtMs) this._streak.endEjection(nowMs)
    this._streak.recordSuccess(nowMs)
  }

  private _eject (nowMs: base.Millis): void {
    if (this._streak.isEjected(nowMs)) return
    this._ejectedAtMs = nowMs
    this._keysWhileFailing = 0
    this._streak.eject(nowMs)
  }

  private _endProbe (): void {
    this._probeId = undefined
    this._probeStartedAtMs = Infinity
  }

  private _handleRestart (nowMs: base.Millis): void {
    this._times.handleRestart()
    this.handleProgress(nowMs)
  }
}

/** A short deadline of the caller says little about the target. */
function isFailure (run: TargetRun, result: types.RunResult, nowMs: base.Millis): boolean {
  if (result.kind === 'answered') return targetStatus.isFailure(result.status)
  if (result.kind === 'not-started') return false
  if (result.reason === 'target-lost') return true
  return result.reason === 'deadline' && run.timeoutMs !== undefined && nowMs - run.startedAtMs >= run.timeoutMs / 2
}
