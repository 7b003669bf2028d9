import * as logAnswers from './LogAnswers.js'
import * as pQueue from 'p-queue'
import * as httpClients from './HttpClients.js'
import type * as undici from 'undici'
import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as services from './Services.js'

const PQueue = pQueue.default

const REQUEST_TIMEOUT_MS = 3000
/** Reads wait at the log service for new records (`waitMs`), so appends have a separate limit. */
const MAX_READS_IN_FLIGHT = 4
const MAX_APPENDS_IN_FLIGHT = 4
const CONNECT_TIMEOUT_MS = 1000

export interface LogClientOptions {
  readonly logUrl: string
  /** Called for an answer that violates the protocol of the log service. */
  readonly onAnswerRefused: (error: Error) => void
}

interface HttpAnswer {
  readonly status: number
  readonly text: string
}

/** Client of the append-only log service. Failures are returned as results; `read` and `append` never reject. */
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
    const answer = await this._reads.add(() => this._request({ path, method: 'GET' }, waitMs + REQUEST_TIMEOUT_MS))
    if (!isHttpAnswer(answer) || answer.status !== 200) return failed
    const page = logAnswers.decodePage(answer.text)
    if (page.isOk()) return { stream, ok: true, ...page.value }
    this._options.onAnswerRefused(page.error)
    return failed
  }

  public async append (stream: messages.StreamName, requestId: string, data: unknown): Promise<messages.LogAppendResult> {
    const answer = await this._appends.add(() => this._request({
      path: this._pathOf(stream),
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(data)
    }, REQUEST_TIMEOUT_MS))
    return { stream, requestId, ...this._appendStatus(answer) }
  }

  public dispose (): void {
    this._pool.destroy().catch(() => {})
  }

  private _appendStatus (answer: unknown): Pick<messages.LogAppendResult, 'status' | 'offset'> {
    if (answer === 'not-sent') return { status: 'refused', offset: -1 }
    if (!isHttpAnswer(answer)) return { status: 'unknown', offset: -1 }
    if (answer.status >= 400 && answer.status < 500) return { status: 'refused', offset: -1 }
    // A 5xx may come from a proxy although the log service has appended the record.
    if (answer.status !== 201) return { status: 'unknown', offset: -1 }
    const offset = logAnswers.decodeAppendAnswer(answer.text)
    if (offset.isOk()) return { status: 'appended', offset: offset.value }
    this._options.onAnswerRefused(offset.error)
    return { status: 'unknown', offset: -1 }
  }

  private async _request (options: undici.Dispatcher.RequestOptions, timeoutMs: base.Millis): Promise<HttpAnswer | 'not-sent' | 'lost'> {
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

function isHttpAnswer (answer: unknown): answer is HttpAnswer {
  return typeof answer === 'object' && answer !== null
}
