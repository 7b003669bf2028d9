import type * as base from '@elmpost/common/base/Types.js'
import type * as inputScheduler from './InputScheduler.js'
import type * as net from 'node:net'

export interface RequestFeedOptions {
  readonly socket: net.Socket
  readonly scheduler: inputScheduler.InputScheduler
  /** Most bytes that are parsed next. 0: nothing is parsed and reading stops until `resume`. */
  readonly nextBytes: () => number
  /** Bytes have been read from the connection into a buffer of their own. */
  readonly onRead: (lengthBytes: number) => void
  /** A buffer that was kept until its turn has been parsed. */
  readonly onReleased: (lengthBytes: number) => void
}

/**
 * Passes what is read from a connection to the HTTP parser of Node.js in small parts. The parser takes a read of 64 KiB, with
 * thousands of requests, as a whole, and only between two calls of it can reading be stopped. Node.js pauses and resumes the
 * connection as well, because of unread answers and of bodies that nothing reads; its calls are recorded in place of
 * carried out while this class has stopped the connection.
 */
export class RequestFeed implements inputScheduler.IInputSource, base.IDisposable {
  public usedMs = 0
  private readonly _options: RequestFeedOptions
  private readonly _parse: (part: Buffer) => void
  private readonly _pauseSocket: () => net.Socket
  private readonly _resumeSocket: () => net.Socket
  private readonly _handleData = (chunk: Buffer): void => {
    this._rest = this._rest === undefined ? chunk : Buffer.concat([this._rest, chunk])
    // This connection may be closed for it.
    this._options.onRead(chunk.length)
    this._continue()
  }

  /** Read, and not parsed. */
  private _rest: Buffer | undefined
  private _isStopped = false
  /** Its input waits for its turn. */
  private _isWaiting = false
  private _waitingBytes = 0
  /** Node.js has paused the connection, and resumes it itself. Its parser must get nothing meanwhile. */
  private _isParserPaused = false
  private _isParsing = false
  private _isDisposed = false

  /** Call it in the event `connection` of the server, when the parser listens to the connection. */
  constructor (options: RequestFeedOptions) {
    this._options = options
    const { socket } = options
    const [parse] = socket.listeners('data') as Array<(part: Buffer) => void>
    if (parse === undefined) throw new Error('The connection has no HTTP parser. Create the feed in the event connection of an HTTP server.')
    this._parse = parse
    this._pauseSocket = socket.pause.bind(socket)
    this._resumeSocket = socket.resume.bind(socket)
    socket.removeListener('data', parse)
    socket.on('data', this._handleData)
    Object.assign(socket, {
      pause: () => {
        this._isParserPaused = true
        return this._pauseSocket()
      },
      resume: () => {
        this._isParserPaused = false
        this._continue()
        return socket
      }
    })
  }

  public get restBytes (): number {
    return this._rest?.length ?? 0
  }

  /** Goes on after `nextBytes` has returned 0. */
  public resume (): void {
    if (!this._isStopped) return
    this._isStopped = false
    this._continue()
  }

  public parseNext (): boolean {
    const { socket, nextBytes } = this._options
    if (!this._isParsable) return false
    const bytes = nextBytes()
    if (bytes === 0) {
      this._isStopped = true
      this._pauseSocket()
      return false
    }
    const rest = this._rest ?? Buffer.alloc(0)
    this._rest = rest.length > bytes ? rest.subarray(bytes) : undefined
    this._isParsing = true
    this._parse(rest.subarray(0, bytes))
    this._isParsing = false
    if (this._isDisposed) {
      // Sent behind the request to change the protocol.
      if (this._rest !== undefined && !socket.destroyed) socket.push(this._rest)
      this._rest = undefined
    }
    return this._isParsable
  }

  public handleWait (): void {
    this._isWaiting = true
    this._waitingBytes = this.restBytes
    this._pauseSocket()
  }

  public handleIdle (): void {
    this._isWaiting = false
    this._options.onReleased(this._waitingBytes)
    this._continue()
  }

  /** Leaves the connection to another protocol, or to its end. */
  public dispose (): void {
    const { socket, scheduler } = this._options
    this._isDisposed = true
    scheduler.remove(this)
    socket.removeListener('data', this._handleData)
    Object.assign(socket, { pause: this._pauseSocket, resume: this._resumeSocket })
    if (!this._isParsing) this._rest = undefined
  }

  private get _isParsable (): boolean {
    const { socket } = this._options
    // A caller that has ended its side has left.
    return this._rest !== undefined && !socket.destroyed && !socket.readableEnded && !this._isDisposed && !this._isParserPaused && !this._isStopped
  }

  private _continue (): void {
    if (this._isParsing || this._isWaiting || this._isDisposed) return
    if (this._isParsable) this._options.scheduler.offer(this)
    if (!this._isWaiting && !this._isStopped && !this._isParserPaused && !this._isDisposed) this._resumeSocket()
  }
}
