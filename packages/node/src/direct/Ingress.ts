import * as acceptStreaks from '../AcceptStreak.js'
import * as bodyReader from '../BodyReader.js'
import * as callerConnections from './CallerConnections.js'
import * as callerListener from '../CallerListener.js'
import * as readAheads from '../ReadAhead.js'
import * as reasons from './Reasons.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as blockBody from '../BlockBody.js'
import type * as bodyMemory from './BodyMemory.js'
import type * as connectionLimits from '../ConnectionLimits.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as http from 'node:http'
import type * as net from 'node:net'
import type * as services from './Services.js'
import type * as nodeServices from '../Services.js'
import type * as nodeTypes from '../Types.js'
import type * as types from './Types.js'

/** Idle time of caller connections before a configuration sets one. */
const DEFAULT_IDLE_MS = 60_000
/** Added to the idle time of the configuration, so that callers close idle connections before the node does. */
const IDLE_MARGIN_MS = 2_000
/** During a stop, idle connections stay open for this time, because requests may be in transit. */
const CLOSING_IDLE_MS = 300
/** Limit of request bodies before a configuration sets one. */
const DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024
const MS_PER_S = 1000
/** Wait of a caller whose body did not fit into the memory, or did not arrive in time. Most calls that hold memory have ended by then. */
const BODY_RETRY_MS = 500
/** A caller's close stands behind its request, and Node.js reads it one turn of the event loop later. */
const READ_AHEAD_TURNS = 2

export interface IngressOptions {
  readonly address: nodeTypes.Address
  /** Binds the server. Undefined: a port that is in use is an error. */
  readonly binder?: nodeServices.IServerBinder | undefined
  readonly limits?: connectionLimits.ConnectionLimits | undefined
  readonly bodies: bodyMemory.BodyMemory
  readonly owner: services.IExchangeOwner
  readonly dialect: services.ICallDialect
  readonly nowMs: () => base.Millis
  /** Connections have been accepted in several turns of the event loop, and the last of them may have waited for `waitMs`. */
  readonly onAcceptsEnd: (waitMs: base.Millis, connections: number) => void
  /** A request was refused because the bodies that the node holds take `heldBytes`. */
  readonly onBodyRefused: (exchange: services.IExchange, heldBytes: number) => void
  /** A request was refused because its body did not arrive in time. */
  readonly onBodyLate: (exchange: services.IExchange, waitedMs: base.Millis) => void
  /** The caller has left before its request was begun, `waitedMs` after the request arrived at most. */
  readonly onDropped: (exchange: services.IExchange, waitedMs: base.Millis) => void
}

/** HTTP server that accepts direct calls from callers. */
export class Ingress implements base.IDisposable {
  private readonly _options: IngressOptions
  private readonly _listener: callerListener.CallerListener
  private readonly _connections = new callerConnections.CallerConnections()
  private readonly _accepts: acceptStreaks.AcceptStreak
  /** How long each new connection may have waited to be accepted, until its first request is read. */
  private readonly _acceptWaitsMs = new WeakMap<net.Socket, base.Millis>()
  private readonly _held: readAheads.ReadAhead<IngressExchange>
  /** Requests whose bodies are being read. */
  private readonly _reading = new Set<IngressExchange>()
  private _maxBodyBytes = DEFAULT_MAX_BODY_BYTES
  private _idleTimeoutMs = DEFAULT_IDLE_MS

  constructor (options: IngressOptions) {
    this._options = options
    this._accepts = new acceptStreaks.AcceptStreak({ nowMs: options.nowMs, onEnd: options.onAcceptsEnd })
    this._held = new readAheads.ReadAhead<IngressExchange>({
      nowMs: options.nowMs,
      turns: READ_AHEAD_TURNS,
      isReading: () => this._accepts.isActive,
      begin: exchange => { this._begin(exchange) }
    })
    this._listener = new callerListener.CallerListener({
      address: options.address,
      binder: options.binder,
      limits: options.limits,
      keepAliveMs: DEFAULT_IDLE_MS,
      closingIdleMs: CLOSING_IDLE_MS,
      handle: (request, response) => { this._handle(request, response) },
      onAccepted: socket => {
        this._accepts.recordAccept()
        this._acceptWaitsMs.set(socket, this._accepts.waitMs)
      }
    })
  }

