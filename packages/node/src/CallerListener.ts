import * as addresses from './Addresses.js'
import * as emitter from '@elmpost/common/base/Emitter.js'
import * as http from 'node:http'
import * as polka from 'polka'
import * as timers from 'node:timers/promises'
import type * as base from '@elmpost/common/base/Types.js'
import type * as connectionLimits from './ConnectionLimits.js'
import type * as net from 'node:net'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Limits how long callers that keep connecting can delay a stop. Twice the listen backlog of Node.js. */
const MAX_ACCEPT_TURNS = 1022

/** Added to the advertised idle time for the network round trip to the caller. */
const IDLE_MARGIN_MS = 500

export interface CallerListenerOptions {
  readonly address: types.Address
  /** Binds the server. Undefined: a port that is in use is an error. */
  readonly binder?: services.IServerBinder | undefined
  /** Idle connections are closed after this time. */
  readonly keepAliveMs: base.Millis
  /** Idle time advertised to callers. Idle connections stay open for this time when the listener is closing. */
  readonly closingIdleMs: base.Millis
  readonly handle: (request: http.IncomingMessage, response: http.ServerResponse) => void
  /** Limits of the connections. Undefined: those of Node.js. */
  readonly limits?: connectionLimits.ConnectionLimits | undefined
  /** Called with each connection that is accepted. */
  readonly onAccepted?: (socket: net.Socket) => void
}

/** Listens for the HTTP requests of callers. Every method and path goes to one handler. */
export class CallerListener implements base.IDisposable {
  private readonly _options: CallerListenerOptions
  private readonly _http: http.Server
  private readonly _allClosed = new emitter.Emitter<void>()
  private _acceptedConnections = 0
  private _openConnections = 0
  private _cutConnections = 0
  private _isCutting = false
  private _idleEnd: Promise<unknown> | undefined

  constructor (options: CallerListenerOptions) {
    this._options = options
    const { limits } = options
    this._http = http.createServer({ ...limits?.serverOptions, keepAliveTimeout: options.keepAliveMs, noDelay: true })
    // Without middleware polka calls this handler directly for every path.
    const app = polka.default({ server: this._http, onNoMatch: (request, response) => { options.handle(request, response) } })
    this._http.on('connection', socket => { this._handleConnection(socket) })
    const handle = app.handler.bind(app) as unknown as http.RequestListener
    if (limits === undefined) this._http.on('request', handle)
    // Bodies are bounded by what reads them.
    else limits.attach(this._http, 'callers', 0, handle, Infinity)
  }

  public get isClosing (): boolean {
    return this._idleEnd !== undefined
  }

  public get isListening (): boolean {
    return this._http.listening
  }

  /** Number of connections that `closeAll` ended. */
  public get cutConnections (): number {
    return this._cutConnections
  }

  public setKeepAlive (keepAliveMs: base.Millis): void {
    this._http.keepAliveTimeout = keepAliveMs
  }

  public listen (): Promise<number> {
    return (this._options.binder ?? addresses.immediateBinder).bind(this._http, this._options.address)
  }

  /**
   * Closes each connection after its next answer, so that callers connect to another node. Idle connections stay
   * open, because a request may already be in flight on them.
   */
  public beginClosing (): void {
    this._idleEnd ??= timers.setTimeout(this._options.closingIdleMs + IDLE_MARGIN_MS, undefined, { ref: false })
  }

  /**
   * Stops accepting connections; resolves when the last answer is written. Idle connections stay open until their
   * callers close them, at most for the advertised idle time.
   */
  public async close (): Promise<void> {
    this.beginClosing()
    if (this._openConnections > 0) await Promise.race([this._idleEnd, new Promise<void>(resolve => { this._allClosed.event(resolve) })])
    await this._acceptEstablished()
    await new Promise<void>(resolve => {
      this._http.close(() => { resolve() })
    })
  }

  /** Cuts all connections, for callers that do not read their answers. */
  public closeAll (): void {
    this._isCutting = true
    this._http.closeAllConnections()
  }

  public dispose (): void {
    this._http.close()
    this._http.closeAllConnections()
  }

  /**
   * Accepts the connections that the kernel has established, because closing the socket would reset them. Node.js accepts
   * one in each turn of the event loop. Ends after two turns without one, since the first may have begun after its accept.
   */
  private async _acceptEstablished (): Promise<void> {
    for (let turns = 0, quietTurns = 0; turns < MAX_ACCEPT_TURNS && quietTurns < 2; turns++) {
      const accepted = this._acceptedConnections
      await timers.setImmediate()
      quietTurns = accepted === this._acceptedConnections ? quietTurns + 1 : 0
    }
  }

  private _handleConnection (socket: net.Socket): void {
    this._acceptedConnections += 1
    this._openConnections += 1
    this._options.onAccepted?.(socket)
    socket.once('close', () => {
      this._openConnections -= 1
      if (this._isCutting) this._cutConnections += 1
      if (this._openConnections === 0) this._allClosed.fire()
    })
  }
}
