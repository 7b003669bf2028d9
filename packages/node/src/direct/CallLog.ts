import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as nodeServices from '../Services.js'
import type * as nodeTypes from '../Types.js'

/** Most lines of one event per window; further ones are counted and reported in a single line. */
const MAX_LINES_PER_S = 20
const WINDOW_MS = 1000

/** Writes log lines about calls, rate-limited per event so that the log volume does not grow with the load. */
export class CallLog {
  private readonly _written = new Map<string, number>()
  private readonly _omitted = new Map<string, number>()
  private _windowEndsAtMs = 0

  constructor (private readonly _logger: nodeServices.ILogger, private readonly _nowMs: () => base.Millis) {}

  public log (level: nodeTypes.LogLevel, event: string, context: nodeTypes.LogContext): void {
    this._startWindowIfDue()
    const written = this._written.get(event) ?? 0
    if (written >= MAX_LINES_PER_S) {
      this._omitted.set(event, (this._omitted.get(event) ?? 0) + 1)
      return
    }
    this._written.set(event, written + 1)
    this._logger.log(level, event, context)
  }

  /** Logs the decision to retry, or not to retry, a call that reached a target or may have reached one. */
  public logRetry (requestId: string | undefined, { service, route, cause, isAllowed, view }: direct.RetryDecided): void {
    const { firstSends, retries, callsBelow, nodeCount, lifeMs } = view
    const counts = { firstSends, retries, callsBelow, nodeCount, lifeMs: Math.round(lifeMs) }
    this.log('info', isAllowed ? 'call-retry' : 'call-retry-denied', { requestId, service, route, cause, ...counts })
  }

  /** Logs how many lines were omitted. Called on each tick, so that the last count is reported without further calls. */
  public tick (): void {
    this._startWindowIfDue()
  }

  private _startWindowIfDue (): void {
    const nowMs = this._nowMs()
    if (nowMs < this._windowEndsAtMs) return
    this._windowEndsAtMs = nowMs + WINDOW_MS
    this._written.clear()
    for (const [omitted, count] of this._omitted) this._logger.log('info', 'lines-omitted', { omitted, count })
    this._omitted.clear()
  }
}
