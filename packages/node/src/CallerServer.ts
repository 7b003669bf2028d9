import * as addresses from './Addresses.js'
import * as answers from '@elmpost/common/routing/Answers.js'
import * as callerExchange from './CallerExchange.js'
import * as headers from './Headers.js'
import * as http from 'node:http'
import * as polka from 'polka'
import type * as base from '@elmpost/common/base/Types.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as routing from '@elmpost/common/routing/Types.js'
import type * as types from './Types.js'

/** Longer than the idle time of common clients, so that the caller closes first and no request meets a closing connection. */
const KEEP_ALIVE_MS = 75_000
const WHOLE_NUMBER = /^\d{1,12}$/

export interface CallerServerOptions {
  readonly address: types.Address
  readonly owner: callerExchange.IExchangeOwner
  /** Largest body that any route takes; undefined without a configuration. */
  readonly maxBodyBytes: () => number | undefined
}

/** Takes calls over HTTP. Every method and path belongs to the configuration's routes. */
export class CallerServer implements callerExchange.IExchangeServer, base.IDisposable {
  private readonly _options: CallerServerOptions
  private readonly _http = http.createServer({ keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true })
  private _isClosing = false

  constructor (options: CallerServerOptions) {
    this._options = options
    // Without middleware polka calls this handler directly for every path.
    const app = polka.default({ server: this._http, onNoMatch: (request, response) => { this._handle(request, response) } })
    this._http.on('request', app.handler.bind(app) as unknown as http.RequestListener)
  }

  public get isClosing (): boolean {
    return this._isClosing
  }

  public listen (): Promise<number> {
    return addresses.listen(this._http, this._options.address)
  }

  /**
   * Ends each connection with its next answer, so that callers open theirs elsewhere. Idle connections stay
   * open, because a request may already be on its way on them.
   */
  public beginClosing (): void {
    this._isClosing = true
  }

  /** Takes no more connections; resolves when the last answer is written. */
  public async close (): Promise<void> {
    this.beginClosing()
    await new Promise<void>(resolve => {
      this._http.close(() => { resolve() })
    })
  }

  /** Ends connections whose callers do not take their answers. */
  public closeAll (): void {
    this._http.closeAllConnections()
  }

  public dispose (): void {
    this._http.close()
    this._http.closeAllConnections()
  }

  private _handle (request: http.IncomingMessage, response: http.ServerResponse): void {
    const exchange = new callerExchange.CallerExchange(response, this._options.owner, this)
    const lengthBytes = Number(request.headers['content-length'] ?? 0)
    const maxBytes = this._options.maxBodyBytes()
    if (lengthBytes === 0 && request.headers['transfer-encoding'] === undefined) this._begin(request, exchange, undefined)
    else if (maxBytes === undefined || lengthBytes > maxBytes) this._refuseBody(request, exchange)
    else this._readBody(request, exchange, lengthBytes, maxBytes)
  }

  private _readBody (request: http.IncomingMessage, exchange: callerExchange.CallerExchange, lengthBytes: number, maxBytes: number): void {
    const parts: Buffer[] = []
    let sizeBytes = 0
    request.on('data', (part: Buffer) => {
      sizeBytes += part.length
      if (sizeBytes > maxBytes) {
        request.removeAllListeners('data').removeAllListeners('end')
        this._refuseBody(request, exchange)
        return
      }
      parts.push(part)
      // The body is complete without waiting for `end`, which comes one event later.
      if (lengthBytes > 0 && sizeBytes === lengthBytes) this._begin(request, exchange, join(parts, sizeBytes))
    })
    if (lengthBytes === 0) request.on('end', () => { this._begin(request, exchange, join(parts, sizeBytes)) })
  }

  private _begin (request: http.IncomingMessage, exchange: callerExchange.CallerExchange, body: Buffer | undefined): void {
    const entryRequest = toEntryRequest(request, body)
    if (entryRequest === undefined) refuse(request, exchange, 'bad-request', false)
    else exchange.begin(entryRequest)
  }

  /** The rest of the body is not read, so the connection cannot be used again. */
  private _refuseBody (request: http.IncomingMessage, exchange: callerExchange.CallerExchange): void {
    refuse(request, exchange, this._options.maxBodyBytes() === undefined ? 'no-configuration' : 'body-too-large', true)
    request.resume()
  }
}

function refuse (request: http.IncomingMessage, exchange: callerExchange.CallerExchange, reason: hosting.OutcomeReason, closes: boolean): void {
  exchange.refuse(request.method ?? 'GET', answers.atEntry(reason, keyOf(request)), closes)
}

function keyOf (request: http.IncomingMessage): string | undefined {
  const key = request.headers[headers.KEY_HEADER]
  return typeof key === 'string' ? key : undefined
}

function join (parts: readonly Buffer[], sizeBytes: number): Buffer | undefined {
  return parts.length <= 1 ? parts[0] : Buffer.concat(parts, sizeBytes)
}

/** Undefined if one of elmpost's own headers is not a whole number. */
function toEntryRequest (request: http.IncomingMessage, body: Buffer | undefined): routing.EntryRequest | undefined {
  const received = request.headers
  const remainingMs = numberOf(received[headers.DEADLINE_HEADER])
  const depth = numberOf(received[headers.DEPTH_HEADER])
  const attempt = numberOf(received[headers.ATTEMPT_HEADER])
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

function numberOf (value: string | string[] | undefined): number | undefined {
  if (value === undefined) return undefined
  return typeof value === 'string' && WHOLE_NUMBER.test(value) ? Number(value) : NaN
}
