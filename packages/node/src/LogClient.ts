import * as logAnswers from './LogAnswers.js'
import * as pQueue from 'p-queue'
import * as httpClients from './HttpClients.js'
import type * as undici from 'undici'
import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as services from './Services.js'

const PQueue = pQueue.default

const REQUEST_TIMEOUT_MS = 3000
/** Reads wait at the log, so appends have a bound of their own. */
const MAX_READS_IN_FLIGHT = 4
const MAX_APPENDS_IN_FLIGHT = 4
const CONNECT_TIMEOUT_MS = 1000

export interface LogClientOptions {
  readonly logUrl: string
  readonly refused: (error: Error) => void
}

interface Exchange {
  readonly status: number
  readonly text: string
}

/** Client of the append-only log service. A failure is a result, never an exception. */
export class LogClient implements services.ILogClient {
  private readonly _options: LogClientOptions
  private readonly _pool: undici.Pool
  private readonly _basePath: string
  private readonly _reads = new PQueue({ concurrency: MAX_READS_IN_FLIGHT })
  private readonly _appends = new PQueue({ concurrency: MAX_APPENDS_IN_FLIGHT })

  constructor (options: LogClientOptions) {
    this._options = options
    const url = new URL(options.logUrl)
    this._basePath = url.pathname.replace(/\/$/, '')
    this._pool = new httpClients.Pool(url.origin, {
      connections: MAX_READS_IN_FLIGHT + MAX_APPENDS_IN_FLIGHT,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS }
    })
  }

  public async read (stream: messages.StreamName, fromOffset: number, limit: number, waitMs: base.Millis): Promise<messages.LogReadResult> {
    const failed: messages.LogReadResult = { stream, ok: false, records: [], firstOffset: 0, nextOffset: 0, retentionMs: 0 }
    const path = `${this._pathOf(stream)}?from=${fromOffset}&limit=${limit}&waitMs=${waitMs}`
    const exchange = await this._reads.add(() => this._request({ path, method: 'GET' }, waitMs + REQUEST_TIMEOUT_MS))
    if (!isExchange(exchange) || exchange.status !== 200) return failed
    const page = logAnswers.decodePage(exchange.text)
    if (page.isOk()) return { stream, ok: true, ...page.value }
    this._options.refused(page.error)
    return failed
  }

  public async append (stream: messages.StreamName, requestId: string, data: unknown): Promise<messages.LogAppendResult> {
    const exchange = await this._appends.add(() => this._request({
      path: this._pathOf(stream),
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(data)
    }, REQUEST_TIMEOUT_MS))
    return { stream, requestId, ...this._appendStatus(exchange) }
  }

  public dispose (): void {
    this._pool.destroy().catch(() => {})
  }

  private _appendStatus (exchange: unknown): Pick<messages.LogAppendResult, 'status' | 'offset'> {
    if (exchange === 'not-sent') return { status: 'refused', offset: -1 }
    if (!isExchange(exchange)) return { status: 'unknown', offset: -1 }
    if (exchange.status >= 400 && exchange.status < 500) return { status: 'refused', offset: -1 }
    // A 5xx may come from something in between, after the log has taken the record.
    if (exchange.status !== 201) return { status: 'unknown', offset: -1 }
    const offset = logAnswers.decodeAppended(exchange.text)
    if (offset.isOk()) return { status: 'appended', offset: offset.value }
    this._options.refused(offset.error)
    return { status: 'unknown', offset: -1 }
  }

  private async _request (options: undici.Dispatcher.RequestOptions, timeoutMs: base.Millis): Promise<Exchange | 'not-sent' | 'lost'> {
    try {
      const answer = await this._pool.request({ ...options, signal: AbortSignal.timeout(timeoutMs) })
      return { status: answer.statusCode, text: await answer.body.text() }
    } catch (error) {
      return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'not-sent' : 'lost'
    }
  }

  private _pathOf (stream: messages.StreamName): string {
    return `${this._basePath}/streams/${stream}/records`
  }
}

function isExchange (exchange: unknown): exchange is Exchange {
  return typeof exchange === 'object' && exchange !== null
}
