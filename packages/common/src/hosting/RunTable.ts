import type * as base from '../base/Types.js'
import type * as admission from './Admission.js'
import type * as messages from '../node/Messages.js'
import type * as types from './Types.js'

/** Where a run is: waiting for a slot, written to the target, or at another node. */
export type RunPlace = 'queue' | 'target' | 'delegate'

export interface Run {
  readonly runId: number
  readonly route: string
  readonly service: string
  readonly key: string | undefined
  readonly fingerprint: string
  readonly limits: admission.TargetLimits
  /** Identity of the message when another node owns the key. */
  readonly delegation: string | undefined
  place: RunPlace
  /** Node that was asked to run the call. */
  delegate: base.NodeId | undefined
  deadlineAtMs: base.Millis
  /** Valid on the target. */
  startedAtMs: base.Millis
  /** Time limit of the route when the run started, if the route is known. */
  timeoutMs: base.Millis | undefined
  /** Why `start` refused the run. */
  dropReason: types.OutcomeReason | undefined
  /** Callers that still wait for the answer. */
  waiters: number
}

/** Calls that were accepted and have not ended. */
export class RunTable {
  private readonly _runs = new Map<number, Run>()
  private _nextRunId = 1

  public get size (): number {
    return this._runs.size
  }

  public add (call: messages.CallMessage, place: RunPlace, limits: admission.TargetLimits, delegation: string | undefined, nowMs: base.Millis): Run {
    const run: Run = {
      runId: this._nextRunId++,
      route: call.route,
      service: call.service,
      key: call.key,
      fingerprint: call.fingerprint,
      limits,
      delegation,
      place,
      delegate: undefined,
      deadlineAtMs: nowMs + call.remainingMs,
      startedAtMs: 0,
      timeoutMs: undefined,
      dropReason: undefined,
      waiters: 1
    }
    this._runs.set(run.runId, run)
    return run
  }

  public get (runId: number): Run | undefined {
    return this._runs.get(runId)
  }

  /** Gives the run a new place under a new id. */
  public move (run: Run, place: RunPlace): Run {
    const moved = { ...run, runId: this._nextRunId++, place }
    this._runs.delete(run.runId)
    this._runs.set(moved.runId, moved)
    return moved
  }

  public remove (runId: number): void {
    this._runs.delete(runId)
  }

  public * runsOnTarget (): Generator<Run> {
    for (const run of this._runs.values()) {
      if (run.place === 'target') yield run
    }
  }

  /** Calls that are on the target or waiting for it. */
  public * localRuns (): Generator<Run> {
    for (const run of this._runs.values()) {
      if (run.place !== 'delegate') yield run
    }
  }
}
