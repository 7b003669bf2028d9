import * as answers from '@elmpost/common/routing/Answers.js'
import * as bodyReader from './BodyReader.js'
import * as callerExchange from './CallerExchange.js'
import * as callerListener from './CallerListener.js'
import * as headers from './Headers.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as http from 'node:http'
import type * as routing from '@elmpost/common/routing/Types.js'
import type * as types from './Types.js'

/** Longer than the idle time of common clients, so that the caller closes first and sends no request on a closing connection. */
const KEEP_ALIVE_MS = 75_000

const WHOLE_NUMBER = /^\d{1,12}$/

export interface CallerServerOptions {
  readonly address: types.Address
  readonly owner: callerExchange.IExchangeOwner
  /** Largest body that any route accepts; undefined without a configuration. */
  readonly maxBodyBytes: () => number | undefined
}

/** Accepts calls over HTTP. Every method and path is matched against the routes of the configuration. */
export class CallerServer implements callerExchange.IExchangeServer, base.IDisposable {
  private readonly _options: CallerServerOptions
  private readonly _listener: callerListener.CallerListener

  constructor (options: CallerServerOptions) {
    this._options = options
    this._listener = new callerListener.CallerListener({
      address: options.address,
      keepAliveMs: KEEP_ALIVE_MS,
      closingIdleMs: callerExchange.ADVERTISED_IDLE_MS,
      handle: (request, response) => { this._handleRequest(request, response) }
    })
  }

  public get isClosing (): boolean {
    return this._listener.isClosing
  }

  /** Number of connections that `closeAll` ended. */
  public get cutConnections (): number {
    return this._listener.cutConnections
  }

  public listen (): Promise<number> {
    return this._listener.listen()
  }

  /** Closes each connection after its next answer, so that callers connect to another node. */
  public beginClosing (): void {
    this._listener.beginClosing()
  }

  /** Stops accepting connections; resolves when the last answer is written. */
  public close (): Promise<void> {
    return this._listener.close()
  }

  /** Cuts all connections, for callers that do not read their answers. */
  public closeAll (): void {
    this._listener.closeAll()
  }

  public dispose (): void {
    this._listener.dispose()
  }

  private _handleRequest (request: http.IncomingMessage, response: http.ServerResponse): void {
    const exchange = new callerExchange.CallerExchange(response, this._options.owner, this)
    bodyReader.readBody(request, this._options.maxBodyBytes(), {
      onComplete: body => { this._begin(request, exchange, body) },
      onTooLarge: () => { this._refuseBody(request, exchange) }
    })
  }

  private _begin (request: http.IncomingMessage, exchange: callerExchange.CallerExchange, body: Buffer | undefined): void {
    const entryRequest = toEntryRequest(request, body)
    if (entryRequest === undefined) refuse(request, exchange, 'bad-request', false)
    else exchange.begin(entryRequest)
  }

  /** Also closes the connection: it cannot be reused, because the rest of the body is not read. */
  private _refuseBody (request: http.IncomingMessage, exchange: callerExchange.CallerExchange): void {
    refuse(request, exchange, this._options.maxBodyBytes() === undefined ? 'no-configuration' : 'body-too-large', true)
    request.resume()
  }
}

function refuse (request: http.IncomingMessage, exchange: callerExchange.CallerExchange, reason: hosting.OutcomeReason, closes: boolean): void {
  exchange.refuse(request.method ?? 'GET', answers.refusalAtEntry(reason, keyOf(request)), closes)
}

function keyOf (request: http.IncomingMessage): string | undefined {
  const key = request.headers[headers.KEY_HEADER]
  return typeof key === 'string' ? key : undefined
}

/** Undefined if one of elmpost's own headers is not a whole number. */
function toEntryRequest (request: http.IncomingMessage, body: Buffer | undefined): routing.EntryRequest | undefined {
  const received = request.headers
  const remainingMs = wholeNumberOf(received[headers.DEADLINE_HEADER])
  const depth = wholeNumberOf(received[headers.DEPTH_HEADER])
  const attempt = wholeNumberOf(received[headers.ATTEMPT_HEADER])
  if (Number.isNaN(remainingMs) || Number.isNaN(depth) || Number.isNaN(attempt)) return undefined
  return {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: headers.forwardable(received),
    body,
    remainingMs,
    key: keyOf(request),
    depth: depth ?? 0,
    attempt: attempt ?? 1
  }
}

/** NaN if the value is not a whole number. */
function wholeNumberOf (value: string | string[] | undefined): number | undefined {
  if (value === undefined) return undefined
  return typeof value === 'string' && WHOLE_NUMBER.test(value) ? Number(value) : NaN
}
