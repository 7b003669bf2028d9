import * as blockBody from '../BlockBody.js'
import * as linkCodec from './LinkCodec.js'
import * as linkParts from './LinkParts.js'
import * as linkDelays from '@elmpost/common/direct/LinkDelay.js'
import * as ws from 'ws'
import type * as base from '@elmpost/common/base/Types.js'
import type * as linkTraffic from './LinkTraffic.js'
import type * as types from './Types.js'

/** Bounds of the wait between connection attempts. */
const FIRST_RETRY_MS = 100
const MAX_RETRY_MS = 2_000
const CONNECT_TIMEOUT_MS = 1_000
/** Hosts send a message at least each second. A connection that is silent for longer than this is replaced. */
const SILENCE_MS = 2_600
/** A connection that is silent for longer than this is dead. A VM that was only stalled usually resumes earlier. */
export const DEAD_TIMEOUT_MS = 13_000
/** Longest time between two messages to the host, while it has calls of this node and otherwise. */
const BUSY_KEEP_ALIVE_MS = 1_000
const IDLE_KEEP_ALIVE_MS = 4_000
/** A connection whose least round trip is longer than this is pinged, because messages on it may all have been slow. */
const MAX_ROUND_TRIP_MS = 100
const PING_INTERVAL_MS = 1_000
/** A node that has not read this many bytes gets no more calls. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024
/** A body of at least this length is offered to the host, and sent when the host requests it. */
const MIN_OFFERED_BYTES = 16 * 1024
/** A body is sent in parts of this length, so that short messages do not wait behind a whole one, and its host collects it as it comes. */
const PART_BYTES = 64 * 1024
/** Parts of each body that the system has not taken yet. */
const PARTS_AHEAD = 2
/** Largest message: a call with the largest body that configurations allow. */
export const MAX_MESSAGE_BYTES = 80 * 1024 * 1024

export interface OutgoingLinkOptions {
  readonly nodeId: base.NodeId
  readonly codec: linkCodec.LinkCodec
  /** Greeting for the other node. */
  readonly hello: () => linkCodec.HelloMessage
  readonly nowMs: () => base.Millis
  /** Time of sending for the receiver. Counts the time for which the VM was suspended, which would look like a delay of each later message. */
  readonly sendClockMs: () => base.Millis
  readonly random: base.IRandom
  readonly traffic: linkTraffic.LinkTraffic
  readonly events: IOutgoingLinkEvents
}

/** Handles the messages and state changes of a link. */
export interface IOutgoingLinkEvents {
  handleOpened(link: OutgoingLink): void
  /** The connection was lost, so calls cannot be sent. Its calls have no result and may have run. */
  handleLost(link: OutgoingLink, callIds: readonly number[]): void
  /** The other side has been silent for too long, so calls cannot be sent. Results of its calls may still arrive. */
  handleSilent(link: OutgoingLink, callIds: readonly number[]): void
  /** A silent connection was closed. Its calls have no result and may have run. */
  handleAbandoned(link: OutgoingLink, callIds: readonly number[]): void
  handleMessage(link: OutgoingLink, message: linkCodec.LinkMessage): void
  handleMalformed(link: OutgoingLink, error: Error): void
}

/** One connection and the calls that were sent on it and have no result. */
interface Connection {
  readonly socket: ws.WebSocket
  readonly calls: Set<number>
  /** Bodies that were offered and not requested, by call. */
  readonly offered: Map<number, blockBody.Body>
  takesOffers: boolean
  takesParts: boolean
  readonly delay: linkDelays.LinkDelay
  isOpen: boolean
  connectingSinceMs: base.Millis
  receivedAtMs: base.Millis
  sentAtMs: base.Millis
  pingedAtMs: base.Millis
}

/**
 * A connection to another node for the calls of which this one is the entry node, reopened whenever it is lost. A silent
 * connection is replaced at once, but kept until it is dead to receive late results: the other side may only be stalled.
 */
export class OutgoingLink implements base.IDisposable {
  public readonly nodeId: base.NodeId
  private readonly _options: OutgoingLinkOptions
  private _current: Connection | undefined
  private readonly _silentConnections = new Set<Connection>()
  private _isDisposed = false
  private _retryMs = FIRST_RETRY_MS
  private _retryAtMs = 0

  constructor (options: OutgoingLinkOptions) {
    this._options = options
    this.nodeId = options.nodeId
    this._connect()
  }

  /** Whether calls can be sent. */
  public get isOpen (): boolean {
    return this._current?.isOpen === true
  }

