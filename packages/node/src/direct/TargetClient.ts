import * as httpClients from '../HttpClients.js'
import * as targetExchange from './TargetExchange.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'
import type * as undici from 'undici'

/** Idle connections are kept until the target closes them or tells another time. */
const KEEP_ALIVE_MS = 8_000
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
  private readonly _pool: undici.Pool

  constructor (private readonly _options: TargetClientOptions) {
    this._pool = new httpClients.Pool(`http://${_options.address}`, {
      connections: _options.maxConnections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MAX_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      // The node ends calls at their deadlines.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this._connector()
    })
  }

  public run (request: services.ITargetRequest, ended: (result: types.RunResult) => void): services.ITargetRun {
    const { dialect, nowMs } = this._options
    const exchange = new targetExchange.TargetExchange({ requestId: request.requestId, dialect, nowMs, ended })
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
