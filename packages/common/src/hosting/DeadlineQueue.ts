import type * as base from '../base/Types.js'

/** Calls that wait for a slot, each with the latest time at which it may start. */
export class DeadlineQueue {
  private readonly _latestStartMs = new Map<number, base.Millis>()

  public get size (): number {
    return this._latestStartMs.size
  }

  /** Adds a call. If it is already in the queue, its latest start can only become later. */
  public add (runId: number, latestStartMs: base.Millis): void {
    const current = this._latestStartMs.get(runId) ?? latestStartMs
    this._latestStartMs.set(runId, Math.max(current, latestStartMs))
  }

  public remove (runId: number): boolean {
    return this._latestStartMs.delete(runId)
  }

  public canStart (runId: number, nowMs: base.Millis): boolean {
    const latestStartMs = this._latestStartMs.get(runId)
    return latestStartMs !== undefined && nowMs <= latestStartMs
  }

  /** Earliest time after which a call can no longer start; infinite without calls. */
  public get earliestMs (): base.Millis {
    let earliestMs = Infinity
    for (const latestStartMs of this._latestStartMs.values()) earliestMs = Math.min(earliestMs, latestStartMs)
    return earliestMs
  }

  /** Removes and returns the calls that can no longer start. */
  public takeExpired (nowMs: base.Millis): readonly number[] {
    const expired: number[] = []
    for (const [runId, latestStartMs] of this._latestStartMs) {
      if (latestStartMs < nowMs) expired.push(runId)
    }
    for (const runId of expired) this._latestStartMs.delete(runId)
    return expired
  }
}
