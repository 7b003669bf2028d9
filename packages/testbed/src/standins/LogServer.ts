import * as http from 'node:http'
import * as polka from 'polka'
import * as store from './LogStore.js'
import * as httpTools from './httpTools.js'

const MAX_RECORD_BYTES = 2 * 1024 * 1024
const MAX_WAIT_MS = 30_000
const DEFAULT_PAGE_RECORDS = 100

/** The part of polka's request that the handlers use. */
type RoutedRequest = http.IncomingMessage & {
  readonly params: Readonly<Record<string, string | string[]>>
  readonly query: Readonly<Record<string, unknown>>
}

/** Faults of the log service that a test or the demo can enable. */
export interface LogFaults {
  /** Every request is answered with 503. */
  outage: boolean
  /** Delay of every request. */
  delayMs: number
  /** Number of next appends that are stored, but whose connection is closed without an answer. */
  loseNextAppendAnswers: number
}

export interface LogServerOptions {
  readonly port: number
  readonly retentionMs: number
}

/** Numbers of requests, for measuring the load of the log. */
export interface LogCounts {
  appends: number
  reads: number
}

/** Stand-in for the platform's append-only log service. */
export class LogServer {
  public readonly faults: LogFaults = { outage: false, delayMs: 0, loseNextAppendAnswers: 0 }
  public readonly counts: LogCounts = { appends: 0, reads: 0 }
  private readonly _streams = new Map<string, store.LogStore>()
  private readonly _waiters = new Set<() => void>()
  private readonly _server = http.createServer()

  constructor (private readonly _options: LogServerOptions) {
    const app = polka.default({ server: this._server })
    app.post('/streams/:stream/records', (request, response) => { this._runWithFaults(response, () => this._append(request, response)) })
    app.get('/streams/:stream/records', (request, response) => { this._runWithFaults(response, () => this._read(request, response)) })
    app.post('/control/faults', (request, response) => { httpTools.run(response, () => this._setFaults(request, response)) })
    app.get('/control/counts', (_request, response) => { httpTools.sendJson(response, 200, this.counts) })
    this._server.on('request', app.handler.bind(app) as unknown as http.RequestListener)
  }

  public async listen (): Promise<number> {
    return await httpTools.listen(this._server, this._options.port)
  }

  public async close (): Promise<void> {
    this._wakeWaiters()
    await httpTools.close(this._server)
  }

  public streamOf (name: string): store.LogStore {
    const existing = this._streams.get(name)
    if (existing !== undefined) return existing
    const created = new store.LogStore(this._options.retentionMs)
    this._streams.set(name, created)
    return created
  }

  private _runWithFaults (response: http.ServerResponse, handler: () => Promise<void>): void {
    httpTools.run(response, async () => {
      if (this.faults.delayMs > 0) await httpTools.sleep(this.faults.delayMs)
      if (this.faults.outage) httpTools.sendJson(response, 503, { error: 'the log is in an outage' })
      else await handler()
    })
  }

  private async _append (request: RoutedRequest, response: http.ServerResponse): Promise<void> {
    this.counts.appends += 1
    const body = await httpTools.readBody(request, MAX_RECORD_BYTES)
    if (body === undefined) {
      httpTools.sendJson(response, 413, { error: `a record is limited to ${MAX_RECORD_BYTES} bytes` })
      return
    }
    const offset = this.streamOf(String(request.params['stream'])).append(JSON.parse(body.toString()), Date.now())
    this._wakeWaiters()
    if (this.faults.loseNextAppendAnswers > 0) {
      this.faults.loseNextAppendAnswers -= 1
      request.socket.destroy()
      return
    }
    httpTools.sendJson(response, 201, { offset })
  }

  private async _read (request: RoutedRequest, response: http.ServerResponse): Promise<void> {
    this.counts.reads += 1
    const query = request.query
    const from = numberOf(query, 'from', 0)
    const limit = numberOf(query, 'limit', DEFAULT_PAGE_RECORDS)
    const waitMs = Math.min(numberOf(query, 'waitMs', 0), MAX_WAIT_MS)
    const stream = this.streamOf(String(request.params['stream']))
    const deadlineMs = Date.now() + waitMs
    while (stream.nextOffset <= from && Date.now() < deadlineMs && !response.destroyed && !this.faults.outage) {
      await this._waitForAppend(deadlineMs - Date.now())
    }
    if (this.faults.outage) {
      httpTools.sendJson(response, 503, { error: 'the log is in an outage' })
      return
    }
    const page = stream.read(from, limit, Date.now())
    httpTools.sendJson(response, 200, { ...page, retentionMs: this._options.retentionMs })
  }

  private async _setFaults (request: RoutedRequest, response: http.ServerResponse): Promise<void> {
    const body = await httpTools.readBody(request, MAX_RECORD_BYTES)
    Object.assign(this.faults, JSON.parse(body?.toString() ?? '{}'))
    this._wakeWaiters()
    httpTools.sendJson(response, 200, this.faults)
  }

  private async _waitForAppend (timeoutMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(wake, timeoutMs)
      const waiters = this._waiters
      waiters.add(wake)
      function wake (): void {
        clearTimeout(timer)
        waiters.delete(wake)
        resolve()
      }
    })
  }

  private _wakeWaiters (): void {
    for (const wake of [...this._waiters]) wake()
  }
}

function numberOf (query: RoutedRequest['query'], name: string, fallback: number): number {
  const value = Number(query[name] ?? fallback)
  return Number.isFinite(value) && value >= 0 ? value : fallback
}
