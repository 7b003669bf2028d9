import * as failureStreak from '../base/FailureStreak.js'
import type * as base from '../base/Types.js'
import type * as runs from './RunTable.js'
import * as targetStatus from './TargetStatus.js'
import type * as types from './Types.js'

/** What the verdict on the target needs to know of a run. */
export type EndedRun = Pick<runs.Run, 'runId' | 'startedAtMs' | 'timeoutMs'>

/** Whether the target beside this node fails call after call, by the rules that entry nodes use for ejection. */
export class TargetHealth {
  private readonly _streak = new failureStreak.FailureStreak()

  /** For a time after failures in a row; then one more call is tried. */
  public isFailing (nowMs: base.Millis): boolean {
    return this._streak.isEjected(nowMs)
  }

  /** A run on the target has ended. */
  public ended (run: EndedRun, result: types.RunResult, nowMs: base.Millis): void {
    if (isFailure(run, result, nowMs)) {
      if (this._streak.failed(nowMs)) this._streak.eject(nowMs)
    } else if (result.kind === 'answered' && targetStatus.isSuccess(result.status)) {
      this._streak.succeeded(nowMs)
    }
  }
}

/** A short deadline of the caller says little about the target. */
function isFailure (run: EndedRun, result: types.RunResult, nowMs: base.Millis): boolean {
  if (result.kind === 'answered') return targetStatus.isFailure(result.status)
  if (result.kind === 'not-started') return false
  if (result.reason === 'target-lost') return true
  return result.reason === 'deadline' && run.timeoutMs !== undefined && nowMs - run.startedAtMs >= run.timeoutMs / 2
}
