import type * as base from '../base/Types.js'
import type * as runs from './RunTable.js'
import type * as services from './Services.js'

/** Creates the crash records of the target beside this node, and lets no two suspects run on it at the same time. */
export class CrashAttribution {
  /** `concurrent` of the crash record, by id of each run that was on the target when it crashed. */
  private readonly _concurrentByRunId = new Map<number, number>()

  constructor (
    private readonly _nodeId: base.NodeId,
    private readonly _crashes: services.ICrashTable,
    private readonly _runs: runs.RunTable
  ) {}

  /** Whether the call must wait because another suspect is on the target or queued for it. */
  public mustWait (fingerprint: string, nowMs: base.Millis): boolean {
    if (!this._crashes.isSuspect(fingerprint, nowMs)) return false
    for (const run of this._runs.localRuns()) {
      if (this._crashes.isSuspect(run.fingerprint, nowMs)) return true
    }
    return false
  }

  /** Records a crash of the target during this run. All runs at the time of the crash count, although they end one by one. */
  public record (run: runs.Run, nowMs: base.Millis): void {
    if (!this._concurrentByRunId.has(run.runId)) this._countRunsAtCrash(nowMs)
    const concurrent = this._concurrentByRunId.get(run.runId) ?? 1
    this._concurrentByRunId.delete(run.runId)
    const { key = '', fingerprint } = run
    this._crashes.record({ key, fingerprint, nodeId: this._nodeId, atMs: nowMs, concurrent }, nowMs)
  }

  private _countRunsAtCrash (nowMs: base.Millis): void {
    const running = [...this._runs.runsOnTarget()]
    const suspects = running.filter(run => this._crashes.isSuspect(run.fingerprint, nowMs))
    this._concurrentByRunId.clear()
    for (const run of running) {
      // The crash is attributed to the only suspect, as if it had run alone.
      const isOnlySuspect = suspects.length === 1 && suspects[0] === run
      this._concurrentByRunId.set(run.runId, isOnlySuspect ? 1 : running.length)
    }
  }
}
