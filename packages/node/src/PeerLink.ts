import * as frameCompression from './FrameCompression.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as peerCodec from './PeerCodec.js'
import type * as services from './Services.js'
import type * as types from './Types.js'
import type * as ws from 'ws'

/** Maximum accepted difference between the clocks of two nodes. */
const MAX_CLOCK_DIFFERENCE_MS = 250
/** A link with more unsent bytes takes no further calls, because the peer reads too slowly. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024
const MAX_UNSENT_MESSAGES = 1000

/** WebSocket close codes. After a planned close, the closing side accepts no call that arrives on the link. */
export const CLOSE_PLANNED = 4000
const CLOSE_CLOCK_DIFFERENCE = 4001
const CLOSE_WRONG_NODE = 4002
const CLOSE_PROTOCOL = 4003

export interface PeerLinkOptions {
  readonly socket: ws.WebSocket
  readonly isOutbound: boolean
  /** Id of the node that must answer; empty if it is not known yet. */
  readonly expectedNodeId: base.NodeId
  readonly hello: () => messages.HelloMessage
  readonly codec: peerCodec.PeerCodec
  readonly receiver: services.ILinkReceiver
  readonly nowMs: () => base.Millis
  readonly onOpen: (link: PeerLink) => void
  readonly onClose: (link: PeerLink) => void
}

interface UnsentCall {
  readonly call: messages.CallMessage
  readonly queuedAtMs: base.Millis
}

type Phase = 'connecting' | 'greeting' | 'open' | 'closing' | 'closed'

/** A WebSocket connection to another node. */
export class PeerLink implements services.IPeerLink {
  public nodeId: base.NodeId
  public readonly runs = new Map<number, number>()
  public readonly openedAtMs: base.Millis
  public readonly isOutbound: boolean
  /** Set when a message is sent or received, cleared by the sweep for idle links. */
  public isUsed = true
  private readonly _options: PeerLinkOptions
  private readonly _socket: ws.WebSocket
  private readonly _calls = new Set<number>()
  private _unsentCalls: UnsentCall[] = []
  private _unsentControl: messages.ControlMessage[] = []
  private _phase: Phase = 'connecting'
  private _helloSentAtMs: base.Millis = 0
  private _wasOpen = false
  private _acceptsCompression = false

  constructor (options: PeerLinkOptions) {
    this._options = options
    this._socket = options.socket
    this.nodeId = options.expectedNodeId
    this.isOutbound = options.isOutbound
    this.openedAtMs = options.nowMs()
    this._socket.binaryType = 'nodebuffer'
    this._socket.on('message', (data, isBinary) => { this._handleFrame(data as Buffer, isBinary) })
    this._socket.on('close', code => { this._handleClose(code) })
    // A `close` event follows each error and reports the loss.
    this._socket.on('error', () => {})
    if (options.isOutbound) this._socket.on('open', () => { this._handleSocketOpen() })
    else this._phase = 'greeting'
  }

  public get isOpen (): boolean {
    return this._phase === 'open'
  }

  /** Whether the link can still carry messages. */
  public get isAlive (): boolean {
    return this._phase !== 'closing' && this._phase !== 'closed'
  }

  /** Whether the link has ever been open. */
  public get wasOpen (): boolean {
    return this._wasOpen
  }

  public get isBusy (): boolean {
    return this._calls.size > 0 || this.runs.size > 0 || this._unsentCalls.length > 0
  }

  public sendCall (call: messages.CallMessage): types.SendStatus {
    if (this._phase === 'open') {
      if (this._socket.bufferedAmount > MAX_BUFFERED_BYTES) return 'not-sent'
      this._calls.add(call.callId)
      this._write(call)
      return 'sent'
    }
    if (!this.isAlive || this._unsentCalls.length >= MAX_UNSENT_MESSAGES) return 'not-sent'
    this._unsentCalls.push({ call, queuedAtMs: this._options.nowMs() })
    return 'queued'
  }

  public release (callId: number): void {
    if (this._calls.delete(callId) || this._unsentCalls.length === 0) return
    this._unsentCalls = this._unsentCalls.filter(unsent => unsent.call.callId !== callId)
  }

  public send (message: messages.PeerMessage): boolean {
    if (this._phase !== 'open') return false
    if (this._socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      // If an answer were dropped, its caller would wait for it; the loss of the link is reported at once.
      this.terminate()
      return false
    }
    this._write(message)
    return true
  }

