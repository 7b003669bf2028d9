import type * as targetServer from '../standins/TargetServer.js'

/** What a caller was told about one send of a key. */
export type CallerOutcome = 'answered' | 'not-run' | 'unknown' | 'no-answer'

/** Violation of an invariant, in words for the report. */
export type Violation = string

/** Compares what targets ran with what callers were told. */
export class Ledger {
  private readonly _runsOfKey = new Map<string, string[]>()
  private readonly _runCounts = new Map<string, number>()
  /** Refused keys with the reason given. */
  private readonly _refusedKeys = new Map<string, string>()
  private readonly _violations: Violation[] = []
  /** Time of the last run of each target. */
  private readonly _lastRunAtMs = new Map<string, number>()

  /** Runs of requests with a key. */
  public get keyedRuns (): number {
    let count = 0
    for (const runs of this._runsOfKey.values()) count += runs.length
    return count
  }

  /** Time at which a target last began a request; 0 if it never did. */
  public lastRunAtMs (target: string): number {
    return this._lastRunAtMs.get(target) ?? 0
  }

  public get violations (): readonly Violation[] {
    return this._violations
  }

  /** Requests that the target has started, with and without a key. */
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

  /** The caller was told that no send so far has run or will run. */
  public recordRefusal (key: string, reason: string): void {
    this._refusedKeys.set(key, reason)
  }

  /** The caller sends a refused key again, so from now on it may run. */
  public recordResend (key: string): void {
    const reason = this._refusedKeys.get(key)
    if (reason === undefined) return
    this._refusedKeys.delete(key)
    if (this._runsOfKey.has(key)) this._violations.push(falseRefusal(key, reason))
  }

  public recordWrongAnswer (key: string, detail: string): void {
    this._violations.push(`key ${key} got an answer that is not its own: ${detail}`)
  }

  /** Checks refusals against the runs. Call it when nothing is in flight any more. */
  public check (): readonly Violation[] {
    const falseRefusals = [...this._refusedKeys].filter(([key]) => this._runsOfKey.has(key))
    return [...this._violations, ...falseRefusals.map(([key, reason]) => falseRefusal(key, reason))]
  }
}

function falseRefusal (key: string, reason: string): Violation {
  return `key ${key} was refused as not run (${reason}), but it ran`
}
