import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as entryGate from './EntryGate.js'
import type * as linkTraffic from './LinkTraffic.js'
import type * as nodeServices from '../Services.js'
import type * as nodeTypes from '../Types.js'
import type * as types from './Types.js'

/** Most lines of one event per window; further ones are counted and reported in a single line. */
const MAX_LINES_PER_S = 20
const WINDOW_MS = 1000
const TRAFFIC_INTERVAL_MS = 5_000
/** Connections that may have waited to be accepted for longer than this are logged. */
const LOGGED_ACCEPT_WAIT_MS = 50

/** What a node knew when it put a configuration into force. Ages are Infinity if they are not known. */
export interface VersionAges {
  /** Since another node was known to enforce a newer version. */
  readonly behindMs: base.Millis
  /** Since the store last answered this node. */
  readonly storeAgeMs: base.Millis
  /** Since the version in force before is known to have been the newest one. */
  readonly confirmedAgeMs: base.Millis
}

/** Writes log lines about calls, rate-limited per event so that the log volume does not grow with the load. */
export class CallLog {
  private readonly _written = new Map<string, number>()
  private readonly _omitted = new Map<string, number>()
  private _windowEndsAtMs = 0
  private _trafficDueAtMs: base.Millis = 0

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

  /** Logs how a call ended. Answers of the first target, other than errors, are only counted. */
  public logEnd ({ requestId, remainingMs }: types.CallerRequestInfo, end: entryGate.CallEnd): void {
    const { outcome, reason, status, totalMs, callerWaitMs, origin, rule, customer, nodeId, sends, retryAfterMs, seen } = end
    if (outcome === 'answered' && status < 500 && sends === 1) return
    this.log(outcome === 'fail' ? 'warn' : 'info', `call-${outcome}`, {
      requestId,
      reason,
      status,
      route: rule?.name,
      priority: rule?.priority,
      customer,
      origin,
      peer: nodeId,
      sends,
      totalMs: Math.round(totalMs),
      callerWaitMs: Math.round(callerWaitMs),
      retryAfterMs: Math.round(retryAfterMs),
      targets: seen?.targets,
      slots: seen?.slots,
      freeSlots: seen?.free,
      budgetMs: remainingMs
    })
  }

  /** Logs a call whose caller has disconnected. */
  public logCancelled ({ requestId, remainingMs }: types.CallerRequestInfo, { rule, nodeId, sends, totalMs }: entryGate.CancelledCall): void {
    this.log('info', 'call-cancelled', { requestId, route: rule?.name, peer: nodeId, sends, totalMs: Math.round(totalMs), budgetMs: remainingMs })
  }

  /** Logs that connections of callers were accepted late. */
  public logAccepts (waitMs: base.Millis, connections: number): void {
    if (waitMs > LOGGED_ACCEPT_WAIT_MS) this.log('warn', 'accepted-late', { waitMs: Math.round(waitMs), connections })
  }

  /** Logs a configuration that is in force now. Never omitted. */
  public logEnforced ({ version, routes }: direct.MeshRules, source: string, { behindMs, storeAgeMs, confirmedAgeMs }: VersionAges): void {
    this._logger.log('info', 'enforced', { enforcedVersion: version, routes: routes.length, source, behindMs: roundedAge(behindMs), storeAgeMs: roundedAge(storeAgeMs), confirmedAgeMs: roundedAge(confirmedAgeMs) })
  }

  /** Logs how many lines were omitted, also without further calls, and what the links to other nodes carry. */
  public tick (traffic: linkTraffic.LinkTraffic): void {
    this._startWindowIfDue()
    this._logTraffic(traffic)
  }

  private _logTraffic (traffic: linkTraffic.LinkTraffic): void {
    if (this._nowMs() < this._trafficDueAtMs) return
    this._trafficDueAtMs = this._nowMs() + TRAFFIC_INTERVAL_MS
    const { sentBytes, receivedBytes, maxCallDelayMs, meanCallDelayMs, maxBacklogBytes } = traffic.takeSummary()
    const delays = { maxCallDelayMs: Math.round(maxCallDelayMs), meanCallDelayMs: Math.round(meanCallDelayMs) }
    this._logger.log('info', 'link-use', { sent: textOf(sentBytes), received: textOf(receivedBytes), maxBacklogBytes, ...delays })
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

function textOf (bytes: linkTraffic.KindBytes): string {
  return Object.entries(bytes).map(([kind, count]) => `${kind}=${count}`).join(' ')
}

/** An age for a log line; undefined if it is not known. */
export function roundedAge (ageMs: base.Millis): base.Millis | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined
}
