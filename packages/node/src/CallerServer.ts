import * as addresses from './Addresses.js'
import * as answers from '@elmpost/common/routing/Answers.js'
import * as callerExchange from './CallerExchange.js'
import * as emitter from '@elmpost/common/base/Emitter.js'
import * as headers from './Headers.js'
import * as http from 'node:http'
import * as polka from 'polka'
import * as timers from 'node:timers/promises'
import type * as base from '@elmpost/common/base/Types.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as net from 'node:net'
import type * as routing from '@elmpost/common/routing/Types.js'
import type * as types from './Types.js'

/** Longer than the idle time of common clients, so that the caller closes first and no request meets a closing connection. */
const KEEP_ALIVE_MS = 75_000

/** Bounds the time that callers who keep connecting can hold up a stop; twice the backlog of Node.js. */
const MAX_ACCEPT_TURNS = 1022

/** Added to the announced idle time for the way to the caller and back. */
const IDLE_MARGIN_MS = 500
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
  private readonly _emptied = new emitter.Emitter<void>()
  private _acceptedConnections = 0
  private _openConnections = 0
  private _cutConnections = 0
  private _isCutting = false
  private _idleEnd: Promise<unknown> | undefined

  constructor (options: CallerServerOptions) {
    this._options = options
    // Without middleware polka calls this handler directly for every path.
    const app = polka.default({ server: this._http, onNoMatch: (request, response) => { this._handle(request, response) } })
    this._http.on('connection', socket => { this._opened(socket) })
    this._http.on('request', app.handler.bind(app) as unknown as http.RequestListener)
  }

  public get isClosing (): boolean {
    return this._idleEnd !== undefined
  }

  /** Connections that `closeAll` ended. */
  public get cutConnections (): number {
    return this._cutConnections
  }

  public listen (): Promise<number> {
    return addresses.listen(this._http, this._options.address)
  }

  /**
   * Ends each connection with its next answer, so that callers open theirs elsewhere. Idle connections stay
   * open, because a request may already be on its way on them.
   */
  public beginClosing (): void {
    this._idleEnd ??= timers.setTimeout(callerExchange.ANNOUNCED_IDLE_MS + IDLE_MARGIN_MS, undefined, { ref: false })
  }

  /**
   * Takes no more connections; resolves when the last answer is written. Idle connections stay open until their
   * callers have closed them, at most as long as callers were told.
   */
  public async close (): Promise<void> {
    this.beginClosing()
    if (this._openConnections > 0) await Promise.race([this._idleEnd, new Promise<void>(resolve => { this._emptied.event(resolve) })])
    await this._acceptEstablished()
    await new Promise<void>(resolve => {
      this._http.close(() => { resolve() })
    })
  }

  /** Ends connections whose callers do not take their answers. */
  public closeAll (): void {
    this._isCutting = true
    this._http.closeAllConnections()
  }

  public dispose (): void {
    this._http.close()
    this._http.closeAllConnections()
  }

  /**
   * Closing the socket resets the connections that the kernel has established and the process has not accepted. Node.js
   * accepts one of them in each turn of the event loop. Two turns without any, because the first may have begun after its accept.
   */
  private async _acceptEstablished (): Promise<void> {
    for (let turns = 0, quietTurns = 0; turns < MAX_ACCEPT_TURNS && quietTurns < 2; turns++) {
      const accepted = this._acceptedConnections
      await timers.setImmediate()
      quietTurns = accepted === this._acceptedConnections ? quietTurns + 1 : 0
    }
  }

  private _opened (socket: net.Socket): void {
    this._acceptedConnections += 1
    this._openConnections += 1
    socket.once('close', () => {
      this._openConnections -= 1
      if (this._isCutting) this._cutConnections += 1
      if (this._openConnections === 0) this._emptied.fire()
    })
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
