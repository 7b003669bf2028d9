import * as bufferCollector from './BufferCollector.js'
import * as emitter from '@elmpost/common/base/Emitter.js'
import * as inputScheduler from './InputScheduler.js'
import * as requestFeed from './RequestFeed.js'
import * as v8 from 'node:v8'
import type * as base from '@elmpost/common/base/Types.js'
import type * as directServices from '@elmpost/common/direct/Services.js'
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Memory of a request that waits for its answer, beside its head and body: objects of Node.js, of the exchange and of its call. */
const REQUEST_BYTES = 6 * 1024
/** A connection that holds no more than this is never closed for its memory, so that no caller with one request of usual size is affected. */
const MIN_CLOSED_BYTES = 2 * REQUEST_BYTES
/** Reading resumes when what stopped it has fallen to this share. */
const RESUME_SHARE = 0.5
/** Above this share of the bytes for requests, a connection gets no further request before its earlier ones are answered. */
const SCARCE_SHARE = 0.5
/** Bytes that are parsed at once: up to 160 requests, and up to 10 while memory is scarce. */
const PART_BYTES = 4096
const SCARCE_PART_BYTES = 256
/** Ticks after which the time that input has taken counts for half. */
const DECAY_TICKS = 10
/** Stopped connections that are looked at when an answer was sent. The others follow in turn. */
const RESUMED_PER_ANSWER = 4

export interface ConnectionLimitTerms {
  /** Reading from a connection stops when so many of its requests wait for their answers or for these to be read. */
  readonly maxWaitingRequests: number
  /** Reading from a connection stops when its peer has not read so many bytes of answers. */
  readonly maxUnreadBytes: number
  /** Most bytes of requests, answers and incomplete input of all connections together. */
  readonly maxHeldBytes: number
  /** Most bytes of requests that have been read in part, without bodies whose memory is bounded elsewhere. */
  readonly maxIncompleteBytes: number
  /** Most bytes of requests alone, which are objects on the heap of the process. */
  readonly maxRequestBytes: number
  /** A connection whose peer reads nothing of the answers for this time is closed. */
  readonly unreadTimeoutMs: base.Millis
  /** Most connections of one listener. */
  readonly maxConnections: number
  /** Longest head of a request. */
  readonly maxHeaderBytes: number
  /** Most bytes that are read of a body after its answer, on listeners that use no bodies. */
  readonly maxRestBytes: number
  /** Most bytes of bodies of callers, beside the longest one. */
  readonly maxSharedBodyBytes: number
}

/** Part of the heap for requests that wait. The rest is for the state of the node and for garbage. */
const REQUEST_HEAP_SHARE = 0.25

/** The largest configured header section (16 KiB) and a request line of half that. */
const DEFAULT_HEADER_BYTES = 24 * 1024

export const DEFAULT_TERMS: ConnectionLimitTerms = {
  maxWaitingRequests: 256,
  maxUnreadBytes: 1024 * 1024,
  maxHeldBytes: 48 * 1024 * 1024,
  maxIncompleteBytes: 16 * 1024 * 1024,
  maxRequestBytes: Math.round(v8.getHeapStatistics().heap_size_limit * REQUEST_HEAP_SHARE),
  unreadTimeoutMs: 30_000,
  maxConnections: 8_192,
  maxHeaderBytes: DEFAULT_HEADER_BYTES,
  maxRestBytes: 256 * 1024,
  maxSharedBodyBytes: 12 * 1024 * 1024
}

/** `unread`: the peer reads no answers. `memory`: all connections together hold too much. `count`: the listener has too many connections. `body`: the peer goes on sending a body that has been answered. */
export type LimitReason = 'unread' | 'memory' | 'count' | 'body'

/** A connection was closed because of a limit. */
export interface LimitedConnection {
  readonly listener: string
  readonly reason: LimitReason
  readonly remoteAddress: string | undefined
  readonly waitingRequests: number
  readonly heldBytes: number
}

/**
 * What connections hold memory for. `input` are bytes of bodies that have not been parsed; `incomplete` are requests without
 * their end: what has not been parsed, heads, and bodies that the listener keeps.
 */
type Kind = 'requests' | 'answers' | 'input' | 'incomplete'

const KINDS: readonly Kind[] = ['requests', 'answers', 'input', 'incomplete']

interface WaitingRequest {
  readonly requestBytes: number
  answerBytes: number
}

interface BodyRest {
  readonly request: http.IncomingMessage
  readonly answeredAtMs: base.Millis
  /** What the connection had received at the answer. */
  readonly answeredAtBytes: number
}

