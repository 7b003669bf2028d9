import type * as base from '../base/Types.js'
import type * as runs from './RunTable.js'
import type * as services from './Services.js'

/** Makes the crash records of the target beside this node, and keeps suspects apart on it. */
export class CrashAttribution {
  /** Runs that were on the target when it died, and the number that counts as concurrent. */
  private readonly _died = new Map<number, number>()

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

  /** The target died while it ran this call. All runs count that were there then, although they end one by one. */
  public record (run: runs.Run, nowMs: base.Millis): void {
    if (!this._died.has(run.runId)) this._noteDeath(nowMs)
    const concurrent = this._died.get(run.runId) ?? 1
    this._died.delete(run.runId)
    const { key = '', fingerprint } = run
    this._crashes.record({ key, fingerprint, nodeId: this._nodeId, atMs: nowMs, concurrent }, nowMs)
  }

  private _noteDeath (nowMs: base.Millis): void {
    const running = [...this._runs.runsOnTarget()]
    const suspects = running.filter(run => this._crashes.isSuspect(run.fingerprint, nowMs))
    this._died.clear()
    for (const run of running) {
      // The only suspect is to blame as if it had been alone.
      const isOnlySuspect = suspects.length === 1 && suspects[0] === run
      this._died.set(run.runId, isOnlySuspect ? 1 : running.length)
    }
  }
}
