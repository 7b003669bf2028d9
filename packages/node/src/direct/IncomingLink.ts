import * as linkCodec from './LinkCodec.js'
import * as linkDelays from '@elmpost/common/direct/LinkDelay.js'
import * as linkParts from './LinkParts.js'
import * as outgoingLink from './OutgoingLink.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as linkTraffic from './LinkTraffic.js'
import type * as bodyIntake from './BodyIntake.js'
import type * as types from './Types.js'
import type * as ws from 'ws'

/** A status is repeated at this interval, also on links that carry answers, because an answer contains the load only. */
const STATUS_INTERVAL_MS = 3_000
/** Longest time without a message of any kind. */
const MAX_QUIET_MS = 900

/** Messages that do not contain the load, so they do not replace a status. */
const REPORTS: ReadonlySet<linkCodec.LinkMessage['kind']> = new Set(['grants', 'body-request', 'takes-offers'])

export interface IncomingLinkOptions {
  readonly socket: ws.WebSocket
  /** The connection is closed when the other node has not read more than this. */
  readonly maxUnreadBytes: number
  readonly codec: linkCodec.LinkCodec
  readonly nowMs: () => base.Millis
  readonly traffic: linkTraffic.LinkTraffic
  readonly events: IIncomingLinkEvents
}

export interface IIncomingLinkEvents {
  handleHello(link: IncomingLink, hello: linkCodec.HelloMessage): void
  handleMessage(link: IncomingLink, message: linkCodec.LinkMessage): void
  /** `delayMs`: how long the call waited on its way, as far as is known. */
  handleCall(link: IncomingLink, call: types.CallMessage, delayMs: base.Millis): void
  /** As `handleCall`, for a call whose body is sent on request. */
  handleOffer(link: IncomingLink, call: types.CallMessage, bodyBytes: number, delayMs: base.Millis): void
  handleClosed(link: IncomingLink): void
  /** The connection is closed, because the other node reads too little. */
  handleUnread(link: IncomingLink, unreadBytes: number): void
  handleMalformed(link: IncomingLink, error: Error): void
}

/** A connection that another node opened for the calls of which it is the entry node. */
export class IncomingLink implements bodyIntake.IOfferingCaller {
  /** Empty until the other node has sent its hello. */
  public nodeId = ''
  public zone = ''
  private readonly _options: IncomingLinkOptions
  private readonly _delay: linkDelays.LinkDelay
  private _receivedAtMs: base.Millis
  private _sentAtMs = -Infinity
  private _statusSentAtMs = -Infinity

  constructor (options: IncomingLinkOptions) {
    this._options = options
    this._receivedAtMs = options.nowMs()
    this._delay = new linkDelays.LinkDelay(options.nowMs)
    const { socket, events } = options
    socket.binaryType = 'nodebuffer'
    socket.on('message', data => { this._handleMessage(data as Buffer) })
    socket.on('close', () => { events.handleClosed(this) })
    // Each error is followed by `close`, which is handled above.
    socket.on('error', () => {})
  }

  public handleHostResult (_nodeId: base.NodeId, callId: number, result: types.HostResult, load: direct.TargetLoad): void {
    this.send({ kind: 'result', callId, result, load })
  }

  public requestBody (callId: number): void {
    this.send({ kind: 'body-request', callId })
  }

  public send (message: linkCodec.LinkMessage): void {
    const parts = this._options.codec.encodeParts(message)
    if (REPORTS.has(message.kind)) this._writeReport(message.kind, parts)
    else this._write(message.kind, parts)
  }

  /** Sends an encoded message that does not contain the load, so it does not replace a status. */
  public sendReport (kind: linkTraffic.MessageKind, bytes: Buffer): void {
    this._writeReport(kind, [bytes])
  }

  /** Sends an encoded status. */
  public sendStatus (bytes: Buffer): void {
    this._statusSentAtMs = this._options.nowMs()
    this._write('status', [bytes])
  }

  /** Whether a status has to be sent, because the last status or the last message is too old. */
  public get isStatusDue (): boolean {
    const nowMs = this._options.nowMs()
    return nowMs - this._sentAtMs >= MAX_QUIET_MS || nowMs - this._statusSentAtMs >= STATUS_INTERVAL_MS
  }

  /** Terminates a dead connection. `stalledMs`: time for which this process was stalled and read nothing. */
  public tick (stalledMs: base.Millis): void {
    this._receivedAtMs += stalledMs
    if (this._options.nowMs() - this._receivedAtMs > outgoingLink.DEAD_TIMEOUT_MS) this._options.socket.terminate()
    this._checkUnread()
  }

  public close (): void {
    this._options.socket.close()
  }

  private _writeReport (kind: linkTraffic.MessageKind, parts: readonly Uint8Array[]): void {
    const sentAtMs = this._sentAtMs
    this._write(kind, parts)
    this._sentAtMs = sentAtMs
  }

  private _write (kind: linkTraffic.MessageKind, parts: readonly Uint8Array[]): void {
    const { socket, nowMs, traffic } = this._options
    if (socket.readyState !== socket.OPEN) return
    this._sentAtMs = nowMs()
    traffic.recordSent(kind, linkParts.bytesOf(parts), socket.bufferedAmount)
    linkParts.send(socket, parts)
    this._checkUnread()
  }

  private _checkUnread (): void {
    const { socket, maxUnreadBytes, events } = this._options
    if (socket.readyState !== socket.OPEN || socket.bufferedAmount <= maxUnreadBytes) return
    events.handleUnread(this, socket.bufferedAmount)
    socket.terminate()
  }

  private _handleMessage (data: Buffer): void {
    this._receivedAtMs = this._options.nowMs()
    const { codec, events, traffic } = this._options
    const message = codec.decode(data)
    if (message.isOk()) traffic.recordReceived(message.value.kind, data.length)
    if (message.isErr()) {
      events.handleMalformed(this, message.error)
    } else if (message.value.kind === 'hello') {
      this.nodeId = message.value.nodeId
      this.zone = message.value.zone
      events.handleHello(this, message.value)
    } else if (this.nodeId !== '') {
      this._handleDecoded(message.value)
    }
  }

  private _handleDecoded (message: linkCodec.LinkMessage): void {
    const { events } = this._options
    if (message.kind === 'call' || message.kind === 'offer') {
      const delayMs = this._delayOf(message.call.sentAtMs)
      this._options.traffic.recordCallDelay(delayMs)
      if (message.kind === 'call') events.handleCall(this, message.call, delayMs)
      else events.handleOffer(this, message.call, message.bodyBytes, delayMs)
      return
    }
    events.handleMessage(this, message.kind === 'alive' ? linkCodec.older(message, this._delayOf(message.sentAtMs)) : message)
  }

  private _delayOf (sentAtMs: base.Millis | undefined): base.Millis {
    return sentAtMs === undefined ? 0 : this._delay.measure(sentAtMs)
  }
}