interface Connection {
  readonly socket: net.Socket
  readonly listener: string
  readonly maxHeadBytes: number
  /** Longest body that the listener keeps while it is incomplete. */
  readonly maxBodyBytes: number
  /** Requests whose answers are not handed to the system. */
  readonly waiting: Map<http.ServerResponse, WaitingRequest>
  readonly held: Record<Kind, number>
  /** Last request on the connection. Node.js may have answered it before the next one is read. */
  last: http.ServerResponse | undefined
  readonly feed: requestFeed.RequestFeed
  /** Most bytes that are read of a body after its answer. */
  readonly maxRestBytes: number
  /** Body that has been answered and has not come to its end. */
  rest: BodyRest | undefined
  /** Bytes that were read before the current request. */
  readBytes: number
}

/**
 * Bounds the memory that connections to the servers of the process hold for requests, answers and incomplete input. Node.js
 * parses all requests of a read (64 KiB) and keeps them until their answers are written, so a peer that reads no answers
 * can exhaust the memory with a few connections.
 */
export class ConnectionLimits implements base.IDisposable {
  public readonly onClosed: base.IEvent<LimitedConnection>
  private readonly _closed = new emitter.Emitter<LimitedConnection>()
  private readonly _connections = new Map<net.Socket, Connection>()
  private readonly _held: Record<Kind, number> = { requests: 0, answers: 0, input: 0, incomplete: 0 }
  /** Connections from which nothing is read at present, longest first. */
  private readonly _stopped = new Set<Connection>()
  private readonly _closedCounts: Record<LimitReason, number> = { unread: 0, memory: 0, count: 0, body: 0 }
  private readonly _scheduler: inputScheduler.InputScheduler
  private _ticks = 0
  /** No connection can be closed for its memory until the next tick. */
  private _isExhausted = false

  constructor (public readonly terms: ConnectionLimitTerms = DEFAULT_TERMS, public readonly collector = new bufferCollector.BufferCollector(), private readonly _nowMs: () => base.Millis = () => performance.now()) {
    this.onClosed = this._closed.event
    this._scheduler = new inputScheduler.InputScheduler(this._nowMs)
  }

  public get heldBytes (): number {
    return sumOf(this._held)
  }

  public get gauges (): directServices.ConnectionGauges {
    return { heldBytes: this.heldBytes, paused: this._stopped.size, closed: this._closedCounts }
  }

  /** Options of a server that `attach` is called for. */
  public get serverOptions (): http.ServerOptions {
    // `attach` refuses requests without a host. Node.js would answer them without passing them on.
    return { maxHeaderSize: this.terms.maxHeaderBytes, requireHostHeader: false }
  }

  /**
   * Limits the connections of a server and passes its requests on. `maxBodyBytes`: longest body that the listener keeps while it
   * is incomplete; 0 if its memory is bounded elsewhere. `maxRestBytes`: most that is read of a body after its answer.
   */
  public attach (server: http.Server, listener: string, maxBodyBytes: number, handle: http.RequestListener, maxRestBytes = this.terms.maxRestBytes): void {
    const { maxConnections, unreadTimeoutMs } = this.terms
    server.maxConnections = maxConnections
    server.timeout = unreadTimeoutMs
    server.on('drop', data => { this.recordClosed({ listener, reason: 'count', remoteAddress: data?.remoteAddress, waitingRequests: 0, heldBytes: 0 }) })
    server.on('connection', socket => { this._add(socket, listener, maxBodyBytes, maxRestBytes) })
    server.on('timeout', socket => { this._handleTimeout(socket) })
    server.on('request', (request, response) => { if (this._admit(request, response)) handle(request, response) })
    server.on('checkExpectation', (request, response) => { if (this._admit(request, response)) response.writeHead(417).end() })
  }

  /** The connection carries no HTTP any more. */
  public release (socket: net.Socket): void {
    const connection = this._connections.get(socket)
    if (connection === undefined) return
    this._connections.delete(socket)
    this._stopped.delete(connection)
    connection.feed.dispose()
    connection.waiting.clear()
    for (const kind of KINDS) this._held[kind] -= connection.held[kind]
    this.collector.recordDropped(connection.held.input + connection.held.incomplete)
  }

  /** Counts and reports a connection that another part of the process closes for its limits. */
  public recordClosed (limited: LimitedConnection): void {
    this._closedCounts[limited.reason] += 1
    this._closed.fire(limited)
  }

  /** Measures an answer that was given, for listeners whose answers may be long. */
  public recordAnswer (response: http.ServerResponse): void {
    const connection = response.req.socket as net.Socket | null
    const known = connection === null ? undefined : this._connections.get(connection)
    if (known === undefined) return
    this._measure(known, response)
    this._relieve()
  }