  /** Whether no call on the link waits for its result. */
  public get isIdle (): boolean {
    for (const { calls } of this._connections()) if (calls.size > 0) return false
    return true
  }

  /** Returns false if the call was not written. */
  public sendCall (call: types.CallMessage): boolean {
    const connection = this._current
    if (connection?.isOpen !== true || connection.socket.bufferedAmount > MAX_BUFFERED_BYTES) return false
    connection.calls.add(call.callId)
    const { body } = call
    const sentAtMs = this._options.sendClockMs()
    if (call.mayOfferBody === true && connection.takesOffers && body !== undefined && body.length >= MIN_OFFERED_BYTES) {
      connection.offered.set(call.callId, body)
      this._write(connection, { kind: 'offer', call: { ...call, body: undefined, sentAtMs }, bodyBytes: body.length })
    } else {
      this._write(connection, { kind: 'call', call: { ...call, sentAtMs } })
    }
    return true
  }

  public send (message: linkCodec.LinkMessage): void {
    if (this._current?.isOpen === true) this._write(this._current, message)
  }

  /** Cancels a call on the connection on which it was sent. */
  public cancel (callId: number): void {
    for (const connection of this._connections()) {
      connection.offered.delete(callId)
      if (connection.calls.delete(callId)) this._write(connection, { kind: 'cancel', callId })
    }
  }

  /** Sends a message if none has been sent for a while, so that the host does not take this node for unreachable. */
  public keepAlive (): void {
    if (this._current === undefined) return
    const intervalMs = this._current.calls.size === 0 ? IDLE_KEEP_ALIVE_MS : BUSY_KEEP_ALIVE_MS
    if (this._options.nowMs() - this._current.sentAtMs >= intervalMs) this.send(this._alive())
  }

  /** Reconnects at once, because the node has restarted or is reachable again. Pings an open connection, which fails if it leads to an earlier process. */
  public reconnectNow (): void {
    if (this._current !== undefined) {
      if (this._current.isOpen) this._ping(this._current)
      return
    }
    this._retryMs = FIRST_RETRY_MS
    this._retryAtMs = 0
    this.tick(0)
  }

  /** Replaces a silent connection, terminates a dead one and reopens a lost one. `stalledMs`: time for which this process was stalled and read nothing. */
  public tick (stalledMs: base.Millis): void {
    const nowMs = this._options.nowMs()
    for (const connection of this._connections()) {
      connection.receivedAtMs += stalledMs
      connection.connectingSinceMs += stalledMs
    }
    for (const { socket, receivedAtMs } of this._silentConnections) if (nowMs - receivedAtMs > DEAD_TIMEOUT_MS) socket.terminate()
    const connection = this._current
    if (connection === undefined) {
      if (nowMs >= this._retryAtMs) this._connect()
    } else if (!connection.isOpen) {
      if (nowMs - connection.connectingSinceMs > CONNECT_TIMEOUT_MS) connection.socket.terminate()
    } else if (nowMs - connection.receivedAtMs > SILENCE_MS) {
      this._replace(connection)
    } else if (connection.delay.roundTripMs > MAX_ROUND_TRIP_MS && nowMs - connection.pingedAtMs >= PING_INTERVAL_MS) {
      this._ping(connection)
    }
  }

  public dispose (): void {
    this._isDisposed = true
    for (const { socket } of this._connections()) socket.close()
  }

  private _alive (): linkCodec.AliveMessage {
    return { kind: 'alive', version: this._options.hello().version, sentAtMs: this._options.sendClockMs() }
  }

  private * _connections (): Iterable<Connection> {
    if (this._current !== undefined) yield this._current
    yield * this._silentConnections
  }

  private _connect (): void {
    if (this._isDisposed) return
    const nowMs = this._options.nowMs()
    const socket = new ws.WebSocket(`ws://${this.nodeId}/`, { perMessageDeflate: false, maxPayload: MAX_MESSAGE_BYTES, handshakeTimeout: CONNECT_TIMEOUT_MS, skipUTF8Validation: true, generateMask: linkParts.clearMask })
    const connection: Connection = { socket, calls: new Set(), offered: new Map(), takesOffers: false, takesParts: false, delay: new linkDelays.LinkDelay(this._options.nowMs), isOpen: false, connectingSinceMs: nowMs, receivedAtMs: nowMs, sentAtMs: nowMs, pingedAtMs: -Infinity }
    this._current = connection
    socket.binaryType = 'nodebuffer'
    socket.on('open', () => {
      connection.delay.recordRoundTrip(this._options.nowMs() - nowMs)
      this._handleOpen(connection)
    })
    socket.on('pong', data => { connection.delay.recordRoundTrip(this._options.nowMs() - Number(data.toString())) })
    socket.on('message', data => { this._handleMessage(connection, data as Buffer) })
    socket.on('close', () => { this._handleClose(connection) })
    // Each error is followed by `close`, which is handled above.
    socket.on('error', () => {})
  }

