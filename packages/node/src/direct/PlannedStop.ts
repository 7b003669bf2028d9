import type * as base from '@elmpost/common/base/Types.js'
import type * as nodeServices from '../Services.js'

/** Callers go elsewhere after two failed readiness checks, one second apart. Later calls are accepted only if they end in time. */
const ACCEPT_MS = 2_500
/** After this time without a call, callers are assumed to have gone elsewhere. */
const CALLER_QUIET_MS = 600
/** The target takes calls of other nodes for this time, which leaves the last of them enough time to end. */
const TARGET_ACCEPT_MS = 1_000
/** Time between the end of the stop and the end of the grace period. */
const MARGIN_MS = 500
/** Time in which the last answers reach their callers. */
const FLUSH_MS = 150

export interface PlannedStopOptions {
  /** Longest time from the stop signal until the process must have exited. */
  readonly graceMs: base.Millis
  readonly nowMs: () => base.Millis
  readonly logger: nodeServices.ILogger
  /** Number of calls without a final answer. */
  readonly inFlight: () => number
  /** Time at which the last call of a caller arrived. */
  readonly lastCallAtMs: () => base.Millis
  /** Resolves when no caller is connected any more. */
  readonly closeCallers: () => Promise<void>
  /** Gives all requests that are left their final answers. */
  readonly answerAll: () => void
  readonly onFinished: () => void
  /** Called when the target stops taking calls of other nodes. */
  readonly onTargetClosed: () => void
}

/** Stops a node without interrupting calls: it runs until callers have noticed the stop and the last call has its answer. */
export class PlannedStop {
  private _sinceMs: base.Millis | undefined
  private _isTargetClosed = false
  private _isFinishing = false

  constructor (private readonly _options: PlannedStopOptions) {}

  public get hasBegun (): boolean {
    return this._sinceMs !== undefined
  }

  /** Whether the target beside the node takes no more calls, because it cannot be reached without this process. */
  public get closesTarget (): boolean {
    return this._sinceMs !== undefined && this._options.nowMs() - this._sinceMs >= TARGET_ACCEPT_MS
  }

  /** Time by which all calls must have their answers. Infinite while no stop has begun. */
  public get endsAtMs (): base.Millis {
    return this._sinceMs === undefined ? Infinity : this._sinceMs + this._options.graceMs - MARGIN_MS
  }

  /** Calls that may run past this time are refused, so that none is interrupted. Infinite while all calls are accepted. */
  public get callsEndByMs (): base.Millis {
    if (this._sinceMs === undefined || this._options.nowMs() - this._sinceMs < ACCEPT_MS) return Infinity
    return this.endsAtMs
  }

  public begin (): void {
    this._sinceMs = this._options.nowMs()
    this._options.logger.log('info', 'stopping', { inFlight: this._options.inFlight() })
  }

  public tick (): void {
    if (this._sinceMs === undefined || this._isFinishing) return
    const { graceMs, nowMs, inFlight, lastCallAtMs, logger } = this._options
    const elapsedMs = nowMs() - this._sinceMs
    const isQuiet = elapsedMs >= ACCEPT_MS && nowMs() - lastCallAtMs() >= CALLER_QUIET_MS
    if (this.closesTarget && !this._isTargetClosed) {
      this._isTargetClosed = true
      this._options.onTargetClosed()
    }
    const isIdle = inFlight() === 0
    if (elapsedMs < graceMs - MARGIN_MS && !(isQuiet && isIdle)) return
    this._isFinishing = true
    logger.log(isIdle ? 'info' : 'warn', 'stopped', { inFlight: inFlight() })
    // Callers may send on open connections until these are closed, and those calls must end as well.
    const closeWithinMs = Math.max(0, graceMs - MARGIN_MS - elapsedMs)
    this._finish(closeWithinMs).catch((error: unknown) => { logger.log('error', 'unexpected-error', { problem: String(error) }) })
  }

  private async _finish (closeWithinMs: base.Millis): Promise<void> {
    const closed = this._options.closeCallers()
    await Promise.race([closed, new Promise(resolve => { setTimeout(resolve, closeWithinMs) })])
    this._options.answerAll()
    await Promise.race([closed, new Promise(resolve => { setTimeout(resolve, FLUSH_MS) })])
    this._options.onFinished()
  }
}
