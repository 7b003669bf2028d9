import * as headers from './Headers.js'
import * as pQueue from 'p-queue'
import * as targetRun from './TargetRun.js'
import * as httpClients from './HttpClients.js'
import type * as undici from 'undici'
import type * as base from '@elmpost/common/base/Types.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const PQueue = pQueue.default

/** Opening a connection to a target takes about 1 ms, so idle ones are kept. */
const KEEP_ALIVE_MS = 30_000
const KEEP_ALIVE_MAX_MS = 600_000
const CONNECT_TIMEOUT_MS = 1000

export interface TargetRunnerOptions {
  readonly targetUrl: string
  readonly slots: number
  readonly connections: number
  readonly listener: types.IRunListener
  readonly onRefusedConnection: () => void
  readonly confirmDeath: () => Promise<boolean>
  readonly nowMs: () => base.Millis
}

/** Runs requests on the target, at most one per slot, over a bounded number of connections. */
export class TargetRunner implements services.ITargetRunner, targetRun.IRunOwner, base.IDisposable {
  public readonly listener: types.IRunListener
  private readonly _options: TargetRunnerOptions
  private readonly _runs = new Map<number, targetRun.TargetRun>()
  private readonly _queue: pQueue.default
  private _pool: undici.Pool
  private _connections: number

  constructor (options: TargetRunnerOptions) {
    this._options = options
    this.listener = options.listener
    this._connections = options.connections
    this._queue = new PQueue({ concurrency: options.slots })
    this._pool = this._openPool()
  }

  public run (request: types.TargetRequest): void {
    const run = new targetRun.TargetRun(request, this)
    this._runs.set(request.runId, run)
    this._queue.add(() => this._execute(run)).catch(() => { run.reject('bad-request') })
  }

  public abort (runId: number, reason: hosting.OutcomeReason): void {
    this._runs.get(runId)?.abort(reason)
  }

  public resume (runId: number): void {
    this._runs.get(runId)?.resume()
  }

  public setLimits (slots: number, connections: number): void {
    if (this._queue.concurrency !== slots) this._queue.concurrency = slots
    if (this._connections === connections) return
    this._connections = connections
    const previous = this._pool
    this._pool = this._openPool()
    // Running requests complete on the previous connections.
    previous.close().catch(() => {})
  }

  /** Ends written runs whose deadline has passed. The core ends waiting runs. */
  public expire (nowMs: base.Millis): void {
    for (const run of this._runs.values()) {
      if (run.isWritten && nowMs >= run.request.deadlineAtMs) run.abort('deadline')
    }
  }

  public handleRefusedConnection (): void {
    this._options.onRefusedConnection()
  }

  public confirmDeath (): Promise<boolean> {
    return this._options.confirmDeath()
  }

  public handleEnd (run: targetRun.TargetRun): void {
    this._runs.delete(run.request.runId)
  }

  public dispose (): void {
    this._queue.clear()
    this._pool.destroy().catch(() => {})
  }

  private _execute (run: targetRun.TargetRun): Promise<void> {
    if (run.isDone) return Promise.resolve()
    return new Promise(resolve => {
      run.setRelease(resolve)
      this._dispatch(run)
    })
  }

  private _dispatch (run: targetRun.TargetRun): void {
    const { request } = run
    try {
      this._pool.dispatch({
        path: request.path,
        method: request.method as undici.Dispatcher.HttpMethod,
        headers: this._headersOf(request),
        body: request.body ?? null
      }, run)
    } catch {
      run.reject('bad-request')
    }
  }

  private _headersOf (request: types.TargetRequest): string[] {
    const list: string[] = []
    for (const name in request.headers) list.push(name, request.headers[name] ?? '')
    const remainingMs = Math.max(0, Math.floor(request.deadlineAtMs - this._options.nowMs()))
    list.push(headers.DEADLINE_HEADER, String(remainingMs))
    list.push(headers.DEPTH_HEADER, String(request.depth + 1))
    list.push(headers.ATTEMPT_HEADER, String(request.attempt))
    if (request.key !== undefined) list.push(headers.KEY_HEADER, request.key)
    return list
  }

  private _openPool (): undici.Pool {
    return new httpClients.Pool(this._options.targetUrl, {
      // One connection is reserved for `TargetMonitor`.
      connections: Math.max(1, this._connections - 1),
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MAX_MS,
      // Deadlines are checked by `expire`.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: httpClients.connectToTarget(CONNECT_TIMEOUT_MS)
    })
  }
}
