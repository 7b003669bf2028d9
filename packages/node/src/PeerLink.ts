import * as frameCompression from './FrameCompression.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as peerCodec from './PeerCodec.js'
import type * as services from './Services.js'
import type * as types from './Types.js'
import type * as ws from 'ws'

/** Largest accepted difference between the clocks of two nodes. */
const MAX_CLOCK_DIFFERENCE_MS = 250
/** A peer that is this far behind with reading is not given more calls. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024
const MAX_UNSENT_MESSAGES = 1000

/** Close codes. After a planned close the closing side accepts no call that arrives on the link. */
export const CLOSE_PLANNED = 4000
const CLOSE_CLOCK = 4001
const CLOSE_IDENTITY = 4002
const CLOSE_PROTOCOL = 4003

export interface PeerLinkOptions {
  readonly socket: ws.WebSocket
  readonly isOutbound: boolean
  /** Node that is expected at the other end; empty if it is not known yet. */
  readonly expectedNodeId: base.NodeId
  readonly hello: () => messages.HelloMessage
  readonly codec: peerCodec.PeerCodec
  readonly receiver: services.ILinkReceiver
  readonly nowMs: () => base.Millis
  readonly opened: (link: PeerLink) => void
  readonly closed: (link: PeerLink) => void
}

interface UnsentCall {
  readonly call: messages.CallMessage
  readonly queuedAtMs: base.Millis
}

type Phase = 'connecting' | 'greeting' | 'open' | 'closing' | 'closed'

/** A `ws` connection to another node. */
export class PeerLink implements services.IPeerLink {
  public nodeId: base.NodeId
  public readonly runs = new Map<number, number>()
  public readonly openedAtMs: base.Millis
  public readonly isOutbound: boolean
  /** Set on traffic, cleared by the sweep for idle links. */
  public isUsed = true
  private readonly _options: PeerLinkOptions
  private readonly _socket: ws.WebSocket
  private readonly _calls = new Set<number>()
  private _unsentCalls: UnsentCall[] = []
  private _unsentControl: messages.ControlMessage[] = []
  private _phase: Phase = 'connecting'
  private _helloAtMs: base.Millis = 0
  private _wasOpen = false
  private _acceptsCompression = false

  constructor (options: PeerLinkOptions) {
    this._options = options
    this._socket = options.socket
    this.nodeId = options.expectedNodeId
    this.isOutbound = options.isOutbound
    this.openedAtMs = options.nowMs()
    this._socket.binaryType = 'nodebuffer'
    this._socket.on('message', (data, isBinary) => { this._received(data as Buffer, isBinary) })
    this._socket.on('close', code => { this._closed(code) })
    // `close` follows each error and reports the loss.
    this._socket.on('error', () => {})
    if (options.isOutbound) this._socket.on('open', () => { this._greet() })
    else this._phase = 'greeting'
  }

  public get isOpen (): boolean {
    return this._phase === 'open'
  }

  /** Whether the link can still carry messages. */
  public get isAlive (): boolean {
    return this._phase !== 'closing' && this._phase !== 'closed'
  }

  /** Whether the link was usable before it was lost. */
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
      // A dropped answer would leave its caller waiting; a lost link is reported at once.
      this.terminate()
      return false
    }
    this._write(message)
    return true
  }

  /** Sends a control message now or when the link is open. */
  public sendControl (message: messages.ControlMessage): void {
    if (this._phase === 'open') this.send(message)
    else if (this.isAlive && this._unsentControl.length < MAX_UNSENT_MESSAGES) this._unsentControl.push(message)
  }

  /** Closes a link that carries no call. */
  public closePlanned (): void {
    this._close(CLOSE_PLANNED, 'planned')
  }

  public terminate (): void {
    if (this._phase === 'closed') return
    this._phase = 'closing'
    this._socket.terminate()
  }

  private _greet (): void {
    this._phase = 'greeting'
    this._helloAtMs = this._options.nowMs()
    this._writeHello()
  }

  private _writeHello (): void {
    this._write({ ...this._options.hello(), encodings: [frameCompression.ENCODING] })
  }

  private _received (data: Buffer, isBinary: boolean): void {
    if (!this.isAlive) return
    const decoded = isBinary ? this._options.codec.decode(data, () => this._options.receiver.mayHandOver(this)) : undefined
    if (decoded === undefined || decoded.isErr()) {
      this._options.receiver.refused(this, decoded?.error ?? new Error('a text frame arrived where only binary frames are valid'))
      return
    }
    const message = decoded.value
    this.isUsed = true
    this._options.receiver.bytes('received', message.kind, data.length)
    if (this._phase === 'open') this._options.receiver.received(this, message)
    else this._greeted(message)
  }

  private _greeted (message: messages.PeerMessage): void {
    if (message.kind !== 'hello') {
      this._close(CLOSE_PROTOCOL, 'hello expected')
      return
    }
    if (this.nodeId !== '' && message.nodeId !== this.nodeId) {
      this._close(CLOSE_IDENTITY, 'another node')
      return
    }
    const differenceMs = this._clockDifferenceMs(message.sentAtMs)
    if (differenceMs > MAX_CLOCK_DIFFERENCE_MS) {
      this._options.receiver.refused(this, new Error(`the clock of node ${message.nodeId} differs by at least ${differenceMs} ms; synchronize the clocks of both machines`))
      this._close(CLOSE_CLOCK, 'clock difference')
      return
    }
    this.nodeId = message.nodeId
    this._acceptsCompression = message.encodings?.includes(frameCompression.ENCODING) === true
    if (!this.isOutbound) this._writeHello()
    this._phase = 'open'
    this._wasOpen = true
    this._options.opened(this)
    this._options.receiver.received(this, message)
    this._flush()
  }

  /**
   * Smallest clock difference that explains the times seen. The dialing side knows that the peer's clock was
   * read between its own hello and now; the accepting side only knows that it was read before now.
   */
  private _clockDifferenceMs (peerSentAtMs: base.Millis): number {
    const nowMs = this._options.nowMs()
    const behindMs = this.isOutbound ? this._helloAtMs - peerSentAtMs : 0
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
    this._options.receiver.bytes('sent', message.kind, bytes.length)
    this._socket.send(bytes)
  }

  private _close (code: number, reason: string): void {
    if (!this.isAlive) return
    this._phase = 'closing'
    this._socket.close(code, reason)
  }

  private _closed (code: number): void {
    this._phase = 'closed'
    this._options.closed(this)
    this._options.receiver.lost(this, this._calls, this._unsentCalls.map(unsent => unsent.call), code === CLOSE_PLANNED)
  }
}