  /** Measures what has changed without an event. */
  public tick (): void {
    this._isExhausted = false
    this._ticks += 1
    for (const connection of this._connections.values()) {
      if (this._ticks % DECAY_TICKS === 0) this._scheduler.decay(connection.feed)
      if (this._hasLongRest(connection)) {
        this._close(connection, 'body')
        continue
      }
      this._measureInput(connection)
      for (const response of connection.waiting.keys()) this._measure(connection, response)
    }
    this._relieve()
    this._resume(this._stopped.size)
  }

  public dispose (): void {
    this._closed.dispose()
    this._scheduler.dispose()
  }

  private _add (socket: net.Socket, listener: string, maxBodyBytes: number, maxRestBytes: number): void {
    const feed = new requestFeed.RequestFeed({ socket, scheduler: this._scheduler, nextBytes: () => this._nextBytes(connection), onRead: bytes => { this._handleRead(connection, bytes) }, onReleased: bytes => { this.collector.recordReleased(bytes) } })
    const connection: Connection = { feed, socket, listener, maxHeadBytes: this.terms.maxHeaderBytes, maxBodyBytes, maxRestBytes, rest: undefined, waiting: new Map(), held: { requests: 0, answers: 0, input: 0, incomplete: 0 }, last: undefined, readBytes: 0 }
    this._connections.set(socket, connection)
    socket.once('close', () => { this.release(socket) })
  }

  /** Whether the request is to be handled. */
  private _admit (request: http.IncomingMessage, response: http.ServerResponse): boolean {
    const connection = this._connections.get(request.socket)
    // Node.js parses the rest of a read after the connection was closed.
    if (connection === undefined) return false
    connection.readBytes = request.socket.bytesRead - connection.feed.restBytes
    this._measureInput(connection)
    if (connection.last !== undefined) this._measure(connection, connection.last)
    const requestBytes = REQUEST_BYTES + headBytes(request)
    connection.waiting.set(response, { requestBytes, answerBytes: 0 })
    connection.last = response
    this._setHeld(connection, 'requests', connection.held.requests + requestBytes)
    response.once('close', () => { this._handleSent(connection, response) })
    this._relieve()
    if (!this._connections.has(request.socket)) return false
    if (request.httpVersionMinor === 0 || request.headers.host !== undefined) return true
    response.writeHead(400, { Connection: 'close' }).end()
    return false
  }

  private _handleSent (connection: Connection, response: http.ServerResponse): void {
    const sent = connection.waiting.get(response)
    if (sent === undefined || !this._connections.has(connection.socket)) return
    connection.waiting.delete(response)
    if (connection.last === response) connection.last = undefined
    if (!response.req.complete) connection.rest = { request: response.req, answeredAtMs: this._nowMs(), answeredAtBytes: connection.socket.bytesRead }
    this._setHeld(connection, 'requests', connection.held.requests - sent.requestBytes)
    this._setHeld(connection, 'answers', connection.held.answers - sent.answerBytes)
    // A body that was received behind the head is no incomplete input.
    if (connection.waiting.size === 0) {
      connection.readBytes = connection.socket.bytesRead - connection.feed.restBytes
      this._measureInput(connection)
    }
    this._resume(RESUMED_PER_ANSWER)
  }

  private _measure (connection: Connection, response: http.ServerResponse): void {
    const request = connection.waiting.get(response)
    if (request === undefined) return
    const answerBytes = response.writableLength
    this._setHeld(connection, 'answers', connection.held.answers + answerBytes - request.answerBytes)
    request.answerBytes = answerBytes
  }

  /** What was read may wait for its turn to be parsed. */
  private _handleRead (connection: Connection, lengthBytes: number): void {
    this.collector.recordRead(lengthBytes)
    this._measureInput(connection)
    this._relieve()
  }

  private _measureInput (connection: Connection): void {
    const { socket, feed, readBytes, last, rest, maxHeadBytes, maxBodyBytes } = connection
    const unparsedBytes = feed.restBytes + socket.readableLength
    const isInBody = rest !== undefined || last?.req.complete === false
    const parsedBytes = Math.max(0, socket.bytesRead - readBytes - unparsedBytes)
    this._setHeld(connection, 'input', isInBody ? unparsedBytes : 0)
    this._setHeld(connection, 'incomplete', isInBody ? Math.min(parsedBytes, maxBodyBytes) : unparsedBytes + Math.min(parsedBytes, maxHeadBytes))
  }

