import * as headers from './Headers.js'
import * as reasons from './Reasons.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as http from 'node:http'
import type * as routing from '@elmpost/common/routing/Types.js'
import type * as services from './Services.js'

const MS_PER_S = 1000
/** Bodies above this size are written apart from the head, because copying them costs more than a second buffer. */
const MAX_JOINED_BYTES = 8192
const VALID_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/
const VALID_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/

/**
 * Idle time in the `Keep-Alive` header of answers. Callers close connections that are idle for this long, so that a
 * stopping node need not close one on which a request may be in flight. Default of Node.js; clients subtract up to 2 s.
 */
export const ADVERTISED_IDLE_MS = 5_000
const KEEP_ALIVE_HEADERS = ['connection', 'keep-alive', 'keep-alive', `timeout=${ADVERTISED_IDLE_MS / MS_PER_S}`]
const NO_BODY = Buffer.alloc(0)

/** Receives the calls of exchanges. */
export interface IExchangeOwner {
  begin(sink: services.ICallSink): services.ICallHandle
  cancel(call: services.ICallHandle): void
  handleWritable(call: services.ICallHandle): void
}

/** State of the server that an exchange belongs to. */
export interface IExchangeServer {
  /** True if each connection is closed after its next answer. */
  readonly isClosing: boolean
}

/** One HTTP request of a caller and its answer. */
export class CallerExchange implements services.ICallSink {
  public request!: routing.EntryRequest
  private _call: services.ICallHandle | undefined
  private _isAnswered = false

  constructor (private readonly _response: http.ServerResponse, private readonly _owner: IExchangeOwner, private readonly _server: IExchangeServer) {}

  /** Starts the call of a complete request. */
  public begin (request: routing.EntryRequest): void {
    this.request = request
    this._response.on('close', () => { this._handleClose() })
    this._call = this._owner.begin(this)
  }

  /** Refuses a request without starting a call. `closes` also ends the connection. */
  public refuse (method: string, answer: hosting.FinalAnswer, closes = false): void {
    this.request = { method, path: '', headers: {}, body: undefined, remainingMs: undefined, key: undefined, depth: 0, attempt: 1 }
    if (closes) this._response.shouldKeepAlive = false
    this.answer(answer, undefined)
  }

  public answer (answer: hosting.FinalAnswer, key: string | undefined): void {
    this._isAnswered = true
    if (this._response.destroyed) return
    if (answer.outcome === 'answered') {
      const body = answer.body ?? NO_BODY
      this._writeHead(answer, key, this._contentLengthOf(answer, body))
      this._end(body)
      return
    }
    const body = answer.body ?? reasons.bodyOf(answer.outcome, answer.reason)
    this._writeHead(answer, key, body.length)
    this._response.end(body)
  }

  public writeHead (answer: hosting.FinalAnswer, key: string | undefined): void {
    if (this._response.destroyed) return
    this._writeHead(answer, key, undefined)
    this._response.on('drain', () => { if (this._call !== undefined) this._owner.handleWritable(this._call) })
  }

  public writeChunk (body: Uint8Array): boolean {
    return this._response.destroyed || this._response.write(body)
  }

  public end (): void {
    this._isAnswered = true
    this._response.end()
  }

  public destroy (): void {
    this._isAnswered = true
    this._response.destroy()
  }

  /** Node.js joins a string with the head into one write, which is faster than two buffers for small answers. */
  private _end (body: Uint8Array): void {
    if (body.length === 0 || body.length > MAX_JOINED_BYTES) this._response.end(body)
    else this._response.end(Buffer.from(body.buffer, body.byteOffset, body.length).toString('latin1'), 'latin1')
  }

  private _handleClose (): void {
    if (this._call !== undefined && !this._isAnswered) this._owner.cancel(this._call)
  }

  /** A `HEAD` answer keeps the `Content-Length` of the target; 204 and 304 have none. */
  private _contentLengthOf (answer: hosting.FinalAnswer, body: Uint8Array): number | undefined {
    if (this.request.method === 'HEAD' || answer.status === 204 || answer.status === 304) return undefined
    return body.length
  }

  private _writeHead (answer: hosting.FinalAnswer, key: string | undefined, lengthBytes: number | undefined): void {
    const list: (string | string[])[] = []
    for (const name in answer.headers) {
      const value = answer.headers[name] ?? ''
      if (name !== headers.KEY_HEADER && isValid(name, value)) list.push(name, headers.toResponseValue(name, value))
    }
    if (answer.outcome !== 'answered') list.push('content-type', 'application/json')
    if (lengthBytes !== undefined) list.push('content-length', String(lengthBytes))
    list.push('elmpost-outcome', answer.outcome, 'elmpost-reason', answer.reason)
    if (answer.retryAfterMs > 0) list.push('retry-after', String(Math.ceil(answer.retryAfterMs / MS_PER_S)))
    const echoedKey = key ?? answer.headers[headers.KEY_HEADER]
    if (echoedKey !== undefined) list.push(headers.KEY_HEADER, echoedKey)
    const isFromTarget = answer.outcome === 'answered' && answer.status >= 200 && answer.status <= 999
    const status = isFromTarget ? answer.status : reasons.statusOf(answer.outcome, answer.reason)
    if (this._server.isClosing) this._response.shouldKeepAlive = false
    if (this._response.shouldKeepAlive) list.push(...KEEP_ALIVE_HEADERS)
    this._response.writeHead(status, list as string[])
  }
}

/** Invalid headers are left out, because Node.js rejects the whole head for one of them. */
function isValid (name: string, value: string): boolean {
  return VALID_NAME.test(name) && (VALID_VALUE.test(value) || name === 'set-cookie')
}
