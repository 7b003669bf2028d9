import * as blockBody from '../BlockBody.js'
import * as answerStatus from '@elmpost/common/direct/AnswerStatus.js'
import * as httpClients from '../HttpClients.js'
import * as idleLimit from '@elmpost/common/direct/IdleLimit.js'
import * as targetExchange from './TargetExchange.js'
import * as unfinishedAnswers from './UnfinishedAnswers.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'
import type * as undici from 'undici'

/** Upper bound of the idle time that a target may announce in its `Keep-Alive` header. */
const KEEP_ALIVE_MAX_MS = 600_000
/** Subtracted from the idle time that the target announces, so that no request is written to a connection that the target is closing. */
const KEEP_ALIVE_MARGIN_MS = 1_000
const CONNECT_TIMEOUT_MS = 500
/** Connections for single requests. */
const SINGLE_USE_CONNECTIONS = 2
/** Refused requests that are remembered. A target repeats a refusal soon or never. */
const MAX_REFUSED_IDS = 1_000
const NO_NOTICE: direct.TargetNotice = { maxCallsPerS: Infinity, isLeaving: false }

export interface TargetClientOptions {
  /** `host:port`. */
  readonly address: string
  readonly maxConnections: number
  readonly dialect: services.ICallDialect
  readonly nowMs: () => base.Millis
}

/** Sends requests to the target, one at a time on each connection. */
export class TargetClient implements services.ITargetClient {
  private readonly _idleLimit = new idleLimit.IdleLimit()
  private readonly _unfinished = new unfinishedAnswers.UnfinishedAnswers()
  private _idleLimitMs: base.Millis
  private _pool: undici.Pool
  /** Opens a connection for each request, so that nothing on it can belong to an earlier one. */
  private readonly _singleUse: undici.Pool
  /** Ids of requests that the target has refused, oldest first. */
  private readonly _refusedIds = new Set<string>()

  constructor (private readonly _options: TargetClientOptions) {
    this._idleLimitMs = this._idleLimit.limitMs(_options.nowMs())
    this._pool = this._createPool()
    this._singleUse = new httpClients.Pool(`http://${_options.address}`, { connections: SINGLE_USE_CONNECTIONS, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: httpClients.connectToTarget(CONNECT_TIMEOUT_MS) })
  }

  public run (request: services.ITargetRequest, onEnd: (result: types.RunResult) => void, onNotice: (notice: direct.TargetNotice) => void): services.ITargetRun {
    const { dialect, nowMs } = this._options
    this._applyIdleLimit()
    const exchange = new targetExchange.TargetExchange({
      requestId: request.requestId,
      isExpired: () => request.isExpired(),
      dialect,
      nowMs,
      unfinished: this._unfinished,
      onEnd: result => {
        if (result.kind === 'declined') this._rememberRefusal(request.requestId)
        onEnd(result)
      },
      onNotice,
      onReset: afterMs => { this._idleLimit.recordReset(afterMs, nowMs()) }
    })
    // The target may write its refusal once more, and the id would not tell it from the answer to this request.
    const wasRefused = this._refusedIds.has(request.requestId)
    try {
      (wasRefused ? this._singleUse : this._pool).dispatch({
        path: request.path,
        method: request.method as undici.Dispatcher.HttpMethod,
        headers: headersOf(request),
        body: bodyOf(request.body),
        reset: wasRefused
      }, exchange)
    } catch (error) {
      // The HTTP client validates the request before it writes anything.
      exchange.onResponseError(null, error as Error)
    }
    return exchange
  }

  public async health (path: string, timeoutMs: base.Millis): Promise<types.TargetHealth | undefined> {
    try {
      const answer = await this._singleUse.request({ path, method: 'GET', reset: true, signal: AbortSignal.timeout(timeoutMs) })
      await answer.body.dump()
      const { dialect } = this._options
      // The answer to a call, or no valid one, which says nothing of the health.
      if (!answerStatus.isFinal(answer.statusCode) || dialect.readAnswer(answer.statusCode, answer.headers).requestId !== undefined) return { isHealthy: false, targetId: undefined, notice: NO_NOTICE }
      const headers = Object.entries(answer.headers).flatMap(([name, value]) => [name, String(value)])
      return { isHealthy: answer.statusCode === 200, targetId: dialect.targetIdOf(answer.headers), notice: dialect.readNotice(headers) }
    } catch {
      // No answer is a valid result; the caller logs it.
      return undefined
    }
  }

  /** Accepts no more requests; running ones end on their connections. */
  public close (): void {
    for (const pool of [this._pool, this._singleUse]) pool.close().catch(() => {})
  }

  public dispose (): void {
    for (const pool of [this._pool, this._singleUse]) pool.destroy().catch(() => {})
  }

  private _rememberRefusal (requestId: string): void {
    if (requestId === '') return
    this._refusedIds.add(requestId)
    const [oldest] = this._refusedIds
    if (oldest !== undefined && this._refusedIds.size > MAX_REFUSED_IDS) this._refusedIds.delete(oldest)
  }

  /** Replaces the pool if the idle limit has changed, because a pool's idle time is fixed. Running requests end on their connections. */
  private _applyIdleLimit (): void {
    const limitMs = this._idleLimit.limitMs(this._options.nowMs())
    if (limitMs === this._idleLimitMs) return
    this._idleLimitMs = limitMs
    this._pool.close().catch(() => {})
    this._pool = this._createPool()
  }

  private _createPool (): undici.Pool {
    const { address, maxConnections } = this._options
    return new httpClients.Pool(`http://${address}`, {
      connections: maxConnections,
      pipelining: 1,
      keepAliveTimeout: this._idleLimitMs,
      // Targets may announce a longer idle time than the default.
      keepAliveMaxTimeout: this._idleLimitMs === idleLimit.DEFAULT_LIMIT_MS ? KEEP_ALIVE_MAX_MS : this._idleLimitMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      // The node ends calls at their deadlines.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: httpClients.connectToTarget(CONNECT_TIMEOUT_MS)
    })
  }
}

/** The HTTP client needs to be told the length of a body in blocks. */
function headersOf ({ headers, body }: services.ITargetRequest): string[] {
  return body instanceof blockBody.BlockBody ? [...headers, 'content-length', String(body.length)] : [...headers]
}

/** The HTTP client takes any iterable for a body, which its types do not tell. */
function bodyOf (body: blockBody.Body | undefined): Uint8Array | null {
  return (body instanceof blockBody.BlockBody ? body.blocks as Iterable<Uint8Array> as Uint8Array : body) ?? null
}