  private _setHeld (connection: Connection, kind: Kind, bytes: number): void {
    this._held[kind] += bytes - connection.held[kind]
    connection.held[kind] = bytes
  }

  /** Whether the peer has gone on for too long with a body that has been answered. */
  private _hasLongRest (connection: Connection): boolean {
    const { rest, socket, feed, maxRestBytes } = connection
    if (rest === undefined) return false
    if (rest.request.complete) {
      connection.rest = undefined
      return false
    }
    return socket.bytesRead - feed.restBytes - rest.answeredAtBytes > maxRestBytes || this._nowMs() - rest.answeredAtMs > this.terms.unreadTimeoutMs
  }

  /** How much of the input of a connection may be parsed. */
  private _nextBytes (connection: Connection): number {
    if (this._hasLongRest(connection)) {
      this._close(connection, 'body')
      return 0
    }
    const isScarce = this._held.requests > this.terms.maxRequestBytes * SCARCE_SHARE
    const { waiting, last, socket } = connection
    this._measureInput(connection)
    this._relieve()
    // This connection may have been closed.
    if (!this._connections.has(socket)) return 0
    // The rest of its body.
    const isReceiving = last?.req.complete === false
    if (!this._isWithin(connection, 1) || (isScarce && waiting.size > (isReceiving ? 1 : 0))) {
      this._stopped.add(connection)
      return 0
    }
    return isScarce && !isReceiving ? SCARCE_PART_BYTES : PART_BYTES
  }

  private _isWithin ({ waiting, held }: Connection, share: number): boolean {
    return waiting.size < this.terms.maxWaitingRequests * share && held.answers < this.terms.maxUnreadBytes * share
  }

  /** Reads again from those of up to `count` stopped connections whose input may be parsed. */
  private _resume (count: number): void {
    const isScarce = this._held.requests > this.terms.maxRequestBytes * SCARCE_SHARE
    for (let left = count; left > 0; left--) {
      const [connection] = this._stopped
      if (connection === undefined) return
      this._stopped.delete(connection)
      if (this._isWithin(connection, RESUME_SHARE) && (!isScarce || connection.waiting.size === 0)) connection.feed.resume()
      // Behind the others.
      else this._stopped.add(connection)
    }
  }

  /** The server has not read from the connection or written to it for the timeout, which Node.js also uses for idle connections. */
  private _handleTimeout (socket: net.Socket): void {
    const connection = this._connections.get(socket)
    if (connection === undefined) return
    if (socket.writableLength > 0) this._close(connection, 'unread')
    // A request whose head is complete is waiting.
    else if (connection.waiting.size === 0 && (connection.readBytes > 0 || connection.held.input + connection.held.incomplete > 0)) socket.destroy()
  }

  /** Closes connections while all together hold too much: those that hold most of the kind that takes the most memory. */
  private _relieve (): void {
    for (let kind = this._excess; kind !== undefined && !this._isExhausted; kind = this._excess) {
      let largest: Connection | undefined
      for (const connection of this._connections.values()) {
        if ((kind === 'incomplete' || sumOf(connection.held) > MIN_CLOSED_BYTES) && connection.held[kind] > (largest?.held[kind] ?? 0)) largest = connection
      }
      if (largest === undefined) this._isExhausted = true
      else this._close(largest, 'memory')
    }
  }

  /** Kind of which less has to be held; undefined if the bounds are met. */
  private get _excess (): Kind | undefined {
    const { maxHeldBytes, maxRequestBytes, maxIncompleteBytes } = this.terms
    if (this._held.requests > maxRequestBytes) return 'requests'
    if (this._held.incomplete > maxIncompleteBytes) return 'incomplete'
    return this.heldBytes > maxHeldBytes ? largestOf(this._held) : undefined
  }

  private _close (connection: Connection, reason: LimitReason): void {
    const { socket, listener, waiting } = connection
    this.recordClosed({ listener, reason, remoteAddress: socket.remoteAddress, waitingRequests: waiting.size, heldBytes: sumOf(connection.held) })
    this.release(socket)
    // A peer that reads nothing would not take what the system still holds for it.
    socket.resetAndDestroy()
  }
}

function sumOf (held: Readonly<Record<Kind, number>>): number {
  return held.requests + held.answers + held.input + held.incomplete
}

function largestOf (held: Readonly<Record<Kind, number>>): Kind {
  return KINDS.reduce((largest, kind) => held[kind] > held[largest] ? kind : largest)
}

function headBytes ({ url = '', rawHeaders }: http.IncomingMessage): number {
  let bytes = url.length
  for (const text of rawHeaders) bytes += text.length
  return bytes
}