  private _handleOpen (connection: Connection): void {
    if (this._current !== connection) return
    connection.isOpen = true
    connection.receivedAtMs = this._options.nowMs()
    this._retryMs = FIRST_RETRY_MS
    this._write(connection, this._options.hello())
    // The first message with a time, so that a call that waits on the way can be compared with one that did not.
    this._write(connection, this._alive())
    this._options.events.handleOpened(this)
  }

  /** The answer bears the time of the question. */
  private _ping (connection: Connection): void {
    connection.pingedAtMs = this._options.nowMs()
    connection.socket.ping(String(connection.pingedAtMs))
  }

  private _replace (connection: Connection): void {
    this._silentConnections.add(connection)
    this._current = undefined
    this._options.events.handleSilent(this, [...connection.calls])
    if (connection.calls.size === 0) connection.socket.terminate()
    this._connect()
  }

  private _handleMessage (connection: Connection, data: Buffer): void {
    connection.receivedAtMs = this._options.nowMs()
    const decoded = this._options.codec.decode(data)
    if (decoded.isErr()) {
      this._options.events.handleMalformed(this, decoded.error)
      return
    }
    const message = decoded.value
    this._options.traffic.recordReceived(message.kind, data.length)
    if (message.kind === 'result') {
      connection.calls.delete(message.callId)
      connection.offered.delete(message.callId)
    }
    if (this._handleOfferMessage(connection, message)) return
    if (this._silentConnections.has(connection)) {
      // The other side has resumed, so a new connection can be opened. Messages other than results are out of date.
      this.reconnectNow()
      if (message.kind !== 'result') return
    }
    const isTimed = message.kind === 'alive' && message.sentAtMs !== undefined
    this._options.events.handleMessage(this, isTimed ? linkCodec.older(message, connection.delay.measureMost(message.sentAtMs)) : message)
  }

  private _handleOfferMessage (connection: Connection, message: linkCodec.LinkMessage): boolean {
    if (message.kind === 'takes-offers') {
      connection.takesOffers = true
      connection.takesParts = message.takesParts
      return true
    }
    if (message.kind !== 'body-request') return false
    const body = connection.offered.get(message.callId)
    connection.offered.delete(message.callId)
    if (body !== undefined && connection.takesParts) this._sendParts(connection, message.callId, partsOf(body))
    else if (body !== undefined) this._write(connection, { kind: 'body', callId: message.callId, body })
    return true
  }

  private _sendParts (connection: Connection, callId: number, parts: Iterator<Uint8Array>): void {
    const sendNext = (): void => {
      // The call may have ended, or been taken back.
      if (!connection.calls.has(callId) || connection.socket.readyState !== ws.WebSocket.OPEN) return
      const next = parts.next()
      if (next.done !== true) this._write(connection, { kind: 'body-part', callId, part: next.value }, sendNext)
    }
    for (let ahead = 0; ahead < PARTS_AHEAD; ahead++) sendNext()
  }

  private _handleClose (connection: Connection): void {
    const callIds = [...connection.calls]
    connection.calls.clear()
    connection.offered.clear()
    if (this._silentConnections.delete(connection)) {
      if (!this._isDisposed) this._options.events.handleAbandoned(this, callIds)
      return
    }
    if (this._current !== connection || this._isDisposed) return
    this._current = undefined
    this._retryAtMs = this._options.nowMs() + this._retryMs * (0.5 + 0.5 * this._options.random.nextFloat())
    this._retryMs = Math.min(this._retryMs * 2, MAX_RETRY_MS)
    this._options.events.handleLost(this, callIds)
  }

  private _write (connection: Connection, message: linkCodec.LinkMessage, onSent?: () => void): void {
    connection.sentAtMs = this._options.nowMs()
    const parts = this._options.codec.encodeParts(message)
    this._options.traffic.recordSent(message.kind, linkParts.bytesOf(parts), connection.socket.bufferedAmount)
    linkParts.send(connection.socket, parts, onSent)
  }
}

function * partsOf (body: blockBody.Body): Iterator<Uint8Array> {
  for (const block of blockBody.blocksOf(body)) {
    for (let at = 0; at < block.length; at += PART_BYTES) yield block.subarray(at, at + PART_BYTES)
  }
}
