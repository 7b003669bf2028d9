import type * as base from '@elmpost/common/base/Types.js'
import type * as net from 'node:net'

export interface RequestFeedOptions {
  readonly socket: net.Socket
  /** Most bytes that are parsed next. 0: nothing is parsed and reading stops until `resume`. */
  readonly nextBytes: () => number
  /** Bytes have been read from the connection into a buffer of their own. */
  readonly onRead: (lengthBytes: number) => void
}

/**
 * Passes what is read from a connection to the HTTP parser of Node.js in small parts. The parser takes a read of 64 KiB, with
 * thousands of requests, as a whole, and only between two calls of it can reading be stopped.
 */
export class RequestFeed implements base.IDisposable {
  private readonly _options: RequestFeedOptions
  private readonly _parse: (part: Buffer) => void
  private readonly _handleData = (chunk: Buffer): void => {
    this._options.onRead(chunk.length)
    this._rest = this._rest === undefined ? chunk : Buffer.concat([this._rest, chunk])
    this._feed()
  }

  private readonly _handleResume = (): void => {
    // Node.js has paused the connection again since, and its parser must get nothing then.
    if (this._options.socket.isPaused()) return
    this._isParserPaused = false
    if (this._isStopped) this._options.socket.pause()
    else this._feed()
  }

  /** Read, and not parsed. */
  private _rest: Buffer | undefined
  private _isStopped = false
  /** Node.js has paused the connection because of unread answers, and resumes it itself. */
  private _isParserPaused = false
  private _isFeeding = false
  private _isDisposed = false

  /** Call it in the event `connection` of the server, when the parser listens to the connection. */
  constructor (options: RequestFeedOptions) {
    this._options = options
    const { socket } = options
    const [parse] = socket.listeners('data') as Array<(part: Buffer) => void>
    if (parse === undefined) throw new Error('The connection has no HTTP parser. Create the feed in the event connection of an HTTP server.')
    this._parse = parse
    socket.removeListener('data', parse)
    socket.on('data', this._handleData)
    socket.on('resume', this._handleResume)
  }

  public get restBytes (): number {
    return this._rest?.length ?? 0
  }

  /** Goes on after `nextBytes` has returned 0. */
  public resume (): void {
    if (!this._isStopped) return
    this._isStopped = false
    if (!this._isParserPaused) this._options.socket.resume()
  }

  /** Leaves the connection to another protocol, or to its end. */
  public dispose (): void {
    const { socket } = this._options
    this._isDisposed = true
    socket.removeListener('data', this._handleData)
    socket.removeListener('resume', this._handleResume)
    if (!this._isFeeding) this._rest = undefined
  }

  private _feed (): void {
    const { socket, nextBytes } = this._options
    if (this._isFeeding || this._isParserPaused || this._isStopped) return
    this._isFeeding = true
    while (this._rest !== undefined && !socket.destroyed && !this._isDisposed && !this._isParserPaused) {
      const bytes = nextBytes()
      if (bytes === 0) {
        this._isStopped = true
        socket.pause()
        break
      }
      const rest: Buffer = this._rest
      this._rest = rest.length > bytes ? rest.subarray(bytes) : undefined
      this._parse(rest.subarray(0, bytes))
      // Only the parser pauses the connection meanwhile.
      this._isParserPaused = !this._isDisposed && socket.isPaused()
    }
    this._isFeeding = false
    // Sent behind the request to change the protocol.
    if (this._isDisposed && this._rest !== undefined && !socket.destroyed) socket.push(this._rest)
    if (this._isDisposed) this._rest = undefined
  }
}