  public get isClosing (): boolean {
    return this._listener.isClosing
  }

  public get isListening (): boolean {
    return this._listener.isListening
  }

  /** Requests that have been read and not begun. */
  public get held (): number {
    return this._held.size
  }

  /** How long a connection that is accepted now may have waited. */
  public get acceptWaitMs (): base.Millis {
    return this._accepts.waitMs
  }

  /** Bytes of bodies that are being received, or whose requests have no answer yet. */
  public get bodyBytes (): number {
    return this._options.bodies.heldBytes
  }

  public setLimits (limits: direct.CallerLimits): void {
    this._maxBodyBytes = limits.maxBodyBytes
    this._idleTimeoutMs = limits.idleTimeoutMs
    this._listener.setKeepAlive(limits.idleTimeoutMs + IDLE_MARGIN_MS)
  }

  public listen (): Promise<number> {
    return this._listener.listen()
  }

  /** Gives each request its final answer, because this node stops. Those whose bodies have not come have not run. */
  public answerAll (): void {
    for (const exchange of this._reading) this._refuseUnread(exchange, refusal('stopping'))
    this._options.owner.endAll()
  }

  /** Refuses a request because its body does not fit into the memory. */
  public refuseBody (exchange: IngressExchange): void {
    this._options.onBodyRefused(exchange, this._options.bodies.heldBytes)
    this._refuseUnread(exchange, refusal('busy', BODY_RETRY_MS))
  }

  /** Refuses requests whose bodies have not arrived in time. */
  public tick (): void {
    for (const exchange of this._reading) {
      if (!exchange.isBodyLate(this._idleTimeoutMs)) continue
      this._options.onBodyLate(exchange, exchange.waitedMs)
      exchange.closeAfterAnswer()
      this._refuseUnread(exchange, refusal('body-late', BODY_RETRY_MS))
    }
  }

  /** Releases what is held for a request that has its answer, or whose caller has left. */
  public forget (exchange: IngressExchange): void {
    if (this._reading.delete(exchange)) exchange.abandonBody()
    this._options.bodies.remove(exchange)
    this._options.bodies.release(exchange.body)
    exchange.body = undefined
  }

  public beginClosing (): void {
    this._listener.beginClosing()
  }

  public close (): Promise<void> {
    return this._listener.close()
  }

  public dispose (): void {
    this._accepts.dispose()
    this._held.dispose()
    this._listener.dispose()
  }

  private _handle (request: http.IncomingMessage, response: http.ServerResponse): void {
    const acceptWaitMs = this._acceptWaitsMs.get(request.socket) ?? 0
    this._acceptWaitsMs.delete(request.socket)
    const exchange = new IngressExchange(request, response, this, this._connections, this._options, acceptWaitMs)
    this._connections.recordRead(exchange.socket, exchange)
    this._reading.add(exchange)
    response.once('close', () => { this.forget(exchange) })
    exchange.abandonBody = bodyReader.readBodyInto<blockBody.Body>(() => this._options.bodies.newBlocks(), request, this._maxBodyBytes, {
      onPiece: lengthBytes => {
        exchange.recordPiece()
        this._options.bodies.addPiece(exchange, lengthBytes)
      },
      onComplete: body => {
        // It has been refused meanwhile otherwise.
        if (!this._reading.delete(exchange)) return
        this._options.bodies.complete(exchange)
        exchange.body = body
        this._held.add(exchange)
      },
      onTooLarge: () => {
        exchange.closeAfterAnswer()
        this.forget(exchange)
        exchange.refuse(refusal('body-too-large'))
        request.resume()
      }
    })
    this._connections.add(exchange.socket, exchange)
  }

  /** Refuses a request whose body is being read. The rest of it is discarded: a close would reset the connection, and the answer might be lost. */
  private _refuseUnread (exchange: IngressExchange, answer: direct.OwnAnswer): void {
    this.forget(exchange)
    exchange.refuse(answer)
  }

  private _begin (exchange: IngressExchange): void {
    if (exchange.hasLeft || this._connections.isClosing(exchange.socket)) this._options.onDropped(exchange, exchange.waitedMs + exchange.acceptWaitMs)
    else exchange.begin()
  }
}