  /** Sends a control message now, or when the link opens. */
  public sendControl (message: messages.ControlMessage): void {
    if (this._phase === 'open') this.send(message)
    else if (this.isAlive && this._unsentControl.length < MAX_UNSENT_MESSAGES) this._unsentControl.push(message)
  }

  /** Closes a link that carries no call, with a close code that marks this as planned. */
  public closePlanned (): void {
    this._close(CLOSE_PLANNED, 'planned')
  }

  public terminate (): void {
    if (this._phase === 'closed') return
    this._phase = 'closing'
    this._socket.terminate()
  }

  private _handleSocketOpen (): void {
    this._phase = 'greeting'
    this._helloSentAtMs = this._options.nowMs()
    this._writeHello()
  }

  private _writeHello (): void {
    this._write({ ...this._options.hello(), encodings: [frameCompression.ENCODING] })
  }

  private _handleFrame (data: Buffer, isBinary: boolean): void {
    if (!this.isAlive) return
    const decoded = isBinary ? this._options.codec.decode(data, () => this._options.receiver.mayHandOver(this)) : undefined
    if (decoded === undefined || decoded.isErr()) {
      this._options.receiver.handleRefusal(this, decoded?.error ?? new Error('a text frame arrived where only binary frames are valid'))
      return
    }
    const message = decoded.value
    this.isUsed = true
    this._options.receiver.recordBytes('received', message.kind, data.length)
    if (this._phase === 'open') this._options.receiver.handleMessage(this, message)
    else this._handleFirstMessage(message)
  }

  private _handleFirstMessage (message: messages.PeerMessage): void {
    if (message.kind !== 'hello') {
      this._close(CLOSE_PROTOCOL, 'hello expected')
      return
    }
    if (this.nodeId !== '' && message.nodeId !== this.nodeId) {
      this._close(CLOSE_WRONG_NODE, 'another node')
      return
    }
    const differenceMs = this._clockDifferenceMs(message.sentAtMs)
    if (differenceMs > MAX_CLOCK_DIFFERENCE_MS) {
      this._options.receiver.handleRefusal(this, new Error(`the clock of node ${message.nodeId} differs by at least ${differenceMs} ms; synchronize the clocks of both machines`))
      this._close(CLOSE_CLOCK_DIFFERENCE, 'clock difference')
      return
    }
    this.nodeId = message.nodeId
    this._acceptsCompression = message.encodings?.includes(frameCompression.ENCODING) === true
    if (!this.isOutbound) this._writeHello()
    this._phase = 'open'
    this._wasOpen = true
    this._options.onOpen(this)
    this._options.receiver.handleMessage(this, message)
    this._flush()
  }

  /**
   * Smallest clock difference that is consistent with the timestamps. The dialing side knows that the peer read its
   * clock between this node's `hello` and now; the accepting side only knows that the peer read it before now.
   */
  private _clockDifferenceMs (peerSentAtMs: base.Millis): number {
    const nowMs = this._options.nowMs()
    const behindMs = this.isOutbound ? this._helloSentAtMs - peerSentAtMs : 0
    return Math.max(peerSentAtMs - nowMs, behindMs, 0)
  }

  private _flush (): void {
    for (const message of this._unsentControl.splice(0)) this.send(message)
    const nowMs = this._options.nowMs()
    for (const { call, queuedAtMs } of this._unsentCalls.splice(0)) {
      this._calls.add(call.callId)
      this._write({ ...call, remainingMs: call.remainingMs - (nowMs - queuedAtMs) })
    }
  }

  private _write (message: messages.PeerMessage): void {
    const bytes = this._options.codec.encode(message, this._acceptsCompression)
    this.isUsed = true
    this._options.receiver.recordBytes('sent', message.kind, bytes.length)
    this._socket.send(bytes)
  }

  private _close (code: number, reason: string): void {
    if (!this.isAlive) return
    this._phase = 'closing'
    this._socket.close(code, reason)
  }

  private _handleClose (code: number): void {
    this._phase = 'closed'
    this._options.onClose(this)
    this._options.receiver.handleLost(this, this._calls, this._unsentCalls.map(unsent => unsent.call), code === CLOSE_PLANNED)
  }
}
