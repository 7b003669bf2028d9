import type * as soakLedger from './SoakLedger.js'

export type RolloutCall = Pick<soakLedger.SoakCall, 'requestId' | 'entry' | 'startedAtMs'>

/** Checks that old targets get no request that was sent after their roll-out was completed. */
export class RolloutLedger {
  private _completedAtMs = Infinity

  public recordCompleted (atMs: number): void {
    this._completedAtMs = Math.min(this._completedAtMs, atMs)
  }

  /** Violated guarantees, one line each. */
  public check (calls: readonly RolloutCall[], oldRuns: readonly soakLedger.TargetRun[]): string[] {
    const late = new Map(calls.filter(({ startedAtMs }) => startedAtMs > this._completedAtMs).map(call => [call.requestId, call]))
    return oldRuns.flatMap(({ requestId, targetId }) => {
      const call = late.get(requestId)
      return call === undefined ? [] : [`${targetId} of the old version ran ${requestId} through ${call.entry}, sent ${Math.round(call.startedAtMs - this._completedAtMs)} ms after the roll-out was completed`]
    })
  }
}
