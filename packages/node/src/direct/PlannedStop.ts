import type * as base from '@elmpost/common/base/Types.js'
import type * as nodeServices from '../Services.js'

/** Callers are sent elsewhere after two questions for readiness, one second apart. Later calls are taken if they end in time. */
const ACCEPT_MS = 2_500
/** Callers that have not come for this time are taken to have gone elsewhere. */
const QUIET_MS = 600
/** The target takes calls of other nodes for this time, which leaves enough for the last ones to end. */
const TARGET_MS = 1_000
/** Left between the end of a stop and the end of the grace. */
const MARGIN_MS = 500

export interface PlannedStopOptions {
  /** Longest time from the signal until the process has to be gone. */
  readonly graceMs: base.Millis
  readonly nowMs: () => base.Millis
  readonly logger: nodeServices.ILogger
  /** Calls that have no final answer. */
  readonly inFlight: () => number
  /** When the last call of a caller came. */
  readonly lastCallAtMs: () => base.Millis
  /** Resolves when no caller is connected any more. */
  readonly closeCallers: () => Promise<void>
  readonly finished: () => void
  /** The target takes no more calls from now on. */
  readonly targetClosed: () => void
}

/** Ends a node without cutting a call: it goes on until callers have learned of the stop and the last call has its answer. */
export class PlannedStop {
  private _sinceMs: base.Millis | undefined
  private _hasClosedTarget = false
  private _isFinishing = false

  constructor (private readonly _options: PlannedStopOptions) {}

  public get hasBegun (): boolean {
    return this._sinceMs !== undefined
  }

  /** Whether the target beside the node takes no more calls, because the way to it ends with the process. */
  public get closesTarget (): boolean {
    return this._sinceMs !== undefined && this._options.nowMs() - this._sinceMs >= TARGET_MS
  }

  /** Calls that may last longer than this are refused, so that none is cut. Infinite while all calls are taken. */
  public get callsEndByMs (): base.Millis {
    const { graceMs, nowMs } = this._options
    if (this._sinceMs === undefined || nowMs() - this._sinceMs < ACCEPT_MS) return Infinity
    return this._sinceMs + graceMs - MARGIN_MS
  }

  public begin (): void {
    this._sinceMs = this._options.nowMs()
    this._options.logger.log('info', 'stopping', { inFlight: this._options.inFlight() })
  }

  public tick (): void {
    if (this._sinceMs === undefined || this._isFinishing) return
    const { graceMs, nowMs, inFlight, lastCallAtMs, logger } = this._options
    const elapsedMs = nowMs() - this._sinceMs
    const isQuiet = elapsedMs >= ACCEPT_MS && nowMs() - lastCallAtMs() >= QUIET_MS
    if (this.closesTarget && !this._hasClosedTarget) {
      this._hasClosedTarget = true
      this._options.targetClosed()
    }
    const isIdle = inFlight() === 0
    if (elapsedMs < graceMs - MARGIN_MS && !(isQuiet && isIdle)) return
    this._isFinishing = true
    logger.log(isIdle ? 'info' : 'warn', 'stopped', { inFlight: inFlight() })
    // Callers may still send on open connections until these are closed, and their calls must end as well.
    const closeWithinMs = isIdle ? Math.max(0, graceMs - MARGIN_MS - elapsedMs) : 0
    this._finish(closeWithinMs).catch((error: unknown) => { logger.log('error', 'unexpected-error', { problem: String(error) }) })
  }

  private async _finish (closeWithinMs: base.Millis): Promise<void> {
    await Promise.race([this._options.closeCallers(), new Promise(resolve => { setTimeout(resolve, closeWithinMs) })])
    this._options.finished()
  }
}
