import type * as targetServer from '../standins/TargetServer.js'

/** Outcome that a caller received for one send of a key. */
export type CallerOutcome = 'answered' | 'not-run' | 'unknown' | 'no-answer'

/** Description of a violated invariant, for reports. */
export type Violation = string

/** Compares the runs on targets with the outcomes that callers received. */
export class Ledger {
  private readonly _runsOfKey = new Map<string, string[]>()
  private readonly _runCounts = new Map<string, number>()
  /** Refused keys and the reasons of the refusals. */
  private readonly _refusedKeys = new Map<string, string>()
  private readonly _violations: Violation[] = []
  /** Time of the last run of each target. */
  private readonly _lastRunAtMs = new Map<string, number>()

  /** Number of runs of requests with a key. */
  public get keyedRuns (): number {
    let count = 0
    for (const runs of this._runsOfKey.values()) count += runs.length
    return count
  }

  /** Time at which a target last started a request, in Unix milliseconds; 0 if it never did. */
  public lastRunAtMs (target: string): number {
    return this._lastRunAtMs.get(target) ?? 0
  }

  public get violations (): readonly Violation[] {
    return this._violations
  }

  /** Number of requests that the target has started, with and without a key. */
  public runsOn (target: string): number {
    return this._runCounts.get(target) ?? 0
  }

  public recordRun (event: targetServer.RunEvent): void {
    if (event.kind !== 'run-started') return
    this._runCounts.set(event.target, this.runsOn(event.target) + 1)
    this._lastRunAtMs.set(event.target, event.atMs)
    if (event.key === '') return
    const runs = this._runsOfKey.get(event.key) ?? []
    runs.push(event.target)
    this._runsOfKey.set(event.key, runs)
    if (runs.length > 1) this._violations.push(`key ${event.key} ran ${runs.length} times, on ${runs.join(', ')}`)
  }

  /** Records a refusal: no send of the key so far has run or will run. */
  public recordRefusal (key: string, reason: string): void {
    this._refusedKeys.set(key, reason)
  }

  /** Records a retry of a refused key, which may run from now on. */
  public recordRetry (key: string): void {
    const reason = this._refusedKeys.get(key)
    if (reason === undefined) return
    this._refusedKeys.delete(key)
    if (this._runsOfKey.has(key)) this._violations.push(describeFalseRefusal(key, reason))
  }

  public recordWrongAnswer (key: string, detail: string): void {
    this._violations.push(`key ${key} got an answer that is not its own: ${detail}`)
  }

  /** Checks the refusals against the runs. Call it only when no request is in flight. */
  public check (): readonly Violation[] {
    const falseRefusals = [...this._refusedKeys].filter(([key]) => this._runsOfKey.has(key))
    return [...this._violations, ...falseRefusals.map(([key, reason]) => describeFalseRefusal(key, reason))]
  }
}

function describeFalseRefusal (key: string, reason: string): Violation {
  return `key ${key} was refused as not run (${reason}), but it ran`
}
