import * as failureStreak from '../base/FailureStreak.js'
import type * as base from '../base/Types.js'
import type * as runs from './RunTable.js'
import type * as types from './Types.js'

/** Status with which a target sheds load; it is not a failure. */
const SHEDDING_STATUS = 503

const FIRST_FAILURE_STATUS = 500

/** Whether the target beside this node fails call after call, by the rules that entry nodes use for ejection. */
export class TargetHealth {
  private readonly _streak = new failureStreak.FailureStreak()

  /** For a time after failures in a row; then one more call is tried. */
  public isFailing (nowMs: base.Millis): boolean {
    return this._streak.isEjected(nowMs)
  }

  /** A run on the target has ended. */
  public ended (run: runs.Run, result: types.RunResult, nowMs: base.Millis): void {
    if (isFailure(run, result, nowMs)) {
      if (this._streak.failed(nowMs)) this._streak.eject(nowMs)
    } else if (result.kind === 'answered' && result.status < FIRST_FAILURE_STATUS) {
      this._streak.succeeded(nowMs)
    }
  }
}

/** A short deadline of the caller says little about the target. */
function isFailure (run: runs.Run, result: types.RunResult, nowMs: base.Millis): boolean {
  if (result.kind === 'answered') return result.status >= FIRST_FAILURE_STATUS && result.status !== SHEDDING_STATUS
  if (result.kind === 'not-started') return false
  if (result.reason === 'target-lost') return true
  return result.reason === 'deadline' && run.timeoutMs !== undefined && nowMs - run.startedAtMs >= run.timeoutMs / 2
}