function refusal (reason: direct.RefusalReason, retryAfterMs = 0): direct.OwnAnswer {
  return { kind: 'refuse', callId: 0, reason, retryAfterMs, rule: undefined, sends: 0 }
}

class IngressExchange implements services.IExchange, callerConnections.IPendingRequest, bodyMemory.IBodyHolder {
  public readonly info: types.CallerRequestInfo
  public readonly method: string
  public readonly host: string
  public readonly path: string
  public readonly headers: types.RawHeaders
  public body: blockBody.Body | undefined
  public abandonBody: bodyReader.AbandonBody = () => {}
  public readonly socket: net.Socket
  private readonly _readAtMs: base.Millis
  private _pieceAtMs: base.Millis
  private _hasBegun = false

  constructor (
    request: http.IncomingMessage,
    private readonly _response: http.ServerResponse,
    private readonly _ingress: Ingress,
    private readonly _connections: callerConnections.CallerConnections,
    private readonly _options: IngressOptions,
    public readonly acceptWaitMs: base.Millis
  ) {
    this._readAtMs = _options.nowMs()
    this._pieceAtMs = this._readAtMs
    this.socket = request.socket
    this.info = _options.dialect.readRequest(request.headers)
    this.method = request.method ?? 'GET'
    this.host = request.headers.host ?? ''
    this.path = request.url ?? '/'
    this.headers = request.rawHeaders
  }

  /** Whether the caller has closed its connection. */
  public get hasLeft (): boolean {
    return this.socket.destroyed || this.socket.readableEnded
  }

  public get waitedMs (): base.Millis {
    return this._options.nowMs() - this._readAtMs
  }

  /** A piece of the body has been received. */
  public recordPiece (): void {
    this._pieceAtMs = this._options.nowMs()
  }

  /** Whether the caller has stopped waiting for its answer, or sending its body. */
  public isBodyLate (idleTimeoutMs: base.Millis): boolean {
    return this.waitedMs > (this.info.remainingMs ?? Infinity) || this._options.nowMs() - this._pieceAtMs > idleTimeoutMs
  }

  public closeAfterAnswer (): void {
    this._response.shouldKeepAlive = false
  }

  public begin (): void {
    this._hasBegun = true
    this._options.owner.begin(this)
  }

  public handleDisconnect (): void {
    this._ingress.forget(this)
    if (this._hasBegun) this._options.owner.cancel(this)
  }

  public refuseBody (): void {
    this._ingress.refuseBody(this)
  }

  public answer (answer: types.TargetAnswer): void {
    const body = answer.body ?? Buffer.alloc(0)
    const headers = [...answer.headers, ...this._options.dialect.answerHeaders(this.info.requestId)]
    const isBodiless = this.method === 'HEAD' || answer.status === 204 || answer.status === 304
    // The node cannot know whether an unframed body is complete, so it sends no length and ends the body by closing the connection.
    if (answer.isUnframed && !isBodiless) this._response.useChunkedEncodingByDefault = false
    else if (!isBodiless) headers.push('Content-Length', String(body.length))
    this._write(answer.status, headers, body)
  }

  public refuse (answer: direct.OwnAnswer): void {
    const body = reasons.bodyOf(answer)
    const headers = [
      'Content-Type', 'application/json', 'Content-Length', String(body.length),
      'Elmpost-Outcome', reasons.outcomeOf(answer), 'Elmpost-Reason', answer.reason,
      ...this._options.dialect.answerHeaders(this.info.requestId)
    ]
    if (answer.retryAfterMs > 0) headers.push('Retry-After', (answer.retryAfterMs / MS_PER_S).toFixed(3))
    this._write(reasons.statusOf(answer), headers, body)
  }

  private _write (status: number, headers: types.RawHeaders, body: Uint8Array): void {
    this._connections.remove(this.socket, this)
    if (this._response.destroyed) return
    if (this._ingress.isClosing && this._connections.closeAfter(this.socket, this)) this._response.shouldKeepAlive = false
    this._response.writeHead(status, [...headers])
    this._response.end(body)
    this._options.limits?.recordAnswer(this._response)
  }
}
