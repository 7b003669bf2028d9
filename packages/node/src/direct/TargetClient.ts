import * as httpClients from '../HttpClients.js'
import * as idleLimit from '@elmpost/common/direct/IdleLimit.js'
import * as targetExchange from './TargetExchange.js'
import * as unfinishedAnswers from './UnfinishedAnswers.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'
import type * as undici from 'undici'

/** Longest idle time that a target may tell. */
const KEEP_ALIVE_MAX_MS = 600_000
/** Subtracted from the idle time that the target tells, so that no request meets a closing connection. */
const KEEP_ALIVE_MARGIN_MS = 1_000
const CONNECT_TIMEOUT_MS = 500
/** Code of a reset connection that the HTTP client does not take for the end of an answer. */
const RESET_CODE = 'TARGET_RESET'

export interface TargetClientOptions {
  /** `host:port`. */
  readonly address: string
  readonly maxConnections: number
  readonly dialect: services.ICallDialect
  readonly nowMs: () => base.Millis
}

/** Sends requests to the target, one at a time on each connection. */
export class TargetClient implements services.ITargetClient {
  private readonly _idle = new idleLimit.IdleLimit()
  private readonly _unfinished = new unfinishedAnswers.UnfinishedAnswers()
  private _idleLimitMs: base.Millis
  private _pool: undici.Pool

  constructor (private readonly _options: TargetClientOptions) {
    this._idleLimitMs = this._idle.limitMs(_options.nowMs())
    this._pool = this._openPool()
  }

  public run (request: services.ITargetRequest, ended: (result: types.RunResult) => void): services.ITargetRun {
    const { dialect, nowMs } = this._options
    this._followIdleLimit()
    const exchange = new targetExchange.TargetExchange({
      requestId: request.requestId,
      dialect,
      nowMs,
      unfinished: this._unfinished,
      ended,
      reset: afterMs => { this._idle.reset(afterMs, nowMs()) }
    })
    try {
      this._pool.dispatch({
        path: request.path,
        method: request.method as undici.Dispatcher.HttpMethod,
        headers: [...request.headers],
        body: request.body ?? null
      }, exchange)
    } catch (error) {
      // The library checks the request before it writes anything.
      exchange.onResponseError(null, error as Error)
    }
    return exchange
  }

  public async health (path: string, timeoutMs: base.Millis): Promise<types.TargetHealth | undefined> {
    try {
      const answer = await this._pool.request({ path, method: 'GET', signal: AbortSignal.timeout(timeoutMs) })
      await answer.body.dump()
      return { isHealthy: answer.statusCode === 200, targetId: this._options.dialect.targetIdOf(answer.headers) }
    } catch {
      // No answer is a result of its own; the caller logs it.
      return undefined
    }
  }

  /** Takes no more requests; running ones end on their connections. */
  public close (): void {
    this._pool.close().catch(() => {})
  }

  public dispose (): void {
    this._pool.destroy().catch(() => {})
  }

  /** The idle time of a pool is fixed, so a changed one needs another pool. Running requests end on their connections. */
  private _followIdleLimit (): void {
    const limitMs = this._idle.limitMs(this._options.nowMs())
    if (limitMs === this._idleLimitMs) return
    this._idleLimitMs = limitMs
    this.close()
    this._pool = this._openPool()
  }

  private _openPool (): undici.Pool {
    const { address, maxConnections } = this._options
    return new httpClients.Pool(`http://${address}`, {
      connections: maxConnections,
      pipelining: 1,
      keepAliveTimeout: this._idleLimitMs,
      // Targets may tell a longer time than the usual one.
      keepAliveMaxTimeout: this._idleLimitMs === idleLimit.USUAL_MS ? KEEP_ALIVE_MAX_MS : this._idleLimitMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      // The node ends calls at their deadlines.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this._connector()
    })
  }

  /**
   * An answer without a length ends with its connection. The library takes a reset for such an end too and would give a
   * part of an answer out as the whole, so a reset is reported under another code.
   */
  private _connector (): undici.buildConnector.connector {
    const connect = httpClients.buildConnector({ timeout: CONNECT_TIMEOUT_MS })
    return (options, callback) => {
      connect(options, (...result) => {
        const [, socket] = result
        socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
          if (error.code === 'ECONNRESET') error.code = RESET_CODE
        })
        callback(...result)
      })
    }
  }
}
