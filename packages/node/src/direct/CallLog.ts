import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as nodeServices from '../Services.js'
import type * as nodeTypes from '../Types.js'

/** Lines of one event in a second; the rest are counted and told in one line. */
const MAX_LINES_PER_S = 20
const WINDOW_MS = 1000

/** Log lines about calls, with a bound for each event so that their volume does not grow with the load. */
export class CallLog {
  private readonly _written = new Map<string, number>()
  private readonly _left = new Map<string, number>()
  private _windowEndsAtMs = 0

  constructor (private readonly _logger: nodeServices.ILogger, private readonly _nowMs: () => base.Millis) {}

  public log (level: nodeTypes.LogLevel, event: string, context: nodeTypes.LogContext): void {
    this._roll()
    const written = this._written.get(event) ?? 0
    if (written >= MAX_LINES_PER_S) {
      this._left.set(event, (this._left.get(event) ?? 0) + 1)
      return
    }
    this._written.set(event, written + 1)
    this._logger.log(level, event, context)
  }

  /** A call that had reached a target, or may have, is sent again, or may not be. */
  public retry (requestId: string | undefined, { service, route, cause, isAllowed, view }: direct.RetryDecided): void {
    const { firstSends, retries, callsBelow, nodeCount, lifeMs } = view
    const counts = { firstSends, retries, callsBelow, nodeCount, lifeMs: Math.round(lifeMs) }
    this.log('info', isAllowed ? 'call-retry' : 'call-retry-denied', { requestId, service, route, cause, ...counts })
  }

  /** Tells how many lines were left out. Called each tick, so that the last count is not held back. */
  public tick (): void {
    this._roll()
  }

  private _roll (): void {
    const nowMs = this._nowMs()
    if (nowMs < this._windowEndsAtMs) return
    this._windowEndsAtMs = nowMs + WINDOW_MS
    this._written.clear()
    for (const [omitted, count] of this._left) this._logger.log('info', 'lines-omitted', { omitted, count })
    this._left.clear()
  }
}
