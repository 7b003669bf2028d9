import * as targetRegister from '@elmpost/common/direct/TargetRegister.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as types from './Types.js'

/** Runs without an answer that the target may still be working on, and that are remembered. */
const MAX_ABANDONED = 32

/** Whether a target takes a connection. `closed`: it was accepted and closed at once. */
export type ProbeResult = 'up' | 'closed' | 'refused'

/** A request that a target was running. */
export interface CrashedRun {
  readonly call: types.CallMessage
  /** Whether it ran alone, to find out whether it crashes targets. */
  readonly isTrial: boolean
}

export interface TargetCrash {
  /** The same for all parts of one crash. */
  readonly id: string
  readonly target: direct.TargetStart
  readonly runs: readonly CrashedRun[]
}

export interface CrashWatchOptions {
  /** Finds out whether the target takes a connection. */
  readonly probe: (onResult: (result: ProbeResult) => void) => void
  /** Target that calls are sent to; undefined if it is leaving, because its end is no crash then. */
  readonly target: () => direct.TargetStart | undefined
  /** Requests that the target is running, as far as this node knows. */
  readonly running: () => Iterable<CrashedRun>
  readonly newId: () => string
  readonly nowMs: () => base.Millis
  readonly onCrash: (crash: TargetCrash) => void
}

/**
 * Tells the crash of the target from the loss of a single connection: after a crash it takes no connection. Collects the
 * requests that it was running.
 */
export class CrashWatch {
  private readonly _options: CrashWatchOptions
  private readonly _abandoned: { readonly run: CrashedRun, readonly untilMs: base.Millis }[] = []
  private _lost: { readonly run: CrashedRun, readonly onChecked: () => void }[] = []
  private _isChecking = false
  private _crash: TargetCrash | undefined

  constructor (options: CrashWatchOptions) {
    this._options = options
  }

  /** A run has lost its connection. Calls `onChecked` when it is known whether the target has crashed. */
  public handleLost (run: CrashedRun, onChecked: () => void): void {
    this._lost.push({ run, onChecked })
    if (this._isChecking) return
    this._isChecking = true
    const target = this._options.target()
    const running = [...this._options.running()]
    this._options.probe(result => {
      this._isChecking = false
      const lost = this._lost
      this._lost = []
      const lostCalls = new Set(lost.map(entry => entry.run.call))
      // A target that is full closes connections as well, but goes on with its runs.
      const isUp = result === 'up' || (result === 'closed' && running.some(({ call }) => !lostCalls.has(call)))
      if (!isUp) this._report(target, [...running, ...lost.map(entry => entry.run)])
      for (const entry of lost) {
        if (isUp) this.recordAbandoned(entry.run, entry.run.call.remainingMs)
        entry.onChecked()
      }
    })
  }

  /** The target does not accept connections. */
  public handleRefused (): void {
    if (!this._isChecking) this._report(this._options.target(), [])
  }

  /** The call has been given up, and the target may run it for up to `remainingMs`. */
  public recordAbandoned (run: CrashedRun, remainingMs: base.Millis): void {
    const nowMs = this._options.nowMs()
    const kept = this._abandoned.findIndex(({ untilMs }) => untilMs > nowMs)
    this._abandoned.splice(0, kept < 0 ? this._abandoned.length : kept)
    this._abandoned.push({ run, untilMs: nowMs + remainingMs })
    if (this._abandoned.length > MAX_ABANDONED) this._abandoned.shift()
  }

  /** Another start of the target is current, which runs nothing of the earlier one. */
  public handleNewStart (): void {
    this._abandoned.length = 0
  }

  private _report (target: direct.TargetStart | undefined, running: readonly CrashedRun[]): void {
    if (target === undefined) return
    const nowMs = this._options.nowMs()
    const abandoned = this._abandoned.filter(({ untilMs }) => untilMs > nowMs).map(({ run }) => run)
    this._abandoned.length = 0
    const isSame = this._crash !== undefined && targetRegister.isSameStart(this._crash.target, target)
    const known = new Set(isSame ? this._crash?.runs.map(({ call }) => call) : [])
    const runs = [...new Map([...running, ...abandoned].map(run => [run.call, run])).values()].filter(({ call }) => !known.has(call))
    if (runs.length === 0) return
    const id = isSame && this._crash !== undefined ? this._crash.id : this._options.newId()
    this._crash = { id, target, runs: isSame ? [...this._crash?.runs ?? [], ...runs] : runs }
    this._options.onCrash({ id, target, runs })
  }
}
